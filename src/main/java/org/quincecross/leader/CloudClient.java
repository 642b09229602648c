package org.quincecross.leader;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Endpoint;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpCaller;
import org.quincecross.net.HttpOutcome;
import org.quincecross.net.Timers;
import org.quincecross.net.TokenBucket;
import org.quincecross.protocol.CloudCodec;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The client of the cloud's API. It stays within the request limit. */
final class CloudClient {
  private static final Logger LOG = LoggerFactory.getLogger(CloudClient.class);
  private static final TimeSpan TIMEOUT = TimeSpan.ofSeconds(5);
  private static final TimeSpan BACKOFF = TimeSpan.ofSeconds(1.5);

  private final Timers timers;
  private final HttpCaller http;
  private final Endpoint cloud;
  private final TokenBucket limiter;

  CloudClient(Timers timers, HttpCaller http, Endpoint cloud, double requestsPerS) {
    this.timers = timers;
    this.http = http;
    this.cloud = cloud;
    this.limiter = new TokenBucket(requestsPerS * 0.8, requestsPerS, timers.now());
  }

  /** Takes a permit for a request that is sent now; false if the limit allows none. */
  boolean tryAcquire() {
    return limiter.take(1, timers.now());
  }

  TimeSpan backoff() {
    return BACKOFF;
  }

  /** Requests the machine types; {@code done} receives null if there is no readable response. */
  void catalog(Consumer<List<MachineType>> done) {
    call(
        HttpRequest.get(CloudCodec.CATALOG),
        outcome ->
            done.accept(
                read(
                    outcome,
                    () -> CloudCodec.readCatalog(Json.parseFields(outcome.response().body())))));
  }

  void list(MachineId after, Consumer<CloudCodec.Page> done) {
    call(
        HttpRequest.get(CloudCodec.listPath(after, 500)),
        outcome ->
            done.accept(
                read(
                    outcome,
                    () -> CloudCodec.readPage(Json.parseFields(outcome.response().body())))));
  }

  /** The outcome of a launch request. */
  record LaunchResult(List<MachineId> machines, boolean noCapacity) {}

  void launch(
      String request,
      String type,
      String zone,
      boolean spot,
      int count,
      Consumer<LaunchResult> done) {
    byte[] body = CloudCodec.writeLaunchRequest(request, type, zone, spot, count);
    call(
        HttpRequest.post(CloudCodec.MACHINES, body),
        outcome -> {
          List<MachineId> machines =
              read(
                  outcome,
                  () -> CloudCodec.readLaunched(Json.parseFields(outcome.response().body())));
          boolean none =
              outcome.status() == 503
                  && new String(outcome.response().body(), StandardCharsets.UTF_8)
                      .contains("capacity");
          done.accept(new LaunchResult(machines == null ? List.of() : machines, none));
        });
  }

  void terminate(Collection<MachineId> machines, Consumer<Boolean> done) {
    call(
        HttpRequest.post(CloudCodec.RETURN, CloudCodec.writeTerminateRequest(machines)),
        outcome -> done.accept(outcome.status() == 200));
  }

  private void call(HttpRequest request, Consumer<HttpOutcome> done) {
    http.call(cloud, request, TIMEOUT, done);
  }

  /** Reads a response body. */
  private interface Reader<T> {
    T read() throws MalformedMessageException;
  }

  private static <T> T read(HttpOutcome outcome, Reader<T> reader) {
    if (outcome.status() != 200) {
      return null;
    }
    try {
      return reader.read();
    } catch (MalformedMessageException e) {
      LOG.info("cloud response cannot be read: {}", e.getMessage());
      return null;
    }
  }
}
