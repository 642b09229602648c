/** Failure detection: whose silence it is, and what may be decided meanwhile. Pure. */
package org.quincecross.failuredetection;
