/**
 * Ownership of shards: agent sessions, fencing, reconciliation of heartbeats with the records, and
 * the state of tasks.
 */
package org.quincecross.shard;
