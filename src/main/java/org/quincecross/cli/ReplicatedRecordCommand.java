package org.quincecross.cli;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;
import org.quincecross.admin.ReplicatedRecordsApi;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.replicated.RecordId;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Base of the commands on replicated records. Each prints JSON or a table, or one line with the
 * error. The exit status is 0 on success, 1 on failure, and 2 for an invalid command line.
 */
abstract class ReplicatedRecordCommand implements Callable<Integer> {
  /** The output formats. */
  enum Output {
    json,
    table
  }

  private static final int MAX_TRIES = 4;
  private static final int MAX_RETRY_WAIT_S = 10;

  @Mixin private ClientCommand.Server server;

  @Option(
      names = "--output",
      paramLabel = "FORM",
      defaultValue = "table",
      description = "table or json (default: ${DEFAULT-VALUE})")
  private Output output;

  @Spec private CommandSpec spec;

  /** The kind of the records. */
  abstract String kind();

  /** Creates the exception for an invalid command line; no request has been sent then. */
  final ParameterException invalidUsage(String message) {
    return new ParameterException(spec.commandLine(), message);
  }

  private String path(String rest) {
    return ReplicatedRecordsApi.ROOT + "/" + kind() + rest;
  }

  final String validId(String id) {
    if (!RecordId.isName(id)) {
      throw invalidUsage(
          "'"
              + id
              + "' is no name of a "
              + kind()
              + ": letters, digits, '.', '_' and '-', at most 100");
    }
    return id;
  }

  final void print(String text) {
    spec.commandLine().getOut().print(text);
    spec.commandLine().getOut().flush();
  }

  /** Prints rows in the requested format. */
  final int print(List<Map<String, Object>> rows) {
    print(
        output == Output.json
            ? new String(Json.write(rows), StandardCharsets.UTF_8) + "\n"
            : Table.of(rows));
    return 0;
  }

  /** Sends a request that is not about the records themselves. */
  final ClientCommand.Server.Reply send(String method, String path, Map<String, Object> body) {
    return server.send(method, path, body == null ? null : Json.write(body));
  }

  /** Prints the error in a reply; returns the exit status. */
  final int printError(ClientCommand.Server.Reply reply) {
    String error = reply.text();
    try {
      error =
          reply.status() == 0
              ? error
              : Json.parseFields(error.getBytes(StandardCharsets.UTF_8)).stringOr("error", error);
    } catch (MalformedMessageException e) {
      // the text is printed as received
    }
    spec.commandLine()
        .getErr()
        .println(
            spec.qualifiedName()
                + ": "
                + (reply.status() == 0 ? "" : reply.status() + " ")
                + error);
    return 1;
  }

  /** Parses a reply; null if it is malformed. */
  private static JsonFields parse(ClientCommand.Server.Reply reply) {
    try {
      return Json.parseFields(reply.text().getBytes(StandardCharsets.UTF_8));
    } catch (MalformedMessageException e) {
      return null;
    }
  }

  /** Processes one of several response pages. */
  interface Page {
    /** Processes a page and returns the path of the next one, or null. */
    String process(JsonFields answer) throws MalformedMessageException;
  }

  private int pages(String first, Page page) {
    String next = first;
    while (next != null) {
      ClientCommand.Server.Reply reply = server.send("GET", path(next), null);
      JsonFields answer = reply.isSuccess() ? parse(reply) : null;
      if (answer == null) {
        return printError(reply);
      }
      try {
        next = page.process(answer);
      } catch (MalformedMessageException e) {
        spec.commandLine().getErr().println("quincecross: " + e.getMessage());
        return 1;
      }
    }
    return 0;
  }

  private static List<Map<String, Object>> rows(JsonFields answer, String name)
      throws MalformedMessageException {
    List<Map<String, Object>> rows = new ArrayList<>();
    for (JsonFields row : answer.objects(name)) {
      Map<String, Object> out = Json.object();
      row.fieldNames().forEach(column -> out.put(column, row.raw(column)));
      rows.add(out);
    }
    return rows;
  }

  /** Returns all records as rows; null if that failed, after printing the error. */
  final List<Map<String, Object>> list() {
    List<Map<String, Object>> rows = new ArrayList<>();
    int status =
        pages(
            "",
            answer -> {
              rows.addAll(rows(answer, "rows"));
              return answer.has("next_after") ? "?after=" + answer.string("next_after") : null;
            });
    return status == 0 ? rows : null;
  }

