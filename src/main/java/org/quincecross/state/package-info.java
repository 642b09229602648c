/**
 * The state service: its client, this controller's copy of the records, group commit, and the
 * records' formats.
 */
package org.quincecross.state;
