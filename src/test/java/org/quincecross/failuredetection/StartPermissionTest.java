package org.quincecross.failuredetection;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Revision;
import org.quincecross.model.TimeSpan;

/**
 * Simulates three controllers, cancellations, reports delayed by up to forty seconds, a store that
 * is reachable for some of them only, and restarts.
 */
class StartPermissionTest {
  private static final int RUNS = 1000;
  private static final int RUNS_WITH_FLAW = 3000;
  private static final int STEP_MS = 100;
  private static final long CONFIRM_AFTER_MS = 8000;
  private static final TimeSpan LIMIT = TimeSpan.ofMillis(6500);

  /** A part of the rule that the owner leaves out. */
  private enum Flaw {
    NONE,
    RECEIPTS,
    REVISION,
    ONE_CONTROLLER,
    RECORDS_NOT_READ,
    LIFE,
    NO_LIFE_YET,
    LIMIT
  }

  private record Message(long dueMs, Runnable arrive) implements Comparable<Message> {
    @Override
    public int compareTo(Message other) {
      return Long.compare(dueMs, other.dueMs);
    }
  }

  /**
   * A controller that accepts cancellations and confirms them; it loses its memory in a restart.
   */
  private static final class ConfirmingController {
    final ControllerId member;
    final Map<Long, Long> seenMs = new HashMap<>();
    long revision;
    long receivedIncarnation = -1;
    long receivedNumber;
    boolean isPartitioned;

    ConfirmingController(String name) {
      member = new ControllerId(name);
    }

    void restart() {
      seenMs.clear();
      revision = 0;
      receivedIncarnation = -1;
    }

    void receive(long life, long number) {
      if (life > receivedIncarnation || (life == receivedIncarnation && number > receivedNumber)) {
        receivedIncarnation = life;
        receivedNumber = number;
      }
    }
  }

  private static final class Simulation {
    private final Random random;
    private final Flaw flaw;
    private final List<ConfirmingController> others =
        List.of(new ConfirmingController("b"), new ConfirmingController("c"));
    private final boolean[] served = {true, true, true};
    private final PriorityQueue<Message> messages = new PriorityQueue<>();
    private final List<Long> cancellations = new ArrayList<>();
    private final TreeMap<Long, Long> confirmedMs = new TreeMap<>();
    private long nowMs;
    private long durable = 1;
    private StartPermission permission;
    private long incarnations;
    private long incarnation;
    private long number;
    private long seenRevision;
    private MonotonicTime confirmed;
    private int beyondLimit;

    Simulation(long seed, Flaw flaw) {
      random = new Random(seed);
      this.flaw = flaw;
      restartOwner();
    }

    private MonotonicTime now() {
      return new MonotonicTime(TimeSpan.ofMillis(nowMs).nanos());
    }

    private boolean chance(double probability) {
      return random.nextDouble() < probability;
    }

    private void restartOwner() {
      Set<ControllerId> otherIds =
          flaw == Flaw.ONE_CONTROLLER
              ? Set.of(others.get(0).member)
              : Set.of(others.get(0).member, others.get(1).member);
      permission =
          new StartPermission(
              otherIds, flaw == Flaw.LIMIT ? TimeSpan.ofMillis(CONFIRM_AFTER_MS + 1500) : LIMIT);
      incarnation = 0;
      number = 0;
      seenRevision = 0;
      confirmed = null;
    }

    private void send(ConfirmingController controller, Runnable arrive) {
      messages.add(
          new Message(
              nowMs
                  + (controller.isPartitioned || chance(0.3)
                      ? random.nextInt(40_000)
                      : 1 + random.nextInt(200)),
              arrive));
    }

    /** The incarnation; all processes share the same one before their first lease. */
    private Incarnation incarnationOf(long of) {
      return of == 0 && flaw == Flaw.NO_LIFE_YET ? new Incarnation(-1) : new Incarnation(of);
    }

