package org.quincecross.cli;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.quincecross.admin.ModelsApi;
import org.quincecross.model.JobId;
import org.quincecross.modelserving.ModelKind;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Commands on served models that scale to zero. */
@Command(
    name = "model",
    mixinStandardHelpOptions = true,
    description = "Models that scale to zero: define, wake, load, drain, show, list.",
    subcommands = {
      ModelCommands.Define.class,
      ModelCommands.Wake.class,
      ModelCommands.Load.class,
      ModelCommands.Drain.class,
      ModelCommands.Show.class,
      ModelCommands.ListAll.class,
      ModelCommands.Trail.class
    })
final class ModelCommands implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(
        spec.commandLine(),
        "missing command: one of define, wake, load, drain, show, list and trail");
  }

  /** Base of the commands that print one row of the response. */
  abstract static class SingleModelCommand extends ReplicatedRecordCommand {
    private static final List<String> COLUMNS =
        List.of(
            "model",
            "job",
            "state",
            "epoch",
            "wanted",
            "running",
            "in_flight_here",
            "ready_in_s",
            "ready_by_s",
            "change",
            "revision",
            "note",
            "why");

    @Parameters(paramLabel = "MODEL", description = "the name of the model")
    private String name;

    @Override
    final String kind() {
      return ModelKind.NAME;
    }

    final int sendAndPrint(String method, String action, Map<String, Object> body) {
      ClientCommand.Server.Reply reply =
          send(method, ModelsApi.ROOT + "/" + validId(name) + action, body);
      if (!reply.isSuccess() && reply.status() != 202) {
        return printError(reply);
      }
      try {
        JsonFields answer = Json.parseFields(reply.text().getBytes(StandardCharsets.UTF_8));
        Map<String, Object> row = Json.object();
        COLUMNS.stream().filter(answer::has).forEach(column -> row.put(column, answer.raw(column)));
        return print(List.of(row));
      } catch (MalformedMessageException e) {
        return printError(reply);
      }
    }
  }

  @Command(
      name = "define",
      mixinStandardHelpOptions = true,
      description =
          "Defines a submitted service as a model, which starts at zero; or changes the limits of a model.")
  static final class Define extends SingleModelCommand {
    @Option(
        names = "--job",
        required = true,
        paramLabel = "JOB",
        description = "the service whose tasks are the replicas")
    private String job;

    @Option(
        names = "--least",
        paramLabel = "N",
        defaultValue = "1",
        description = "minimum number of replicas while it is up (default: ${DEFAULT-VALUE})")
    private int minReplicas;

    @Option(
        names = "--most",
        paramLabel = "N",
        description = "maximum number of replicas (default: as --least)")
    private Integer maxReplicas;

    @Option(
        names = "--per-replica",
        paramLabel = "N",
        defaultValue = "1",
        description = "requests that a replica serves at a time (default: ${DEFAULT-VALUE})")
    private int requestsPerReplica;

    @Option(
        names = "--idle-s",
        paramLabel = "SECONDS",
        defaultValue = "300",
        description = "idle time after which it scales to zero (default: ${DEFAULT-VALUE})")
    private double idleS;

    @Option(
        names = "--keep-warm",
        paramLabel = "N",
        defaultValue = "0",
        description =
            "machines that keep its weights cached while it is at zero (default: ${DEFAULT-VALUE})")
    private int cachedMachines;

    @Mixin private ChangeOptions request;

    @Override
    public Integer call() {
      if (JobId.parse(job) == null) {
        throw invalidUsage("--job: '" + job + "' is no job id: job- and digits");
      }
      int highest = maxReplicas == null ? minReplicas : maxReplicas;
      if (minReplicas < 1 || highest < minReplicas) {
        throw invalidUsage("--least is at least 1, and --most at least --least");
      }
      if (requestsPerReplica < 1 || idleS < 1 || cachedMachines < 0) {
        throw invalidUsage("--per-replica and --idle-s are at least 1, --keep-warm at least 0");
      }
      Map<String, Object> body =
          Json.object(
              "job",
              job,
              "least",
              minReplicas,
              "most",
              highest,
              "per_replica",
              requestsPerReplica,
              "idle_s",
              idleS,
              "keep_warm",
              cachedMachines);
      request.addTo(body);
      return sendAndPrint("POST", "", body);
    }
  }

  @Command(
      name = "wake",
      mixinStandardHelpOptions = true,
      description = "Wakes a model, and shows when it should be ready.")
  static final class Wake extends SingleModelCommand {
    @Override
    public Integer call() {
      return sendAndPrint("POST", "/wake", Json.object());
    }
  }

  @Command(
      name = "load",
      mixinStandardHelpOptions = true,
      description = "Reports a caller's requests in flight; a report is valid for 30 s.")
  static final class Load extends SingleModelCommand {
    @Option(
        names = "--from",
        required = true,
        paramLabel = "CALLER",
        description = "the caller; replaces its previous report")
    private String from;

    @Option(names = "--in-flight", required = true, paramLabel = "N", description = "how many")
    private int inFlight;

    @Override
    public Integer call() {
      if (inFlight < 0) {
        throw invalidUsage("--in-flight is at least 0");
      }
      return sendAndPrint("POST", "/load", Json.object("from", from, "in_flight", inFlight));
    }
  }

  @Command(
      name = "drain",
      mixinStandardHelpOptions = true,
      description = "Scales a model to zero, regardless of requests in flight.")
  static final class Drain extends SingleModelCommand {
    @Mixin private ChangeOptions request;

    @Override
    public Integer call() {
      Map<String, Object> body = Json.object();
      request.addTo(body);
      return sendAndPrint("POST", "/drain", body);
    }
  }

  @Command(
      name = "show",
      mixinStandardHelpOptions = true,
      description = "Shows a model, and when it should be ready.")
  static final class Show extends SingleModelCommand {
    @Override
    public Integer call() {
      return sendAndPrint("GET", "", null);
    }
  }

  @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists the models.")
  static final class ListAll extends ReplicatedRecordCommand {
    @Override
    String kind() {
      return ModelKind.NAME;
    }

    @Override
    public Integer call() {
      ClientCommand.Server.Reply reply = send("GET", ModelsApi.ROOT, null);
      if (!reply.isSuccess()) {
        return printError(reply);
      }
      try {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (JsonFields row :
            Json.parseFields(reply.text().getBytes(StandardCharsets.UTF_8)).objects("rows")) {
          Map<String, Object> out = Json.object();
          row.fieldNames().forEach(column -> out.put(column, row.raw(column)));
          rows.add(out);
        }
        return print(rows);
      } catch (MalformedMessageException e) {
        return printError(reply);
      }
    }
  }

  @Command(
      name = "trail",
      mixinStandardHelpOptions = true,
      description = "Shows the audit trail of the models.")
  static final class Trail extends ReplicatedRecordCommand.ShowTrail {
    @Override
    String kind() {
      return ModelKind.NAME;
    }
  }
}
