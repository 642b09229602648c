/**
 * The simulated environment of the controllers: state service, cloud, workers and users as the
 * protocol describes them, on a virtual or a real clock.
 */
package org.quincecross.emulator;
