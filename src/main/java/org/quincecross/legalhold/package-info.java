/**
 * Legal holds: which records are pinned under an open request of a magistrate, which tasks of
 * sweeps touch them, and through which states a hold goes. Decisions alone: no input or output, and
 * no clock.
 */
package org.quincecross.legalhold;
