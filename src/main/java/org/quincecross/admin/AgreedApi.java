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
import org.quincecross.state.ReplicatedRecordIndex;
import org.quincecross.state.ReplicatedRecordStore;
import org.quincecross.state.StateWatcher;

/**
 * Requests below {@code /admin/agreed}: what records there are, one record, a change of it, the
 * trail. All answers that say what is so are given from records that were confirmed after the
 * question came; what cannot be confirmed is answered 503.
 */
public final class AgreedApi {
  public static final String ROOT = AdminApi.ROOT + "/agreed";

  /**
   * So many records or lines are in one answer at most; the answer then says where the next begins.
   */
  private static final int MOST_ROWS = 1000;

  private static final int MOST_PAGES = 8;

  private final ReplicatedFeatureContext base;
  private final StateWatcher follower;

  public AgreedApi(ReplicatedFeatureContext base, StateWatcher follower) {
    this.base = base;
    this.follower = follower;
  }

  private static HttpResponse error(int status, String why) {
    return HttpResponse.of(status, JobCodec.writeError(why));
  }

  private static HttpResponse good(Object value) {
    return HttpResponse.of(200, Json.write(value));
  }

  /** Answers a request below {@link #ROOT}. */
  public void handle(HttpRequest request, Consumer<HttpResponse> reply) {
    String path = request.path().substring(ROOT.length());
    String[] parts =
        path.isEmpty() || path.equals("/") ? new String[0] : path.substring(1).split("/", -1);
    boolean get = request.method().equals("GET");
    if (parts.length == 0) {
      reply.accept(get ? good(kinds()) : HttpResponse.of(405));
      return;
    }
    ReplicatedRecordIndex<?, ?> book = base.ledger().agreed().book(parts[0]);
    if (book == null) {
      reply.accept(
          error(
              404,
              "there is no kind "
                  + parts[0]
                  + " here; there are "
                  + base.ledger().agreed().books().stream()
                      .map(each -> each.kind().name())
                      .toList()));
    } else if (parts.length == 1) {
      confirmed(get, reply, () -> list(book, request, reply));
    } else if (parts.length == 2 && parts[1].equals("trail")) {
      confirmed(get, reply, () -> trail(book, request, reply));
    } else if (parts.length != 2 || !RecordId.isName(parts[1])) {
      reply.accept(
          error(404, "no name of a record: letters, digits, '.', '_' and '-', at most 100"));
    } else if (request.method().equals("POST")) {
      change(book, parts[1], request.body(), reply);
    } else {
      confirmed(get, reply, () -> show(book, parts[1], reply));
    }
  }

