/**
 * The scheduling decisions, after Lee, Keleher and Sussman (LIQ-PULL). Pure: no I/O and no clock;
 * time is an argument.
 */
package org.quincecross.scheduling;
