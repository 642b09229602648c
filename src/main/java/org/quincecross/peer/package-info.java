/**
 * The reports that controllers exchange, in MessagePack over TCP, and the views that they build
 * from them.
 */
package org.quincecross.peer;
