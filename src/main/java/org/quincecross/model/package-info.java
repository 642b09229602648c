/** Value types shared by all packages: ids, versions, times, jobs, machines and teams. */
package org.quincecross.model;
