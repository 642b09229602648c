/**
 * Holding a block: the sessions of its machines, fencing, reconciliation, and what its tasks are
 * doing.
 */
package org.quincecross.shard;
