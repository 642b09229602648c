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
  private static final double PROBE_S = 0.5;
  private static final TimeSpan PROBE_TIMEOUT = TimeSpan.ofSeconds(1);
  private static final TimeSpan TIMEOUT = TimeSpan.ofSeconds(5);

  private final ClusterEnvironment around;
  private final ProcessScope life = new ProcessScope();
  private final boolean[] well;
  private int next;

  LoadBalancerProxy(ClusterEnvironment around) {
    this.around = around;
    this.well = new boolean[around.site().nodes()];
    probe();
  }

  private void probe() {
    for (int node = 0; node < well.length; node++) {
      int probed = node;
      around
          .network()
          .call(
              life,
              "probe",
              around.node(node),
              HttpRequest.get(JobCodec.HEALTH_PATH),
              PROBE_TIMEOUT,
              outcome -> well[probed] = outcome.status() == 200);
    }
    around.clock().after(PROBE_S, this::probe);
  }

  /** The number of controllers that answer and report healthy. */
  int wellCount() {
    int count = 0;
    for (boolean each : well) {
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
        around.users().upload(JobCodec.readRecord(Json.parseFields(request.body())));
      } catch (MalformedMessageException e) {
        // the controller reports what is wrong with it
      }
    }
    for (int tried = 0; tried < well.length; tried++) {
      next = (next + 1) % well.length;
      if (well[next]) {
        around
            .network()
            .call(
                life,
                "front",
                around.node(next),
                request,
                TIMEOUT,
                outcome -> reply.accept(outcome.status() == 0 ? none() : outcome.response()));
        return;
      }
    }
    reply.accept(none());
  }

  private static HttpResponse none() {
    return HttpResponse.of(503, JobCodec.writeError("no controller answers")).withRetryAfter(1);
  }
}
