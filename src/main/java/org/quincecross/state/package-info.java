/**
 * The replicated cluster state: the client of the key-value store, the formats of the records, this
 * controller's cache of them, and membership.
 */
package org.quincecross.state;
