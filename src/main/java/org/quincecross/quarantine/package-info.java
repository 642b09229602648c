/**
 * Failures told apart by where they happen: machines that fail every task, and jobs that fail on
 * every machine. Pure.
 */
package org.quincecross.quarantine;
