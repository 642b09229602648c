/**
 * The scheduling itself, after Lee, Keleher and Sussman (LIQ-PULL): pure, with no I/O and no clock
 * of its own. Time comes in as an argument.
 */
package org.quincecross.scheduling;
