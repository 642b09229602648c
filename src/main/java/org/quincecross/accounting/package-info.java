/**
 * Accounting of service levels: which jobs, classes and teams were served, counted as events occur.
 * Pure: no I/O, no clock.
 */
package org.quincecross.accounting;
