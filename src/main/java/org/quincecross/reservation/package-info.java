/**
 * Requests with a due time, their states, and where room is reserved until they are answered. No
 * I/O, no clock.
 */
package org.quincecross.reservation;
