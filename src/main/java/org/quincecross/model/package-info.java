/** The values everything else speaks in: ids, versions, times, jobs, machines, teams. */
package org.quincecross.model;
