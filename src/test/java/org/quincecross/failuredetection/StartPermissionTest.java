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
  private static final int DAYS = 1000;
  private static final int DAYS_WITH_FLAW = 3000;
  private static final int STEP_MS = 100;
  private static final long TOLD_AFTER_MS = 8000;
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
  private static final class Teller {
    final ControllerId member;
    final Map<Long, Long> seenMs = new HashMap<>();
    long revision;
    long heardLife = -1;
    long heardNumber;
    boolean isCut;

    Teller(String name) {
      member = new ControllerId(name);
    }

    void restart() {
      seenMs.clear();
      revision = 0;
      heardLife = -1;
    }

    void hear(long life, long number) {
      if (life > heardLife || (life == heardLife && number > heardNumber)) {
        heardLife = life;
        heardNumber = number;
      }
    }
  }

  private static final class Day {
    private final Random random;
    private final Flaw flaw;
    private final List<Teller> tellers = List.of(new Teller("b"), new Teller("c"));
    private final boolean[] served = {true, true, true};
    private final PriorityQueue<Message> messages = new PriorityQueue<>();
    private final List<Long> cancellations = new ArrayList<>();
    private final TreeMap<Long, Long> toldMs = new TreeMap<>();
    private long nowMs;
    private long durable = 1;
    private StartPermission permission;
    private long lives;
    private long life;
    private long number;
    private long noted;
    private MonotonicTime confirmed;
    private int beyondLimit;

    Day(long seed, Flaw flaw) {
      random = new Random(seed);
      this.flaw = flaw;
      begin();
    }

    private MonotonicTime now() {
      return new MonotonicTime(TimeSpan.ofMillis(nowMs).nanos());
    }

    private boolean drawn(double probability) {
      return random.nextDouble() < probability;
    }

    private void begin() {
      Set<ControllerId> others =
          flaw == Flaw.ONE_CONTROLLER
              ? Set.of(tellers.get(0).member)
              : Set.of(tellers.get(0).member, tellers.get(1).member);
      permission =
          new StartPermission(
              others, flaw == Flaw.LIMIT ? TimeSpan.ofMillis(TOLD_AFTER_MS + 1500) : LIMIT);
      life = 0;
      number = 0;
      noted = 0;
      confirmed = null;
    }

    private void send(Teller teller, Runnable arrive) {
      messages.add(
          new Message(
              nowMs
                  + (teller.isCut || drawn(0.3) ? random.nextInt(40_000) : 1 + random.nextInt(200)),
              arrive));
    }

    /** The incarnation; all processes share the same one before their first lease. */
    private Incarnation name(long of) {
      return of == 0 && flaw == Flaw.NO_LIFE_YET ? new Incarnation(-1) : new Incarnation(of);
    }

    private void receive(ControllerId from, long ofLife, long ofNumber, long revision) {
      Incarnation receipt = name(flaw == Flaw.LIFE ? life : ofLife);
      if (flaw == Flaw.RECEIPTS) {
        permission.sent(receipt, ofNumber, now());
      }
      boolean taken =
          (flaw == Flaw.REVISION && revision > 0)
              || (flaw == Flaw.RECORDS_NOT_READ && revision == 0);
      permission.received(from, receipt, ofNumber, new Revision(taken ? 1 : revision));
    }

    private void holder() {
      if (drawn(0.01)) {
        begin();
      }
      if (life == 0 && drawn(0.005)) {
        life = ++lives;
      }
      if (served[2] && drawn(0.5)) {
        noted = durable;
        confirmed = now();
      }
      if (drawn(0.3)) {
        permission.sent(name(life), ++number, now());
        long ofLife = life;
        long ofNumber = number;
        tellers.forEach(teller -> send(teller, () -> teller.hear(ofLife, ofNumber)));
      }
    }

    private void teller(Teller teller, boolean isServed) {
      teller.isCut ^= drawn(teller.isCut ? 0.01 : 0.003);
      if (drawn(0.004)) {
        teller.restart();
      }
      if (isServed && drawn(0.5)) {
        if (teller.revision > 0 && drawn(0.02)) {
          durable++;
          cancellations.add(durable);
        }
        cancellations.forEach(revision -> teller.seenMs.putIfAbsent(revision, nowMs));
        teller.revision = durable;
      }
      teller.seenMs.forEach(
          (revision, seen) -> {
            if (nowMs - seen >= TOLD_AFTER_MS) {
              toldMs.putIfAbsent(revision, nowMs);
            }
          });
      if (drawn(0.3)) {
        long ofLife = teller.heardLife;
        long ofNumber = teller.heardNumber;
        long revision = teller.revision;
        if (ofLife >= 0) {
          send(teller, () -> receive(teller.member, ofLife, ofNumber, revision));
        }
      }
    }

    /** Returns what was started after its user had been told of the cancellation, or null. */
    String play() {
      for (; nowMs < 240_000; nowMs += STEP_MS) {
        for (int i = 0; i < served.length; i++) {
          served[i] ^= drawn(0.01);
        }
        while (!messages.isEmpty() && messages.peek().dueMs <= nowMs) {
          messages.poll().arrive.run();
        }
        holder();
        teller(tellers.get(0), served[0]);
        teller(tellers.get(1), served[1]);
        if (confirmed != null && permission.isGranted(confirmed, new Revision(noted), now())) {
          beyondLimit += now().since(confirmed).isLongerThan(LIMIT) ? 1 : 0;
          if (!toldMs.tailMap(noted, false).isEmpty()) {
            return "at "
                + nowMs
                + ", owner has seen revision "
                + noted
                + ", confirmed to users "
                + toldMs;
          }
        }
      }
      return null;
    }
  }

  @Test
  void nothingThatWasToldIsStarted() {
    int beyondLimit = 0;
    for (long seed = 0; seed < DAYS; seed++) {
      Day day = new Day(seed, Flaw.NONE);
      assertNull(day.play(), "seed " + seed);
      beyondLimit += day.beyondLimit;
    }
    assertTrue(beyondLimit > 10 * DAYS, "starts without store contact: " + beyondLimit);
  }

  /** An owner that leaves out any part of the rule violates it. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void eachGuardIsNeeded(Flaw flaw) {
    assertTrue(
        LongStream.range(0, DAYS_WITH_FLAW).anyMatch(seed -> new Day(seed, flaw).play() != null));
  }
}
