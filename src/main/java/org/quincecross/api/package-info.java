/**
 * A controller as others see it: what users, workers, health checks and the other controllers ask
 * of it.
 */
package org.quincecross.api;
