/**
 * Served models that scale to zero and come back on demand: the replicated state, replica counts,
 * and machine selection. Pure: no I/O, no clock. See docs/design/models.md.
 */
package org.quincecross.modelserving;
