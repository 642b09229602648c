package org.quincecross.cli;

import picocli.CommandLine.IVersionProvider;

/** The version that the jar was built as. */
final class Version implements IVersionProvider {
  @Override
  public String[] getVersion() {
    String version = Version.class.getPackage().getImplementationVersion();
    return new String[] {"quincecross " + (version == null ? "(not from a jar)" : version)};
  }
}
