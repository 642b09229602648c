/**
 * Attribution of failures: machines that fail every task, and jobs that fail on every machine.
 * Pure: no I/O, no clock.
 */
package org.quincecross.quarantine;
