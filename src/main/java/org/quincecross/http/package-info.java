/** HTTP/1.1: messages and the project's own parser. Knows nothing of sockets. */
package org.quincecross.http;
