/**
 * A controller's interfaces for users, agents, health checks and the other controllers. {@link
 * org.quincecross.api.Controller} assembles a controller.
 */
package org.quincecross.api;
