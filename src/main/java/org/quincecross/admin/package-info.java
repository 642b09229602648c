/**
 * The administration API: what an operator can see of a controller, and the operators' own
 * settings.
 */
package org.quincecross.admin;
