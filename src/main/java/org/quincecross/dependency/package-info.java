/**
 * Jobs that wait for other jobs: who may run, and who is cancelled with whom. Pure: no input or
 * output, and no clock.
 */
package org.quincecross.dependency;
