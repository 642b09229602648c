/**
 * What the leading controller does: block leases, admission, results, and the fleet of machines.
 */
package org.quincecross.leader;
