/**
 * Overload handling: detects that more work is pending than can be done in time, chooses what is
 * deferred, and guarantees minimum shares and start times. Pure: no I/O, no clock. See
 * docs/design/overload.md.
 */
package org.quincecross.overload;
