package org.quincecross.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.quincecross.admin.AdminApi;
import org.quincecross.protocol.JobCodec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The commands that send a request to a running controller and print the response. The exit status
 * is 0 if the response status was 200 or 201.
 */
final class ClientCommand {
  private static final int TIMEOUT_MS = 6000;

  /** Option that selects the controller. */
  static final class Server {
    @Option(
        names = "--server",
        paramLabel = "HOST:PORT",
        defaultValue = "127.0.0.1:8080",
        description = "the controller to ask (default: ${DEFAULT-VALUE})")
    private String server;

    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    /** Sends a request and prints the response; returns the exit status. */
    int sendAndPrint(String method, String path, byte[] body) {
      return print(send(method, path, body));
    }

    /** A response; if there was none, {@code status} is 0 and {@code text} has the reason. */
    record Reply(int status, String text, int retryAfterS) {
      boolean isSuccess() {
        return status == 200 || status == 201;
      }
    }

    int print(Reply reply) {
      if (reply.status() == 0) {
        spec.commandLine().getErr().println("quincecross: " + reply.text());
        return 1;
      }
      (reply.isSuccess() ? spec.commandLine().getOut() : spec.commandLine().getErr())
          .println(reply.isSuccess() ? reply.text() : reply.status() + " " + reply.text());
      return reply.isSuccess() ? 0 : 1;
    }

    Reply send(String method, String path, byte[] body) {
      try {
        HttpURLConnection connection =
            (HttpURLConnection) new URL("http://" + server + path).openConnection();
        connection.setRequestMethod(method);
        connection.setConnectTimeout(TIMEOUT_MS);
        connection.setReadTimeout(TIMEOUT_MS);
        if (body != null) {
          connection.setDoOutput(true);
          connection.setFixedLengthStreamingMode(body.length);
          connection.getOutputStream().write(body);
        }
        int status = connection.getResponseCode();
        try (InputStream in =
            status < 400 ? connection.getInputStream() : connection.getErrorStream()) {
          return new Reply(
              status,
              in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8),
              connection.getHeaderFieldInt("Retry-After", 0));
        }
      } catch (IOException e) {
        return new Reply(0, "cannot ask " + server + ": " + e.getMessage(), 0);
      }
    }
  }

  private ClientCommand() {}

  @Command(name = "submit", mixinStandardHelpOptions = true, description = "Submits a job.")
  static final class Submit implements Callable<Integer> {
    @Mixin private Server server;

    @Parameters(paramLabel = "FILE", description = "the job, as JSON")
    private Path file;

    @Override
    public Integer call() throws IOException {
      return server.sendAndPrint("POST", JobCodec.JOBS_PATH, Files.readAllBytes(file));
    }
  }

  @Command(
      name = "show",
      mixinStandardHelpOptions = true,
      description = "Shows the state of a job.")
  static final class Show implements Callable<Integer> {
    @Mixin private Server server;

    @Parameters(paramLabel = "JOB", description = "the id of the job")
    private String job;

    @Override
    public Integer call() {
      return server.sendAndPrint("GET", JobCodec.JOBS_PATH + "/" + job, null);
    }
  }

  @Command(name = "cancel", mixinStandardHelpOptions = true, description = "Cancels a job.")
  static final class Cancel implements Callable<Integer> {
    @Mixin private Server server;

    @Parameters(paramLabel = "JOB", description = "the id of the job")
    private String job;

    @Override
    public Integer call() {
      return server.sendAndPrint(
          "POST", JobCodec.JOBS_PATH + "/" + job + JobCodec.CANCEL_SUFFIX, new byte[0]);
    }
  }

  @Command(
      name = "inspect",
      mixinStandardHelpOptions = true,
      description = "Shows what a controller knows: status, blocks, machines, metrics or settings.")
  static final class Inspect implements Callable<Integer> {
    @Mixin private Server server;

    @Parameters(paramLabel = "WHAT", description = "status, blocks, machines, metrics or settings")
    private String what;

    @Override
    public Integer call() {
      return server.sendAndPrint("GET", AdminApi.ROOT + "/" + what, null);
    }
  }

  @Command(
      name = "set",
      mixinStandardHelpOptions = true,
      description =
          "Changes the operators' settings, from the version that 'inspect settings' showed.")
  static final class Set implements Callable<Integer> {
    @Mixin private Server server;

    @Option(
        names = "--version-seen",
        required = true,
        paramLabel = "N",
        description = "the version that the change is made on")
    private long version;

    @Parameters(
        paramLabel = "JSON",
        description = "the settings to change, such as '{\"idle_s\": 60}'")
    private String settings;

    @Override
    public Integer call() {
      String body = "{\"version\":" + version + ",\"settings\":" + settings + "}";
      return server.sendAndPrint(
          "PUT", AdminApi.ROOT + "/settings", body.getBytes(StandardCharsets.UTF_8));
    }
  }
}
