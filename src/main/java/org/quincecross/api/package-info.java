/**
 * A controller's interfaces: what users, agents, health checks and the other controllers ask of it.
 * {@link org.quincecross.api.Controller} puts a controller together.
 */
package org.quincecross.api;