    private void receive(ControllerId from, long ofIncarnation, long ofNumber, long revision) {
      Incarnation receipt = incarnationOf(flaw == Flaw.LIFE ? incarnation : ofIncarnation);
      if (flaw == Flaw.RECEIPTS) {
        permission.sent(receipt, ofNumber, now());
      }
      boolean overridesRevision =
          (flaw == Flaw.REVISION && revision > 0)
              || (flaw == Flaw.RECORDS_NOT_READ && revision == 0);
      permission.received(from, receipt, ofNumber, new Revision(overridesRevision ? 1 : revision));
    }

    private void stepOwner() {
      if (chance(0.01)) {
        restartOwner();
      }
      if (incarnation == 0 && chance(0.005)) {
        incarnation = ++incarnations;
      }
      if (served[2] && chance(0.5)) {
        seenRevision = durable;
        confirmed = now();
      }
      if (chance(0.3)) {
        permission.sent(incarnationOf(incarnation), ++number, now());
        long ofIncarnation = incarnation;
        long ofNumber = number;
        others.forEach(
            controller -> send(controller, () -> controller.receive(ofIncarnation, ofNumber)));
      }
    }

    private void stepOther(ConfirmingController controller, boolean isServed) {
      controller.isPartitioned ^= chance(controller.isPartitioned ? 0.01 : 0.003);
      if (chance(0.004)) {
        controller.restart();
      }
      if (isServed && chance(0.5)) {
        if (controller.revision > 0 && chance(0.02)) {
          durable++;
          cancellations.add(durable);
        }
        cancellations.forEach(revision -> controller.seenMs.putIfAbsent(revision, nowMs));
        controller.revision = durable;
      }
      controller.seenMs.forEach(
          (revision, seen) -> {
            if (nowMs - seen >= CONFIRM_AFTER_MS) {
              confirmedMs.putIfAbsent(revision, nowMs);
            }
          });
      if (chance(0.3)) {
        long ofIncarnation = controller.receivedIncarnation;
        long ofNumber = controller.receivedNumber;
        long revision = controller.revision;
        if (ofIncarnation >= 0) {
          send(controller, () -> receive(controller.member, ofIncarnation, ofNumber, revision));
        }
      }
    }

    /** Returns what was started after its user had been told of the cancellation, or null. */
    String run() {
      for (; nowMs < 240_000; nowMs += STEP_MS) {
        for (int i = 0; i < served.length; i++) {
          served[i] ^= chance(0.01);
        }
        while (!messages.isEmpty() && messages.peek().dueMs <= nowMs) {
          messages.poll().arrive.run();
        }
        stepOwner();
        stepOther(others.get(0), served[0]);
        stepOther(others.get(1), served[1]);
        if (confirmed != null
            && permission.isGranted(confirmed, new Revision(seenRevision), now())) {
          beyondLimit += now().since(confirmed).isLongerThan(LIMIT) ? 1 : 0;
          if (!confirmedMs.tailMap(seenRevision, false).isEmpty()) {
            return "at "
                + nowMs
                + ", owner has seen revision "
                + seenRevision
                + ", confirmed to users "
                + confirmedMs;
          }
        }
      }
      return null;
    }
  }

  @Test
  void startsNothingConfirmedAsCancelled() {
    int beyondLimit = 0;
    for (long seed = 0; seed < RUNS; seed++) {
      Simulation simulation = new Simulation(seed, Flaw.NONE);
      assertNull(simulation.run(), "seed " + seed);
      beyondLimit += simulation.beyondLimit;
    }
    assertTrue(beyondLimit > 10 * RUNS, "starts without store contact: " + beyondLimit);
  }

  /** An owner that leaves out any part of the rule violates it. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void disablingAnyGuardCausesViolation(Flaw flaw) {
    assertTrue(
        LongStream.range(0, RUNS_WITH_FLAW)
            .anyMatch(seed -> new Simulation(seed, flaw).run() != null));
  }
}
