/**
 * Rolling upgrades with changes of the stored state: feature levels, features, and when the level
 * may change. Pure: no I/O, no clock. See docs/design/rollout.md.
 */
package org.quincecross.rollout;
