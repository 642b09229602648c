package org.quincecross.emulator;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Endpoint;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpOutcome;

/** A simulated network with delays and partitions; a partition holds or loses packets. */
final class VirtualNetwork implements Network {
  private final VirtualTime time;
  private final Random random;
  private final Map<Endpoint, Host> hosts = new HashMap<>();

  /** The process that each caller has reached at an address: a connection to it is established. */
  private final Map<String, Object> establishedConnections = new HashMap<>();

  private final Map<Endpoint, String> names = new HashMap<>();
  private final Map<Set<String>, Double> cutUntil = new HashMap<>();
  private final Set<Set<String>> lossyCuts = new HashSet<>();
  private final Map<String, Double> isolatedUntil = new HashMap<>();
  private final Map<String, Double> inboundDroppedUntil = new HashMap<>();
  private final Map<String, Double> outboundDroppedUntil = new HashMap<>();
  private int undeliveredStarts;
  private double delayNext;
  private Consumer<byte[]> startWatcher = body -> {};

  private MessageObserver observer = MessageObserver.NONE;
  private DuplicatedMessages duplicates = DuplicatedMessages.NONE;
  private DuplicatedMessages commandDuplicates = DuplicatedMessages.NONE;
  private DelayedMessages delays = DelayedMessages.NONE;

  VirtualNetwork(VirtualTime time, Random random) {
    this.time = time;
    this.random = random;
  }

  @Override
  public void host(Endpoint address, String name, Host host) {
    hosts.put(address, host);
    names.put(address, name);
  }

  @Override
  public void remove(Endpoint address) {
    // A host that is gone refuses connections; behind a partition nobody can tell.
  }

  @Override
  public Endpoint machineAddress(int number) {
    return new Endpoint(
        "10." + (16 + number / 62_500) + "." + number / 250 % 250 + "." + number % 250, 9000);
  }

  /** Partitions two hosts from each other; packets are held or lost. */
  void cut(String one, String other, double untilS, boolean lose) {
    Set<String> link = new HashSet<>(Set.of(one, other));
    cutUntil.put(link, untilS);
    if (lose) {
      lossyCuts.add(link);
    } else {
      lossyCuts.remove(link);
    }
  }

  /** A host neither sends nor receives; connections to it hang. */
  void isolate(String name, double untilS) {
    isolatedUntil.put(name, untilS);
  }

  /** Delays the next request by this many seconds. */
  void delayNext(double seconds) {
    delayNext = seconds;
  }

  /** From now on some reports arrive a second time, later. */
  void duplicateReports(DuplicatedMessages late) {
    duplicates = late;
  }

  /** From now on some commands that machines have executed arrive there a second time, later. */
  void duplicateCommands(DuplicatedMessages late) {
    commandDuplicates = late;
  }

  /** From now on some messages between controllers and machines are delayed. */
  void delayMessages(DelayedMessages messages) {
    delays = messages;
  }

  boolean isIsolated(String name) {
    return !isolatedUntil.isEmpty() && isolatedUntil.getOrDefault(name, 0.0) > time.seconds();
  }

  /** A host still sends, but receives nothing: neither requests nor the answers to its own. */
  void dropInbound(String name, double untilS) {
    inboundDroppedUntil.put(name, untilS);
  }

  private boolean isInboundDropped(String name) {
    return !inboundDroppedUntil.isEmpty()
        && inboundDroppedUntil.getOrDefault(name, 0.0) > time.seconds();
  }

  /**
   * A host opens no connections and loses those that it had; what is sent to it arrives and is
   * answered.
   */
  void dropOutbound(String name, double untilS) {
    outboundDroppedUntil.put(name, untilS);
  }

  private boolean isOutboundDropped(String name) {
    return !outboundDroppedUntil.isEmpty()
        && outboundDroppedUntil.getOrDefault(name, 0.0) > time.seconds();
  }

  /** The number of starts sent to machines that did not receive them. */
  int undeliveredStarts() {
    return undeliveredStarts;
  }

  /** Registers a listener for each message that leaves for a machine, or answers one. */
  void watchStarts(Consumer<byte[]> watcher) {
    startWatcher = watcher;
  }

  /** Registers an observer of all messages from now on. */
  void observe(MessageObserver messageObserver) {
    observer = messageObserver;
  }

  /** One controller sends a frame to another. */
  void frameSent(byte[] frame) {
    observer.frame(frame);
  }