  /**
   * Returns the audit entries after a revision as rows; null if that failed, after printing the
   * error.
   */
  final List<Map<String, Object>> trail(long since) {
    List<Map<String, Object>> rows = new ArrayList<>();
    int status =
        pages(
            "/trail?since=" + since,
            answer -> {
              rows.addAll(rows(answer, "lines"));
              return answer.has("next_page")
                  ? "/trail?since="
                      + since
                      + "&page="
                      + answer.integer("next_page", 1, Integer.MAX_VALUE)
                  : null;
            });
    return status == 0 ? rows : null;
  }

  /** Prints one record. */
  final int show(String id) {
    ClientCommand.Server.Reply reply = server.send("GET", path("/" + validId(id)), null);
    JsonFields answer = reply.isSuccess() ? parse(reply) : null;
    if (answer == null) {
      return printError(reply);
    }
    if (output == Output.json) {
      return server.print(reply);
    }
    try {
      return print(rows(answer, "rows"));
    } catch (MalformedMessageException e) {
      spec.commandLine().getErr().println("quincecross: " + e.getMessage());
      return 1;
    }
  }

  /** Changes a record; retries under the same request name while the outcome is unknown. */
  final int change(String id, ChangeOptions options, Map<String, Object> command) {
    String name = options.name == null ? UUID.randomUUID().toString() : options.name;
    Map<String, Object> body = Json.object("request", name, "command", command, "by", options.by);
    if (options.onChange >= 0) {
      body.put("on_change", options.onChange);
    }
    ClientCommand.Server.Reply reply = null;
    for (int tries = 0; tries < MAX_TRIES; tries++) {
      reply = server.send("POST", path("/" + validId(id)), Json.write(body));
      if ((reply.status() != 503 && reply.status() != 0) || !pause(reply.retryAfterS())) {
        break;
      }
    }
    if (!reply.isSuccess()) {
      int status = printError(reply);
      if (reply.status() == 503 || reply.status() == 0) {
        spec.commandLine()
            .getErr()
            .println("the outcome is unknown: repeat with --request " + name);
      }
      return status;
    }
    JsonFields answer = parse(reply);
    if (output == Output.json || answer == null) {
      return server.print(reply);
    }
    print(
        kind()
            + " "
            + id
            + ": change "
            + answer.raw("change")
            + ", revision "
            + answer.raw("revision")
            + (answer.has("note") ? " (" + answer.raw("note") + ")" : "")
            + "\n");
    return 0;
  }

  private static boolean pause(int seconds) {
    try {
      Thread.sleep(1000L * Math.min(MAX_RETRY_WAIT_S, Math.max(1, seconds)));
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Options of each change. */
  static final class ChangeOptions {
    @Option(
        names = "--request",
        paramLabel = "NAME",
        description =
            "name of the request; repeating a request under the same name applies it once (default: a new name)")
    private String name;

    @Option(
        names = "--by",
        paramLabel = "WHO",
        description = "author for the audit trail (default: this user)")
    private String by = System.getProperty("user.name", "");

    /** Adds the options to a request that is not sent by {@link ReplicatedRecordCommand#change}. */
    void addTo(Map<String, Object> body) {
      body.put("request", name == null ? UUID.randomUUID().toString() : name);
      body.put("by", by);
    }

    @Option(
        names = "--on-change",
        paramLabel = "N",
        description = "apply only if this is the record's last change")
    private long onChange = -1;
  }

  /** Lists the records of a kind. */
  abstract static class ListRecords extends ReplicatedRecordCommand {
    @Override
    public Integer call() {
      List<Map<String, Object>> rows = list();
      return rows == null ? 1 : print(rows);
    }
  }

  /** Shows one record. */
  abstract static class ShowRecord extends ReplicatedRecordCommand {
    @Parameters(paramLabel = "ID", description = "the name of the record")
    private String id;

    @Override
    public Integer call() {
      return show(id);
    }
  }

  /** Shows the audit trail. */
  abstract static class ShowTrail extends ReplicatedRecordCommand {
    @Option(
        names = "--since",
        paramLabel = "REVISION",
        defaultValue = "0",
        description = "only entries after this revision")
    private long since;

    @Override
    public Integer call() {
      List<Map<String, Object>> rows = trail(since);
      return rows == null ? 1 : print(rows);
    }
  }
}
