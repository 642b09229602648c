/**
 * Who was served, and who waits while others are: counted as it happens. Pure: no I/O, no clock.
 */
package org.quincecross.accounting;