  private void countUndeliveredStarts(String to, byte[] body) {
    if (isInboundDropped(to)) {
      undeliveredStarts +=
          new String(body, StandardCharsets.UTF_8).split("\"Verb\":\"start\"", -1).length - 1;
    }
  }

  /** The delay until a packet arrives, in seconds; negative if it never does. */
  double delay(String from, String to) {
    double delay =
        0.001
            + random.nextDouble() * 0.004
            + (random.nextInt(100) == 0 ? random.nextDouble() * 3 : 0);
    if (isIsolated(from) || isIsolated(to) || isInboundDropped(to)) {
      return -1;
    }
    if (cutUntil.isEmpty()) {
      return delay;
    }
    Set<String> link = new HashSet<>();
    link.add(from);
    link.add(to);
    Double until = cutUntil.get(link);
    if (until != null && until > time.seconds()) {
      return lossyCuts.contains(link) ? -1 : until - time.seconds() + delay;
    }
    return delay;
  }

  private boolean isCut(String from, String to) {
    if (isIsolated(from) || isIsolated(to) || isInboundDropped(to)) {
      return true;
    }
    if (cutUntil.isEmpty()) {
      return false;
    }
    Set<String> link = new HashSet<>();
    link.add(from);
    link.add(to);
    return cutUntil.getOrDefault(link, 0.0) > time.seconds();
  }

  void send(String from, String to, Runnable arrival) {
    send(from, to, 0, arrival);
  }

  private void send(String from, String to, double extraDelayS, Runnable arrival) {
    double delay = delay(from, to);
    if (delay >= 0) {
      time.after(delay + extraDelayS, arrival);
    }
  }

  /**
   * Sends a request of {@code caller}; established connections carry it into a partition, as if it
   * were sent.
   */
  @Override
  public void call(
      ProcessScope caller,
      String from,
      Endpoint to,
      HttpRequest request,
      TimeSpan timeout,
      Consumer<HttpOutcome> done) {
    boolean[] answered = new boolean[1];
    Consumer<HttpOutcome> once =
        outcome -> {
          if (!answered[0] && caller.isAlive()) {
            answered[0] = true;
            done.accept(outcome);
          }
        };
    String name = names.getOrDefault(to, "nowhere");
    Host host = hosts.get(to);
    if (host == null || (!host.isUp() && !isCut(from, name))) {
      time.after(0.001, () -> once.accept(HttpOutcome.failed(false)));
      return;
    }
    countUndeliveredStarts(name, request.body());
    observer.request(from, name, request);
    if (request.path().equals("/orders")) {
      startWatcher.accept(request.body());
    }
    double heldS = delayNext + delays.delayS(request);
    delayNext = 0;
    Object process = host.process();
    String link = from + ">" + to;
    if (isOutboundDropped(from)) {
      establishedConnections.remove(link);
    }
    if (isOutboundDropped(from)
        || (isCut(from, name) && establishedConnections.get(link) != process)) {
      // A connection attempt across a partition never completes.
      time.after(timeout.seconds(), () -> once.accept(HttpOutcome.failed(false)));
      return;
    }
    send(
        from,
        name,
        heldS,
        () -> {
          // A lost report has no copy: the copy would be a late first report.
          duplicates.maybeDuplicate(
              request,
              to,
              time,
              (late, endpoint) -> time.after(late, () -> deliverCopy(from, endpoint, request)));
          // A held message belongs to its connection; a process that has restarted since does not
          // receive it.
          if (host.isUp() && host.process() == process) {
            establishedConnections.put(link, process);
            commandDuplicates.maybeDuplicate(
                request,
                to,
                time,
                (late, machine) -> time.after(late, () -> deliverCopy(from, machine, request)));
            host.request(
                from,
                request,
                response -> {
                  countUndeliveredStarts(from, response.body());
                  observer.response(from, name, request, response);
                  if (request.path().equals("/agent/beat")) {
                    startWatcher.accept(response.body());
                  }
                  send(
                      name,
                      from,
                      delays.delayS(request),
                      () -> once.accept(HttpOutcome.answered(response)));
                });
          }
        });
    time.after(timeout.seconds(), () -> once.accept(HttpOutcome.failed(true)));
  }

  private void deliverCopy(String from, Endpoint at, HttpRequest request) {
    Host host = hosts.get(at);
    if (host != null && host.isUp()) {
      host.request(from, request, response -> {}); // nobody waits for the answer to a copy
    }
  }
}
