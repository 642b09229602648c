/**
 * A single thread with one selector loop: timers, the HTTP server and client, rate limiters.
 * Nothing here blocks.
 */
package org.quincecross.net;
