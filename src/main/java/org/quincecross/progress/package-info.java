/**
 * Detection of jobs without progress for longer than their estimates explain. Pure: no I/O, no
 * clock.
 */
package org.quincecross.progress;
