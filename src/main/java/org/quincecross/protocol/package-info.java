/**
 * The messages and files of the protocols. Field names and words of the protocols are mapped to the
 * terms of the code here and nowhere else.
 */
package org.quincecross.protocol;
