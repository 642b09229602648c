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

/** Speaks to the cloud, within its limit of requests. */
final class CloudClient {
  private static final Logger LOG = LoggerFactory.getLogger(CloudClient.class);
  private static final TimeSpan TIMEOUT = TimeSpan.ofSeconds(5);
  private static final TimeSpan BACK_OFF = TimeSpan.ofSeconds(1.5);

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

  /** Whether a request may go out now; if so, it counts as sent. */
  boolean take() {
    return limiter.take(1, timers.now());
  }

  TimeSpan backOff() {
    return BACK_OFF;
  }

  /** {@code done} gets null where there is no readable answer. */
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

  /** What became of a request to rent. */
  record Rented(List<MachineId> machines, boolean noCapacity) {}

  void rent(
      String request, String type, String zone, boolean spot, int count, Consumer<Rented> done) {
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
          done.accept(new Rented(machines == null ? List.of() : machines, none));
        });
  }

  void giveBack(Collection<MachineId> machines, Consumer<Boolean> done) {
    call(
        HttpRequest.post(CloudCodec.RETURN, CloudCodec.writeTerminateRequest(machines)),
        outcome -> done.accept(outcome.status() == 200));
  }

  private void call(HttpRequest request, Consumer<HttpOutcome> done) {
    http.call(cloud, request, TIMEOUT, done);
  }

  /** Reads what an answer says. */
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
      LOG.info("unreadable answer of the cloud: {}", e.getMessage());
      return null;
    }
  }
}
