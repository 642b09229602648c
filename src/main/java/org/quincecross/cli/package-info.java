/** The program: a thin command line over the library. */
package org.quincecross.cli;
