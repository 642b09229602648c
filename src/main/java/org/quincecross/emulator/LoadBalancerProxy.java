package org.quincecross.emulator;

import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.JobCodec;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Simulates the users' load balancer for people and scripts that try a deployment: each request
 * goes to the next controller that reports healthy. Jobs submitted here are made known to the
 * machines, as if their users had uploaded them.
 */
final class LoadBalancerProxy implements Network.Host {
  private static final double PROBE_INTERVAL_S = 0.5;
  private static final TimeSpan PROBE_TIMEOUT = TimeSpan.ofSeconds(1);
  private static final TimeSpan TIMEOUT = TimeSpan.ofSeconds(5);

  private final ClusterEnvironment environment;
  private final ProcessScope process = new ProcessScope();
  private final boolean[] healthy;
  private int next;

  LoadBalancerProxy(ClusterEnvironment environment) {
    this.environment = environment;
    this.healthy = new boolean[environment.spec().nodes()];
    probe();
  }

  private void probe() {
    for (int node = 0; node < healthy.length; node++) {
      int probed = node;
      environment
          .network()
          .call(
              process,
              "probe",
              environment.node(node),
              HttpRequest.get(JobCodec.HEALTH_PATH),
              PROBE_TIMEOUT,
              outcome -> healthy[probed] = outcome.status() == 200);
    }
    environment.clock().after(PROBE_INTERVAL_S, this::probe);
  }

  /** The number of controllers that answer and report healthy. */
  int healthyCount() {
    int count = 0;
    for (boolean each : healthy) {
      count += each ? 1 : 0;
    }
    return count;
  }

  @Override
  public boolean isUp() {
    return true;
  }

  @Override
  public void request(String from, HttpRequest request, Consumer<HttpResponse> reply) {
    if (request.path().equals(JobCodec.JOBS_PATH) && request.method().equals("POST")) {
      try {
        environment.users().upload(JobCodec.readRecord(Json.parseFields(request.body())));
      } catch (MalformedMessageException e) {
        // the controller reports what is wrong with it
      }
    }
    for (int tried = 0; tried < healthy.length; tried++) {
      next = (next + 1) % healthy.length;
      if (healthy[next]) {
        environment
            .network()
            .call(
                process,
                "front",
                environment.node(next),
                request,
                TIMEOUT,
                outcome ->
                    reply.accept(
                        outcome.status() == 0 ? noHealthyController() : outcome.response()));
        return;
      }
    }
    reply.accept(noHealthyController());
  }

  private static HttpResponse noHealthyController() {
    return HttpResponse.of(503, JobCodec.writeError("no controller answers")).withRetryAfter(1);
  }
}
