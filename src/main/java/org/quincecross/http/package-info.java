/** HTTP/1.1: messages and a parser, independent of sockets. */
package org.quincecross.http;
