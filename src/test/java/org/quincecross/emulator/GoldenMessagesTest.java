package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.quincecross.GoldenFiles;
import org.quincecross.protocol.MalformedMessageException;

/**
 * All messages and stored values keep their field names, types and values; a malformed message gets
 * the same status and names the same field as before.
 */
class GoldenMessagesTest {
  @Tag("known-red")
  @Test
  void messagesAndStoredValuesKeepTheirVocabulary() throws IOException, MalformedMessageException {
    TreeSet<String> before = new TreeSet<>(GoldenFiles.lines("vocabulary.txt"));
    SortedSet<String> now = RecordedDays.run().vocabulary();
    TreeSet<String> lost = new TreeSet<>(before);
    lost.removeAll(now);
    TreeSet<String> added = new TreeSet<>(now);
    added.removeAll(before);
    assertEquals(List.of(), List.copyOf(lost), "no longer sent or stored");
    assertEquals(List.of(), List.copyOf(added), "sent or stored now, and not before");
  }

  @Test
  void malformedMessagesAreRefusedAsBefore() throws IOException, MalformedMessageException {
    assertEquals(
        String.join("\n", GoldenFiles.lines("malformed.txt")),
        String.join("\n", RecordedDays.malformed()));
  }
}
