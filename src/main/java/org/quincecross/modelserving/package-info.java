/**
 * Models that are kept at zero and come back when they are wanted: what the controllers agree on so
 * that a cold start happens once, how many replicas there are to be, and on which machines. Pure:
 * no I/O, no clock. See docs/design/models.md.
 */
package org.quincecross.modelserving;
