/**
 * Failure detection: isolated controllers, one-way partitions, pauses, late messages, and the
 * bounds on what may be decided meanwhile. Pure: no I/O, no clock.
 */
package org.quincecross.failuredetection;
