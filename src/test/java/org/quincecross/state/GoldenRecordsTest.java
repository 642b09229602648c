package org.quincecross.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.quincecross.GoldenFiles;
import org.quincecross.legalhold.ClaimKind;
import org.quincecross.legalhold.LegalHoldKind;
import org.quincecross.legalhold.SweepClassKind;
import org.quincecross.model.JobId;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.modelserving.ModelKind;
import org.quincecross.protocol.CloudCodec;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.replicated.AuditPage;
import org.quincecross.replicated.MalformedRecordException;
import org.quincecross.replicated.RecordKind;
import org.quincecross.replicated.ReplicatedRecord;
import org.quincecross.reservation.RequestKind;

/** Records written by earlier builds can be read, and are the same bytes when written again. */
class GoldenRecordsTest {
  private static final Revision VERSION = new Revision(7);
  private static final RequestKind REQUESTS = new RequestKind(request -> null, 86_400_000);

  @Test
  void recordsAreReadAndWrittenByteForByte()
      throws IOException, MalformedMessageException, MalformedRecordException {
    TreeSet<String> kinds = new TreeSet<>();
    for (String[] line : GoldenFiles.messages("record ")) {
      Object value = Json.parse(line[2].getBytes(StandardCharsets.UTF_8));
      Object again = rewritten(line[1], value);
      if (again != null) {
        assertEquals(line[2], new String(Json.write(again), StandardCharsets.UTF_8), line[1]);
        kinds.add(line[0]);
      }
    }
    assertEquals(
        List.of(
            "record q/agreed/claims/",
            "record q/agreed/holds/",
            "record q/agreed/holds/~",
            "record q/agreed/models/",
            "record q/agreed/models/~",
            "record q/agreed/requests/",
            "record q/agreed/sweeps/",
            "record q/alloc/",
            "record q/block/",
            "record q/bundle/",
            "record q/change/",
            "record q/done/",
            "record q/job/",
            "record q/level",
            "record q/page/",
            "record q/settings",
            "record q/type/"),
        List.copyOf(kinds));
  }

  @Test
  void recordsOfEarlierBuildsRoundTrip() throws IOException, MalformedMessageException {
    ClusterStateCache cache = new ClusterStateCache();
    for (RecordKind<?, ?> kind :
        List.of(
            new LegalHoldKind(),
            new ClaimKind(),
            new SweepClassKind(),
            REQUESTS,
            new ModelKind())) {
      cache.replicatedRecords().add(kind);
    }
    for (String[] line : GoldenFiles.messages("record ")) {
      cache.apply(line[1], Json.parse(line[2].getBytes(StandardCharsets.UTF_8)), VERSION);
    }
    cache.advance(VERSION);
    assertEquals(Map.of(), cache.unreadable());
    assertTrue(
        cache.members().size() >= 3 && cache.leader() != null && !cache.machineTypes().isEmpty());
  }

  private static Object rewritten(String key, Object value)
      throws MalformedMessageException, MalformedRecordException {
    String[] parts = key.split("/");
    return switch (parts[1]) {
      case "job" -> rewrittenJob(JobRecord.read(new JobId(parts[2]), value, VERSION));
      case "bundle" -> {
        List<Map<String, Object>> open = new ArrayList<>();
        for (JobRecord record : JobRecord.readBundle(value, VERSION)) {
          open.add(JobRecord.writeOpen(record.job(), record.acceptedMs()));
        }
        yield JobRecord.writeBundle(open);
      }
      case "block" -> ShardLease.read(new ShardId(parts[2]), value, Revision.NONE).write();
      case "alloc" -> Allocation.write(Allocation.read(value, VERSION).tasks());
      case "change" -> {
        AllocationDelta change = AllocationDelta.read(value, VERSION);
        yield Json.object(
            "base",
            change.base().value(),
            "more",
            TaskSetCodec.write(change.added()),
            "fewer",
            TaskSetCodec.write(change.removed()));
      }
      case "done" ->
          CompletedTasks.write(
              CompletedTasks.read(value, Integer.parseInt(parts[3])), Integer.parseInt(parts[3]));
      case "page" ->
          CompletedTasks.writePage(
              TaskSetCodec.read(JsonFields.of(value, "a page").fields("jobs")));
      case "type" ->
          CloudCodec.writeCatalog(CloudCodec.readCatalog(JsonFields.of(value, "a type")));
      case "level" -> FeatureLevelRecord.write(FeatureLevelRecord.read(value, VERSION).level());
      case "settings" -> OperatorSettings.readRecord(value, OperatorSettings.DEFAULTS).write();
      case "agreed" ->
          parts.length < 4
              ? null
              : parts[3].startsWith("~")
                  ? AuditPage.read(value).write()
                  : rewrittenReplicatedRecord(kind(parts[2]), value);
      default -> null;
    };
  }

  private static Object rewrittenJob(JobRecord record) {
    if (!record.dependencyParts().isEmpty()) {
      return null; // refers to parts that are records of their own
    }
    return switch (record.phase()) {
      case OPEN -> JobRecord.writeOpen(record.job(), record.acceptedMs());
      case DONE -> record.endedMs() == 0 ? record.writeDone() : record.writeDone(record.endedMs());
      case CANCELLED -> record.writeCancelled(record.cancelledMs());
    };
  }

  private static RecordKind<?, ?> kind(String name) {
    return switch (name) {
      case "holds" -> new LegalHoldKind();
      case "claims" -> new ClaimKind();
      case "sweeps" -> new SweepClassKind();
      case "requests" -> REQUESTS;
      case "models" -> new ModelKind();
      default -> throw new IllegalArgumentException(name);
    };
  }

  private static <S> Object rewrittenReplicatedRecord(RecordKind<S, ?> kind, Object value)
      throws MalformedRecordException {
    return ReplicatedRecord.read(kind, value).write(kind);
  }
}
