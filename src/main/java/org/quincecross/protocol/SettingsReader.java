package org.quincecross.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.failuredetection.UnconfirmedOwnershipBound;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Endpoint;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Settings.AgentTimeouts;
import org.quincecross.protocol.Settings.CloudLimits;
import org.quincecross.protocol.Settings.Objective;
import org.quincecross.protocol.Settings.Peer;
import org.quincecross.protocol.Settings.ProcessLimits;
import org.quincecross.protocol.Settings.StoreLimits;

/**
 * Reads the settings file that the platform hands to every controller. Unknown fields are ignored.
 */
public final class SettingsReader {
  private static final double DEFAULT_TIME_BOUND_MS = 2000;
  private static final double MAX_TIMEOUT_S = 86_400;

  private SettingsReader() {}

  /**
   * Reads a settings file.
   *
   * @throws MalformedMessageException if a field is missing or has a wrong value; it names the
   *     field
   */
  public static Settings read(byte[] bytes) throws MalformedMessageException {
    JsonFields in = JsonFields.of(Json.parse(bytes), "the settings");
    JsonFields external = in.fields("external");
    JsonFields params = in.fields("params");
    List<Peer> peers = peers(in);
    Map<String, Team> teams = teams(params);
    List<Objective> objectives = objectives(params);
    JsonFields agents = params.fields("workers");
    JsonFields store = params.fields("state");
    JsonFields cloud = params.fields("cloud");
    JsonFields process = params.fields("quota");
    return new Settings(
        new ControllerId(in.string("member")),
        in.string("site"),
        endpoint(in, "listen"),
        endpoint(in, "peer_bind"),
        peers,
        endpoint(external, "cloud"),
        endpoint(external, "state"),
        List.copyOf(params.strings("zones")),
        teams,
        objectives,
        agentTimeouts(agents),
        storeLimits(store),
        cloudLimits(cloud),
        clockBound(params),
        processLimits(process));
  }

  private static List<Peer> peers(JsonFields in) throws MalformedMessageException {
    List<Peer> peers = new ArrayList<>();
    for (JsonFields peer : in.objects("siblings")) {
      peers.add(
          new Peer(
              new ControllerId(peer.string("member")),
              peer.string("site"),
              endpoint(peer, "endpoint")));
    }
    return List.copyOf(peers);
  }

  private static Map<String, Team> teams(JsonFields params) throws MalformedMessageException {
    double unlimited = Double.POSITIVE_INFINITY;
    Map<String, Team> teams = new LinkedHashMap<>();
    for (JsonFields in : params.objects("teams")) {
      String name = in.string("name");
      Resources guarantee =
          new Resources(in.nonNegativeNumber("cpus"), in.nonNegativeNumber("gpus"), unlimited);
      Resources limit = new Resources(limit(in, "cpus_max"), limit(in, "gpus_max"), unlimited);
      teams.put(name, new Team(name, guarantee, limit));
    }
    return teams;
  }

  private static double limit(JsonFields team, String name) throws MalformedMessageException {
    double value = team.nonNegativeNumber(name);
    return value == 0 ? Double.POSITIVE_INFINITY : value;
  }

  private static List<Objective> objectives(JsonFields params) throws MalformedMessageException {
    List<Objective> objectives = new ArrayList<>();
    for (Object item : params.listOrEmpty("objectives")) {
      JsonFields in = JsonFields.of(item, "an item of objectives");
      objectives.add(
          new Objective(
              in.string("kind"),
              in.stringOr("class", null),
              in.has("within_s") ? TimeSpan.ofSeconds(in.nonNegativeNumber("within_s")) : null,
              in.has("times") ? in.positiveNumber("times") : 1,
              in.has("share") ? in.nonNegativeNumber("share") : 1));
    }
    return List.copyOf(objectives);
  }

  private static AgentTimeouts agentTimeouts(JsonFields in) throws MalformedMessageException {
    AgentTimeouts timeouts =
        new AgentTimeouts(
            timeout(in, "report_s"),
            timeout(in, "lease_s"),
            timeout(in, "gang_wait_s"),
            timeout(in, "gang_peer_s"),
            timeout(in, "cancel_s"));
    if (!UnconfirmedOwnershipBound.isPossible(timeouts.lease(), timeouts.cancelTimeout())) {
      throw new MalformedMessageException(
          "field lease_s is too long for what cancel_s says: tasks that nobody reaches go on for a lease");
    }
    return timeouts;
  }

  private static TimeSpan timeout(JsonFields in, String name) throws MalformedMessageException {
    double seconds = in.positiveNumber(name);
    if (seconds > MAX_TIMEOUT_S) {
      throw new MalformedMessageException("field " + name + " is longer than a day");
    }
    return TimeSpan.ofSeconds(seconds);
  }

  /** The limits in force, or the announced ones where they are lower. */
  private static StoreLimits storeLimits(JsonFields in) throws MalformedMessageException {
    return in.has("next")
        ? storeLimits(in, in).min(storeLimits(in.fields("next"), in))
        : storeLimits(in, in);
  }

  /** Reads limits; those that {@code in} lacks are taken from {@code otherwise}. */
  private static StoreLimits storeLimits(JsonFields in, JsonFields otherwise)
      throws MalformedMessageException {
    return new StoreLimits(
        having(in, otherwise, "rps").positiveNumber("rps"),
        having(in, otherwise, "write_rps").positiveNumber("write_rps"),
        (int) (having(in, otherwise, "value_kb").positiveNumber("value_kb") * 1024),
        having(in, otherwise, "txn_ops").integer("txn_ops", 1, 100_000));
  }

  private static JsonFields having(JsonFields in, JsonFields otherwise, String name) {
    return in.has(name) ? in : otherwise;
  }

  private static CloudLimits cloudLimits(JsonFields in) throws MalformedMessageException {
    return new CloudLimits(
        in.positiveNumber("rps"), TimeSpan.ofSeconds(in.nonNegativeNumber("list_lag_s")));
  }

  private static TimeSpan clockBound(JsonFields params) throws MalformedMessageException {
    double millis =
        params.has("time_bound_ms")
            ? params.nonNegativeNumber("time_bound_ms")
            : DEFAULT_TIME_BOUND_MS;
    return TimeSpan.ofSeconds(millis / 1000);
  }

  private static ProcessLimits processLimits(JsonFields in) throws MalformedMessageException {
    return new ProcessLimits(
        in.positiveNumber("cpu"),
        in.positiveNumber("ram_mb"),
        in.integer("fd_limit", 16, 10_000_000));
  }

  private static Endpoint endpoint(JsonFields in, String name) throws MalformedMessageException {
    Endpoint endpoint = Endpoint.parse(in.string(name));
    if (endpoint == null) {
      throw new MalformedMessageException("field " + name + " is not an IPv4 address and a port");
    }
    return endpoint;
  }
}
