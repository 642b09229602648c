/**
 * Legal holds: the records pinned under an open request of a magistrate, the tasks of sweeps that
 * access them, and the states of a hold. Pure: no I/O, no clock.
 */
package org.quincecross.legalhold;
