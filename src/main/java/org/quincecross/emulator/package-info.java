/**
 * A site around the controllers: state service, cloud, workers and users as the protocol describes
 * them, on any clock.
 */
package org.quincecross.emulator;
