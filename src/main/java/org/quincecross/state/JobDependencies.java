package org.quincecross.state;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.JobId;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;

/**
 * The jobs that a job waits on, as the state service has them: a few in its own record, many in
 * parts of their own, which its record names. A part's name follows from what is in it, so it may
 * be written twice or late, and jobs that wait on the same share it. Parts are written before the
 * record, and stay.
 */
public final class JobDependencies {
  /** In a record, beside the description: the digits of ids. */
  static final String IN_RECORD = "after";

  /** In a record: the names of the parts. */
  static final String IN_PARTS = "after_parts";

  /** In a part: the digits of ids. */
  private static final String IDS = "ids";

  /**
   * Characters of digits that a record may have beside the description of its job: all of it is
   * well below 2 KiB.
   */
  private static final int MOST_IN_RECORD = 800;

  /**
   * Characters of digits in a part: below 2 KiB, and not so few that the names of parts would fill
   * a record.
   */
  private static final int MOST_IN_PART = 1_700;

  private static final int NAME_BYTES = 15;

  private JobDependencies() {}

  /**
   * The records that have to be durable before that of a job that waits on these; none where its
   * own has room for them.
   */
  public static Map<String, Map<String, Object>> parts(Set<JobId> waitsOn) {
    Map<String, Map<String, Object>> parts = new LinkedHashMap<>();
    List<String> lines = lines(waitsOn, MOST_IN_PART);
    if (!fitsRecord(waitsOn)) {
      lines.forEach(line -> parts.put(StoreKeys.AFTER + name(line), Json.object(IDS, line)));
    }
    return parts;
  }

  private static boolean fitsRecord(Set<JobId> waitsOn) {
    return waitsOn.stream().mapToInt(id -> id.digitCount() + 1).sum() <= MOST_IN_RECORD;
  }

  /** What the record of a job has beside its description. */
  static Map<String, Object> inRecord(Set<JobId> waitsOn) {
    return fitsRecord(waitsOn)
        ? Json.object(IN_RECORD, String.join("", lines(waitsOn, MOST_IN_RECORD)))
        : Json.object(
            IN_PARTS,
            parts(waitsOn).keySet().stream()
                .map(key -> key.substring(StoreKeys.AFTER.length()))
                .toList());
  }

  private static List<String> lines(Set<JobId> waitsOn, int most) {
    List<String> lines = new ArrayList<>();
    StringBuilder line = new StringBuilder();
    for (JobId id : waitsOn.stream().sorted().toList()) {
      if (line.length() > 0 && line.length() + 1 + id.digitCount() > most) {
        lines.add(line.toString());
        line.setLength(0);
      }
      line.append(line.length() == 0 ? "" : " ").append(id.digits());
    }
    lines.add(line.toString());
    return lines;
  }

  private static String name(String line) {
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256").digest(line.getBytes(StandardCharsets.US_ASCII));
      return Base64.getUrlEncoder()
          .withoutPadding()
          .encodeToString(Arrays.copyOf(hash, NAME_BYTES));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // every JVM has it
    }
  }

  static Set<JobId> readInRecord(JsonFields record) throws MalformedMessageException {
    return record.has(IN_RECORD) ? read(record.string(IN_RECORD)) : Set.of();
  }

  static Set<JobId> readPart(Object value) throws MalformedMessageException {
    return read(JsonFields.of(value, "a part of what a job waits on").string(IDS));
  }

  private static Set<JobId> read(String line) throws MalformedMessageException {
    Set<JobId> ids = new HashSet<>();
    for (String digits : line.split(" ")) {
      JobId id = JobId.parseDigits(digits);
      if (id == null) {
        throw new MalformedMessageException("jobs to wait on that are no ids");
      }
      ids.add(id);
    }
    return Collections.unmodifiableSet(ids); // in the same order in every process
  }
}
