package org.quincecross.admin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.Revision;
import org.quincecross.peer.ReplicatedFeatureContext;
import org.quincecross.protocol.JobCodec;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.replicated.AuditEntry;
import org.quincecross.replicated.CommandOrigin;
import org.quincecross.replicated.MalformedRecordException;
import org.quincecross.replicated.RecordId;
import org.quincecross.replicated.ReplicatedRecord;
import org.quincecross.replicated.ReplicationBarrier;
import org.quincecross.state.RecordCommand;
import org.quincecross.state.ReplicatedRecordIndex;
import org.quincecross.state.StateWatcher;

/**
 * Serves requests below {@code /admin/agreed} on replicated records: the kinds, the records of a
 * kind, one record, a change of it, and the audit trail. Responses are given from state that was
 * confirmed after the request arrived; if it cannot be confirmed, the status is 503.
 */
public final class ReplicatedRecordsApi {
  public static final String ROOT = AdminApi.ROOT + "/agreed";

  /**
   * Upper limit of records or audit entries in one response, which then states where the next
   * begins.
   */
  private static final int MAX_ROWS = 1000;

  private static final int MAX_PAGES = 8;

  private final ReplicatedFeatureContext context;
  private final StateWatcher watcher;

  public ReplicatedRecordsApi(ReplicatedFeatureContext context, StateWatcher watcher) {
    this.context = context;
    this.watcher = watcher;
  }

  private static HttpResponse error(int status, String reason) {
    return HttpResponse.of(status, JobCodec.writeError(reason));
  }

  private static HttpResponse ok(Object value) {
    return HttpResponse.of(200, Json.write(value));
  }

  /** Handles a request below {@link #ROOT}. */
  public void handle(HttpRequest request, Consumer<HttpResponse> reply) {
    String path = request.path().substring(ROOT.length());
    String[] parts =
        path.isEmpty() || path.equals("/") ? new String[0] : path.substring(1).split("/", -1);
    boolean get = request.method().equals("GET");
    if (parts.length == 0) {
      reply.accept(get ? ok(kinds()) : HttpResponse.of(405));
      return;
    }
    ReplicatedRecordIndex<?, ?> index = context.cache().replicatedRecords().index(parts[0]);
    if (index == null) {
      reply.accept(
          error(
              404,
              "there is no kind "
                  + parts[0]
                  + " here; there are "
                  + context.cache().replicatedRecords().indexes().stream()
                      .map(each -> each.kind().name())
                      .toList()));
    } else if (parts.length == 1) {
      confirmed(get, reply, () -> list(index, request, reply));
    } else if (parts.length == 2 && parts[1].equals("trail")) {
      confirmed(get, reply, () -> trail(index, request, reply));
    } else if (parts.length != 2 || !RecordId.isName(parts[1])) {
      reply.accept(
          error(404, "no name of a record: letters, digits, '.', '_' and '-', at most 100"));
    } else if (request.method().equals("POST")) {
      change(index, parts[1], request.body(), reply);
    } else {
      confirmed(get, reply, () -> show(index, parts[1], reply));
    }
  }

  private void confirmed(boolean get, Consumer<HttpResponse> reply, Runnable answer) {
    if (!get) {
      reply.accept(HttpResponse.of(405));
      return;
    }
    watcher.barrier(
        current -> {
          if (current) {
            answer.run();
          } else {
            reply.accept(error(503, "the records cannot be confirmed").withRetryAfter(1));
          }
        });
  }

  private Object kinds() {
    List<Object> kinds = new ArrayList<>();
    for (ReplicatedRecordIndex<?, ?> index : context.cache().replicatedRecords().indexes()) {
      kinds.add(
          Json.object(
              "kind",
              index.kind().name(),
              "records",
              index.all().size(),
              "unreadable",
              index.unreadable().size(),
              "trail_pages",
              index.pages().size()));
    }
    return Json.object("kinds", kinds, "lacking", context.store().unavailableReason());
  }

  /** Lists the records in name order, starting after {@code after}. */
  private <S> void list(
      ReplicatedRecordIndex<S, ?> index, HttpRequest request, Consumer<HttpResponse> reply) {
    String after = request.query("after");
    CommandOrigin at = context.at();
    List<Object> rows = new ArrayList<>();
    String next = null;
    String last = null;
    for (Map.Entry<String, ReplicatedRecordIndex.Held<S>> record : index.all().entrySet()) {
      if (after != null && record.getKey().compareTo(after) <= 0) {
        continue;
      }
      if (rows.size() >= MAX_ROWS) {
        next = last;
        break;
      }
      rows.addAll(index.kind().rows(record.getKey(), record.getValue().state(), at));
      last = record.getKey();
    }
    reply.accept(
        ok(
            Json.object(
                "kind",
                index.kind().name(),
                "revision",
                context.cache().revision().value(),
                "rows",
                rows,
                "unreadable",
                index.unreadable(),
                "next_after",
                next)));
  }

