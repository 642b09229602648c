/**
 * Kinds of records that all controllers follow, changed by pure steps: what a record is, how a
 * change of it is made once however often it is asked for, its trail, what it keeps from running,
 * and since when all controllers know of it. Pure: no I/O, no clock. See docs/design/agreed.md.
 */
package org.quincecross.replicated;
