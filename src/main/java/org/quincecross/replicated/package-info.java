/**
 * Records that all controllers replicate, changed by pure transitions: the format of a record, how
 * every request takes effect once, its audit trail, the tasks it blocks, and since when all
 * controllers know it. Pure: no I/O, no clock. See docs/design/agreed.md.
 */
package org.quincecross.replicated;
