/**
 * Rolling out the controllers with a change of the stored state: levels, features, and when the
 * level may change. Pure: no I/O, no clock. See docs/design/rollout.md.
 */
package org.quincecross.rollout;
