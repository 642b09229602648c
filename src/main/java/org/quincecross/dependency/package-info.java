/**
 * Dependencies between jobs: which jobs may run, and which are cancelled with others. Pure: no I/O,
 * no clock.
 */
package org.quincecross.dependency;
