/**
 * More work than can be done in time: when that is so, which work is set aside, and what everybody
 * gets all the same. Pure: no I/O, no clock. See docs/design/overload.md.
 */
package org.quincecross.overload;
