/**
 * Quotas nested by organisation, team and workload: the tree, what its nodes use, how much more
 * each may take, and what each is entitled to when there is not enough for all. Pure: no I/O, no
 * clock.
 */
package org.quincecross.quota;
