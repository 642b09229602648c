package org.quincecross.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.quincecross.protocol.Features;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.protocol.Settings;
import org.quincecross.protocol.SettingsReader;

/** Reads the settings file and the features file; errors are a single line. */
final class SettingsFile {
  private SettingsFile() {}

  /** Parses the content of a file. */
  private interface Reader<T> {
    T read(byte[] bytes) throws MalformedMessageException;
  }

  static Settings read(Path file) throws IOException {
    return read(file, "settings file", SettingsReader::read);
  }

  /** Reads the features that a file enables; none without a file. */
  static Features features(Path file) throws IOException {
    return file == null ? Features.NONE : read(file, "features file", Features::read);
  }

  private static <T> T read(Path file, String what, Reader<T> reader) throws IOException {
    byte[] bytes;
    try {
      bytes = Files.readAllBytes(file);
    } catch (IOException e) {
      throw new IOException(
          "cannot read " + what + " " + file + ": " + e.getClass().getSimpleName());
    }
    try {
      return reader.read(bytes);
    } catch (MalformedMessageException e) {
      throw new IOException(what + " " + file + ": " + e.getMessage());
    }
  }
}
