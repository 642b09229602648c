/** What the controllers say to one another, in MessagePack over TCP. */
package org.quincecross.peer;
