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
 * Stored dependency lists. A short list is stored inline in the job's record, a long one in parts,
 * which are records of their own that the job's record names. A part is named after the hash of its
 * content, so writing it twice or late is harmless, and jobs with equal dependencies share it.
 * Parts are written before the job's record and never deleted.
 */
public final class JobDependencies {
  /** Field of a job's record with the digits of the ids. */
  static final String INLINE_FIELD = "after";

  /** Field of a job's record with the names of the parts. */
  static final String PARTS_FIELD = "after_parts";

  /** Field of a part with the digits of the ids. */
  private static final String IDS_FIELD = "ids";

  /**
   * The maximum length of an inline list; with the job's description the record stays well below 2
   * KiB.
   */
  private static final int MAX_INLINE_LENGTH = 800;

  /**
   * The maximum length of a part: below 2 KiB, and long enough that the names of the parts fit into
   * the job's record.
   */
  private static final int MAX_PART_LENGTH = 1_700;

  private static final int PART_NAME_BYTES = 15;

  private JobDependencies() {}

  /** The parts that have to be durable before the job's record; none if the list fits inline. */
  public static Map<String, Map<String, Object>> parts(Set<JobId> waitsOn) {
    Map<String, Map<String, Object>> parts = new LinkedHashMap<>();
    List<String> lines = lines(waitsOn, MAX_PART_LENGTH);
    if (!fitsInline(waitsOn)) {
      lines.forEach(
          line ->
              parts.put(StoreKeys.DEPENDENCY_PARTS + partName(line), Json.object(IDS_FIELD, line)));
    }
    return parts;
  }

  private static boolean fitsInline(Set<JobId> waitsOn) {
    return waitsOn.stream().mapToInt(id -> id.digitCount() + 1).sum() <= MAX_INLINE_LENGTH;
  }

  /** The fields of a job's record that contain or reference its dependencies. */
  static Map<String, Object> writeReferences(Set<JobId> waitsOn) {
    return fitsInline(waitsOn)
        ? Json.object(INLINE_FIELD, String.join("", lines(waitsOn, MAX_INLINE_LENGTH)))
        : Json.object(
            PARTS_FIELD,
            parts(waitsOn).keySet().stream()
                .map(key -> key.substring(StoreKeys.DEPENDENCY_PARTS.length()))
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

  private static String partName(String line) {
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256").digest(line.getBytes(StandardCharsets.US_ASCII));
      return Base64.getUrlEncoder()
          .withoutPadding()
          .encodeToString(Arrays.copyOf(hash, PART_NAME_BYTES));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // every JVM provides SHA-256
    }
  }

  static Set<JobId> readInline(JsonFields record) throws MalformedMessageException {
    return record.has(INLINE_FIELD) ? read(record.string(INLINE_FIELD)) : Set.of();
  }

  static Set<JobId> readPart(Object value) throws MalformedMessageException {
    return read(JsonFields.of(value, "a part of what a job waits on").string(IDS_FIELD));
  }

  private static Set<JobId> read(String line) throws MalformedMessageException {
    Set<JobId> ids = new HashSet<>();
    for (String digits : line.split(" ")) {
      JobId id = JobId.parseDigits(digits);
      if (id == null) {
        throw new MalformedMessageException("dependencies that are not job ids");
      }
      ids.add(id);
    }
    return Collections.unmodifiableSet(ids); // the same order in every process
  }
}
