/**
 * The leader: election, shard leases, allocation, completion, autoscaling, and the extensions for
 * reservations, legal holds and model serving.
 */
package org.quincecross.leader;