  private <S> void show(
      ReplicatedRecordIndex<S, ?> index, String id, Consumer<HttpResponse> reply) {
    ReplicatedRecordIndex.Held<S> stored = index.get(id);
    if (stored == null) {
      String unreadable = index.unreadable().get(id);
      reply.accept(
          unreadable == null
              ? error(404, "there is no " + index.kind().name() + " " + id)
              : error(500, "the record cannot be read: " + unreadable));
      return;
    }
    ReplicationBarrier.Status replication = context.known().of(stored.version());
    List<Object> trail = new ArrayList<>();
    stored.record().auditEntries(stored.version()).forEach(entry -> trail.add(entry.toMap()));
    reply.accept(
        ok(
            Json.object(
                "kind",
                index.kind().name(),
                "id",
                id,
                "change",
                stored.record().change(),
                "revision",
                stored.version().value(),
                "known",
                Json.object(
                    "state",
                    replication.state().toString(),
                    "missing",
                    replication.missing().stream().map(member -> member.text()).toList(),
                    "at_the_latest_in_ms",
                    replication.latest() == null
                        ? null
                        : Math.max(0, replication.latest().since(context.timers().now()).millis())),
                "rows",
                index.kind().rows(id, stored.state(), context.at()),
                "state",
                index.kind().write(stored.state()),
                "latest",
                trail)));
  }

  /** Handles {@code {"request": "...", "command": {...}, "by": "...", "on_change": N}}. */
  private <S, C> void change(
      ReplicatedRecordIndex<S, C> index, String id, byte[] body, Consumer<HttpResponse> reply) {
    RecordCommand<C> command;
    try {
      JsonFields in = Json.parseFields(body);
      for (String name : in.fieldNames()) {
        if (!List.of("request", "command", "by", "on_change").contains(name)) {
          throw new MalformedMessageException(
              "unknown field " + name + "; there are request, command, by and on_change");
        }
      }
      String request = in.string("request");
      if (request.isBlank() || request.length() > ReplicatedRecord.MAX_REQUEST_NAME_LENGTH) {
        throw new MalformedMessageException(
            "field request is not 1 to "
                + ReplicatedRecord.MAX_REQUEST_NAME_LENGTH
                + " characters");
      }
      String by = in.stringOr("by", "");
      if (by.length() > ReplicatedRecord.MAX_REQUEST_NAME_LENGTH) {
        throw new MalformedMessageException(
            "field by is longer than " + ReplicatedRecord.MAX_REQUEST_NAME_LENGTH + " characters");
      }
      long onChange = in.has("on_change") ? in.integer("on_change", 0, Integer.MAX_VALUE) : -1;
      command =
          new RecordCommand<>(
              request,
              onChange,
              index.kind().command(in.fields("command").unknownFields(List.of())),
              by);
    } catch (MalformedMessageException | MalformedRecordException e) {
      reply.accept(error(400, e.getMessage()));
      return;
    }
    context
        .store()
        .submit(
            index,
            id,
            command,
            answer -> {
              if (answer.isDurable()) {
                reply.accept(
                    ok(
                        Json.object(
                            "kind",
                            index.kind().name(),
                            "id",
                            id,
                            "change",
                            answer.change(),
                            "revision",
                            answer.revision().value(),
                            "note",
                            answer.reason().isEmpty() ? null : answer.reason())));
              } else {
                reply.accept(
                    error(answer.status(), answer.reason()).withRetryAfter(answer.retryAfterS()));
              }
            });
  }

  // ---- audit trail ----

  /**
   * Returns the audit entries after a revision, starting at a page; entries that are on no page yet
   * come with the last page.
   */
  private void trail(
      ReplicatedRecordIndex<?, ?> index, HttpRequest request, Consumer<HttpResponse> reply) {
    long since;
    int page;
    try {
      since = request.query("since") == null ? 0 : Long.parseUnsignedLong(request.query("since"));
      page = request.query("page") == null ? 1 : Integer.parseInt(request.query("page"));
    } catch (NumberFormatException e) {
      reply.accept(error(400, "since is a revision, page the number of a page"));
      return;
    }
    pages(index, new Revision(since), page, 0, new ArrayList<>(), reply);
  }

  private void pages(
      ReplicatedRecordIndex<?, ?> index,
      Revision since,
      int from,
      int read,
      List<AuditEntry> entries,
      Consumer<HttpResponse> reply) {
    int page = from;
    while (page <= index.lastPageNumber()
        && !index.pages().getOrDefault(page, Revision.NONE).isAfter(since)) {
      page++;
    }
    if (page > index.lastPageNumber()) {
      addLatest(index, entries);
      answer(index, since, entries, null, reply);
    } else if (read >= MAX_PAGES) {
      answer(index, since, entries, page, reply);
    } else {
      int here = page;
      context
          .store()
          .page(
              index,
              here,
              more -> {
                if (more == null) {
                  reply.accept(error(503, "a page of the trail cannot be read").withRetryAfter(1));
                  return;
                }
                entries.addAll(more);
                pages(index, since, here + 1, read + 1, entries, reply);
              });
    }
  }

  private static <S> void addLatest(ReplicatedRecordIndex<S, ?> index, List<AuditEntry> entries) {
    index
        .all()
        .values()
        .forEach(stored -> entries.addAll(stored.record().auditEntries(stored.version())));
  }

  private void answer(
      ReplicatedRecordIndex<?, ?> index,
      Revision since,
      List<AuditEntry> entries,
      Integer nextPage,
      Consumer<HttpResponse> reply) {
    List<Object> out = new ArrayList<>();
    entries.stream()
        .filter(entry -> entry.revision().isAfter(since))
        .distinct()
        .sorted(
            Comparator.comparing(AuditEntry::revision)
                .thenComparing(AuditEntry::id)
                .thenComparing(AuditEntry::change))
        .forEach(entry -> out.add(entry.toMap()));
    reply.accept(
        ok(
            Json.object(
                "kind",
                index.kind().name(),
                "since",
                since.value(),
                "revision",
                context.cache().revision().value(),
                "lines",
                out,
                "next_page",
                nextPage)));
  }
}
