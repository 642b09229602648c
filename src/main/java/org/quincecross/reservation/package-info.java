/**
 * Requests with a due time, and the capacity reserved for them until they are answered. No I/O, no
 * clock.
 */
package org.quincecross.reservation;