  private void confirmed(boolean get, Consumer<HttpResponse> reply, Runnable answer) {
    if (!get) {
      reply.accept(HttpResponse.of(405));
      return;
    }
    follower.barrier(
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
    for (ReplicatedRecordIndex<?, ?> book : base.ledger().agreed().books()) {
      kinds.add(
          Json.object(
              "kind",
              book.kind().name(),
              "records",
              book.all().size(),
              "unreadable",
              book.unreadable().size(),
              "trail_pages",
              book.pages().size()));
    }
    return Json.object("kinds", kinds, "lacking", base.store().lacking());
  }

  /** The records in the order of their names, from after {@code after} on. */
  private <S> void list(
      ReplicatedRecordIndex<S, ?> book, HttpRequest request, Consumer<HttpResponse> reply) {
    String after = request.query("after");
    CommandOrigin at = base.at();
    List<Object> rows = new ArrayList<>();
    String next = null;
    String last = null;
    for (Map.Entry<String, ReplicatedRecordIndex.Held<S>> record : book.all().entrySet()) {
      if (after != null && record.getKey().compareTo(after) <= 0) {
        continue;
      }
      if (rows.size() >= MOST_ROWS) {
        next = last;
        break;
      }
      rows.addAll(book.kind().rows(record.getKey(), record.getValue().state(), at));
      last = record.getKey();
    }
    reply.accept(
        good(
            Json.object(
                "kind",
                book.kind().name(),
                "revision",
                base.ledger().revision().value(),
                "rows",
                rows,
                "unreadable",
                book.unreadable(),
                "next_after",
                next)));
  }

  private <S> void show(ReplicatedRecordIndex<S, ?> book, String id, Consumer<HttpResponse> reply) {
    ReplicatedRecordIndex.Held<S> held = book.get(id);
    if (held == null) {
      String unreadable = book.unreadable().get(id);
      reply.accept(
          unreadable == null
              ? error(404, "there is no " + book.kind().name() + " " + id)
              : error(500, "the record cannot be read: " + unreadable));
      return;
    }
    ReplicationBarrier.Answer known = base.known().of(held.version());
    List<Object> trail = new ArrayList<>();
    held.kept().lines(held.version()).forEach(line -> trail.add(line.show()));
    reply.accept(
        good(
            Json.object(
                "kind",
                book.kind().name(),
                "id",
                id,
                "change",
                held.kept().change(),
                "revision",
                held.version().value(),
                "known",
                Json.object(
                    "state",
                    known.state().toString(),
                    "missing",
                    known.missing().stream().map(member -> member.text()).toList(),
                    "at_the_latest_in_ms",
                    known.latest() == null
                        ? null
                        : Math.max(0, known.latest().since(base.timers().now()).millis())),
                "rows",
                book.kind().rows(id, held.state(), base.at()),
                "state",
                book.kind().write(held.state()),
                "latest",
                trail)));
  }

  /** Takes {@code {"request": "...", "command": {...}, "by": "...", "on_change": N}}. */
  private <S, C> void change(
      ReplicatedRecordIndex<S, C> book, String id, byte[] body, Consumer<HttpResponse> reply) {
    ReplicatedRecordStore.Ask<C> ask;
    try {
      JsonFields in = Json.parseFields(body);
      for (String name : in.fieldNames()) {
        if (!List.of("request", "command", "by", "on_change").contains(name)) {
          throw new MalformedMessageException(
              "unknown field " + name + "; there are request, command, by and on_change");
        }
      }
      String request = in.string("request");
      if (request.isBlank() || request.length() > ReplicatedRecord.LONGEST_NAME) {
        throw new MalformedMessageException(
            "field request is not 1 to " + ReplicatedRecord.LONGEST_NAME + " characters");
      }
      String by = in.stringOr("by", "");
      if (by.length() > ReplicatedRecord.LONGEST_NAME) {
        throw new MalformedMessageException(
            "field by is longer than " + ReplicatedRecord.LONGEST_NAME + " characters");
      }
      long onChange = in.has("on_change") ? in.integer("on_change", 0, Integer.MAX_VALUE) : -1;
      ask =
          new ReplicatedRecordStore.Ask<>(
              request,
              onChange,
              book.kind().command(in.fields("command").unknownFields(List.of())),
              by);
    } catch (MalformedMessageException | MalformedRecordException e) {
      reply.accept(error(400, e.getMessage()));
      return;
    }
    base.store()
        .ask(
            book,
            id,
            ask,
            answer -> {
              if (answer.isDurable()) {
                reply.accept(
                    good(
                        Json.object(
                            "kind",
                            book.kind().name(),
                            "id",
                            id,
                            "change",
                            answer.change(),
                            "revision",
                            answer.revision().value(),
                            "note",
                            answer.why().isEmpty() ? null : answer.why())));
              } else {
                reply.accept(
                    error(answer.status(), answer.why()).withRetryAfter(answer.retryAfterS()));
              }
            });
  }

  // ---- the trail ----

  /** Lines after a revision, from a page on; what no page has yet comes with the last page. */
  private void trail(
      ReplicatedRecordIndex<?, ?> book, HttpRequest request, Consumer<HttpResponse> reply) {
    long since;
    int page;
    try {
      since = request.query("since") == null ? 0 : Long.parseUnsignedLong(request.query("since"));
      page = request.query("page") == null ? 1 : Integer.parseInt(request.query("page"));
    } catch (NumberFormatException e) {
      reply.accept(error(400, "since is a revision, page the number of a page"));
      return;
    }
    pages(book, new Revision(since), page, 0, new ArrayList<>(), reply);
  }

  private void pages(
      ReplicatedRecordIndex<?, ?> book,
      Revision since,
      int from,
      int read,
      List<AuditEntry> lines,
      Consumer<HttpResponse> reply) {
    int page = from;
    while (page <= book.lastPageNumber()
        && !book.pages().getOrDefault(page, Revision.NONE).isAfter(since)) {
      page++;
    }
    if (page > book.lastPageNumber()) {
      addLatest(book, lines);
      answer(book, since, lines, null, reply);
    } else if (read >= MOST_PAGES) {
      answer(book, since, lines, page, reply);
    } else {
      int here = page;
      base.store()
          .page(
              book,
              here,
              more -> {
                if (more == null) {
                  reply.accept(error(503, "a page of the trail cannot be read").withRetryAfter(1));
                  return;
                }
                lines.addAll(more);
                pages(book, since, here + 1, read + 1, lines, reply);
              });
    }
  }

  private static <S> void addLatest(ReplicatedRecordIndex<S, ?> book, List<AuditEntry> lines) {
    book.all().values().forEach(held -> lines.addAll(held.kept().lines(held.version())));
  }

  private void answer(
      ReplicatedRecordIndex<?, ?> book,
      Revision since,
      List<AuditEntry> lines,
      Integer nextPage,
      Consumer<HttpResponse> reply) {
    List<Object> out = new ArrayList<>();
    lines.stream()
        .filter(line -> line.revision().isAfter(since))
        .distinct()
        .sorted(
            Comparator.comparing(AuditEntry::revision)
                .thenComparing(AuditEntry::id)
                .thenComparing(AuditEntry::change))
        .forEach(line -> out.add(line.show()));
    reply.accept(
        good(
            Json.object(
                "kind",
                book.kind().name(),
                "since",
                since.value(),
                "revision",
                base.ledger().revision().value(),
                "lines",
                out,
                "next_page",
                nextPage)));
  }
}
