package org.quincecross;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The skipped tests with a known fault are those that KNOWN-RED.txt lists, three at most. */
class KnownRedTest {
  private static final Path TESTS = Path.of("src/test/java");
  private static final String TAG = "@Tag(\"known-red\")";

  @Test
  void skippedTestsAreListed() throws IOException {
    Path list = Path.of("KNOWN-RED.txt");
    List<String> lines = Files.exists(list) ? Files.readAllLines(list) : List.of();
    assertTrue(lines.size() <= 3, lines.toString());
    TreeSet<String> tagged = new TreeSet<>();
    try (Stream<Path> files = Files.walk(TESTS)) {
      for (Path file : files.filter(each -> each.toString().endsWith(".java")).toList()) {
        long tags =
            Files.readAllLines(file).stream().filter(line -> line.strip().equals(TAG)).count();
        assertTrue(tags <= 1, "a line for each: " + file);
        if (tags > 0) {
          tagged.add(TESTS.relativize(file).toString().replace(".java", "").replace('/', '.'));
        }
      }
    }
    assertEquals(
        tagged,
        lines.stream()
            .map(line -> line.substring(0, line.indexOf(':')))
            .collect(Collectors.toCollection(TreeSet::new)));
  }
}
