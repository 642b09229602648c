package org.quincecross;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Files with messages and records of earlier builds. They are added to and never changed: see
 * CONTRIBUTING.md.
 */
public final class GoldenFiles {
  private static final Path FOLDER = Path.of("src/test/resources/golden");

  private GoldenFiles() {}

  /** The lines of a file. */
  public static List<String> lines(String name) throws IOException {
    return Files.readAllLines(FOLDER.resolve(name));
  }

  /**
   * The messages of the channels whose names have a prefix, in columns: the channel, for records
   * the key, and the message.
   */
  public static List<String[]> messages(String channel) throws IOException {
    return lines("messages.tsv").stream()
        .filter(line -> line.startsWith(channel))
        .map(line -> line.split("\t", -1))
        .toList();
  }
}
