/** The administration API: what operators can see of a controller, and the operators' settings. */
package org.quincecross.admin;
