/**
 * One thread, one selector loop: timers, the HTTP server and client, limiters. Nothing here blocks.
 */
package org.quincecross.net;
