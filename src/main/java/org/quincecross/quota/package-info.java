/**
 * Quotas nested by organisation, team and workload: the tree, usage, remaining room, and
 * entitlements when there is not enough for all. Pure: no I/O, no clock.
 */
package org.quincecross.quota;
