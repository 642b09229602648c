/** The only place that knows the protocol's names: codecs and the checking of what comes in. */
package org.quincecross.protocol;
