/**
 * Which jobs make no progress for longer than their owners' estimates explain. Pure: no I/O, no
 * clock.
 */
package org.quincecross.progress;
