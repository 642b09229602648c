package org.quincecross.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Revision;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpOutcome;
import org.quincecross.net.Timers;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.KeyValueStoreCodec;
import org.quincecross.protocol.KeyValueStoreCodec.Entry;
import org.quincecross.protocol.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the {@link ClusterStateCache} up to date: reads all records once, then watches for changes.
 * Beside the watch it makes <em>barriers</em>: one short read of the revision and of what is new
 * serves everyone who needs to know that the ledger is current.
 */
public final class StateWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(StateWatcher.class);
  private static final TimeSpan WATCH = TimeSpan.ofSeconds(10);
  private static final TimeSpan RETRY = TimeSpan.ofMillis(250);

  /**
   * Changes that come close together are read together: requests are limited, and each reading has
   * its cost.
   */
  private static final TimeSpan WATCH_SPACING = TimeSpan.ofMillis(40);

  private static final TimeSpan BARRIER_TIMEOUT = TimeSpan.ofSeconds(1.2);
  private static final TimeSpan BARRIER_SPACING = TimeSpan.ofMillis(40);
  private static final TimeSpan BARRIER_GATHERING = TimeSpan.ofMillis(120);

  /** How often the ledger is confirmed even if nobody asks. */
  private static final TimeSpan HEARTBEAT = TimeSpan.ofMillis(500);

  private static final int PAGE = 400;

  /** The states of following. */
  public enum State {
    /**
     * The records are being read, page by page. Ends with the last page; a page that does not come
     * is asked for again.
     */
    LOADING,
    /**
     * What has changed since the first page is being read. Until it is, nothing else may move the
     * ledger on, and no barrier is made: what it brought would be taken back by records that were
     * read before it.
     */
    CATCHING_UP,
    /** Changes are watched. */
    FOLLOWING
  }

  private final Timers timers;
  private final KeyValueStoreClient client;
  private final ClusterStateCache ledger;
  private State state = State.LOADING;
  private int generation;
  private MonotonicTime confirmed;
  private MonotonicTime answering;
  private List<Consumer<Boolean>> askers = new ArrayList<>();
  private boolean barrierRunning;
  private boolean barrierPlanned;
  private boolean spacingPlanned;
  private MonotonicTime lastBarrier;

  public StateWatcher(Timers timers, KeyValueStoreClient client, ClusterStateCache ledger) {
    this.timers = timers;
    this.client = client;
    this.ledger = ledger;
  }

  public void start() {
    load();
    timers.every(HEARTBEAT, () -> barrier(ok -> {}));
  }

  /** The one place where following changes its state. */
  private void enter(State next) {
    state = next;
    generation++;
  }

  public State state() {
    return state;
  }

  /** The ledger holds all that had happened by this time; null before it was first read. */
  public MonotonicTime confirmed() {
    return confirmed;
  }

  /**
   * When the last barrier began that worked; null before the records were first read. Where the
   * watch alone gets through, the records go on being confirmed and still no question can be
   * answered.
   */
  public MonotonicTime answering() {
    return answering;
  }

  private void load() {
    enter(State.LOADING);
    readPage(generation, null, new HashMap<>(), null, timers.now());
  }

  private void readPage(
      int mine,
      String after,
      Map<String, ClusterStateCache.StateEntry> entries,
      Revision first,
      MonotonicTime begun) {
    client.read(
        KeyValueStoreCodec.listPath(StoreKeys.ROOT, after, PAGE),
        TimeSpan.ofSeconds(5),
        outcome -> {
          if (generation != mine) {
            return;
          }
          try {
            if (outcome.status() != 200) {
              throw new MalformedMessageException("status " + outcome.status());
            }
            KeyValueStoreCodec.Page page =
                KeyValueStoreCodec.readList(Json.parseFields(outcome.response().body()));
            String last = after;
            for (Entry entry : page.entries()) {
              entries.put(
                  entry.key(), new ClusterStateCache.StateEntry(entry.value(), entry.version()));
              last = entry.key();
            }
            Revision from = first == null ? page.revision() : first;
            if (page.more()) {
              readPage(mine, last, entries, from, begun);
            } else {
              finishLoad(entries, from, begun);
            }
          } catch (MalformedMessageException e) {
            LOG.debug("cannot read the records: {}", e.getMessage());
            timers.after(
                RETRY,
                () -> {
                  if (generation == mine) {
                    load();
                  }
                });
          }
        });
  }

  private void finishLoad(
      Map<String, ClusterStateCache.StateEntry> entries, Revision from, MonotonicTime begun) {
    // Pages are read one after the other, at revisions that may differ: the changes since the first
    // page are
    // caught up with before anyone sees the records.
    enter(State.CATCHING_UP);
    int mine = generation;
    client.read(
        KeyValueStoreCodec.watchPath(StoreKeys.ROOT, from, 0),
        BARRIER_TIMEOUT,
        outcome -> {
          if (generation != mine) {
            return;
          }
          try {
            if (outcome.status() != 200) {
              throw new MalformedMessageException("status " + outcome.status());
            }
            KeyValueStoreCodec.Page page =
                KeyValueStoreCodec.readWatch(Json.parseFields(outcome.response().body()));
            for (Entry event : page.entries()) {
              ClusterStateCache.StateEntry known = entries.get(event.key());
              if (known != null && !event.version().isAfter(known.version())) {
                continue;
              }
              if (event.value() == null) {
                entries.remove(event.key());
              } else {
                entries.put(
                    event.key(), new ClusterStateCache.StateEntry(event.value(), event.version()));
              }
            }
            enter(State.FOLLOWING);
            confirmed = begun;
            answering = begun;
            LOG.info("records read: {} keys at revision {}", entries.size(), page.revision());
            ledger.load(entries, page.revision());
            watch();
            barrier(ok -> {});
          } catch (MalformedMessageException e) {
            LOG.info("cannot catch up with the records: {}", e.getMessage());
            timers.after(RETRY, this::load);
          }
        });
  }

  private void watch() {
    int mine = generation;
    MonotonicTime sent = timers.now();
    client.read(
        KeyValueStoreCodec.watchPath(StoreKeys.ROOT, ledger.revision(), WATCH.millis()),
        WATCH.plus(TimeSpan.ofSeconds(5)),
        outcome -> {
          if (generation != mine) {
            return;
          }
          if (take(outcome, sent)) {
            long pause = WATCH_SPACING.nanos() - timers.now().since(sent).nanos();
            if (pause <= 0) {
              watch();
            } else {
              timers.after(
                  new TimeSpan(pause),
                  () -> {
                    if (generation == mine) {
                      watch();
                    }
                  });
            }
          } else if (outcome.status() == 410) {
            LOG.info("too far behind the records: reading them anew");
            load();
          } else {
            timers.after(
                RETRY,
                () -> {
                  if (generation == mine) {
                    watch();
                  }
                });
          }
        });
  }

  /** Takes the answer of a watch or a barrier; false if it is none. */
  private boolean take(HttpOutcome outcome, MonotonicTime sent) {
    if (outcome.status() != 200) {
      return false;
    }
    KeyValueStoreCodec.Page page;
    try {
      page = KeyValueStoreCodec.readWatch(Json.parseFields(outcome.response().body()));
    } catch (MalformedMessageException e) {
      LOG.info("unreadable changes: {}", e.getMessage());
      return false;
    }
    // The watch and the barriers see the same changes: each is taken once, in order.
    Revision known = ledger.revision();
    for (Entry event : page.entries()) {
      if (event.version().isAfter(known)) {
        ledger.apply(event.key(), event.value(), event.version());
      }
    }
    if (confirmed == null || confirmed.isBefore(sent)) {
      confirmed = sent;
    }
    ledger.advance(page.revision());
    return true;
  }

  /** Confirms that the ledger is current as of now or later, then says whether that worked. */
  public void barrier(Consumer<Boolean> whenCurrent) {
    if (join(whenCurrent)) {
      startBarrier();
    }
  }

  /**
   * The same for whoever can wait a moment: many that come one after the other are served by one
   * reading.
   */
  public void barrierSoon(Consumer<Boolean> whenCurrent) {
    if (join(whenCurrent) && !barrierRunning && !barrierPlanned) {
      barrierPlanned = true;
      timers.after(
          BARRIER_GATHERING,
          () -> {
            barrierPlanned = false;
            startBarrier();
          });
    }
  }

  private boolean join(Consumer<Boolean> whenCurrent) {
    if (state != State.FOLLOWING || !ledger.isLoaded()) {
      timers.after(TimeSpan.ofMillis(1), () -> whenCurrent.accept(false));
      return false;
    }
    askers.add(whenCurrent);
    return true;
  }

  private void startBarrier() {
    if (barrierRunning || askers.isEmpty()) {
      return;
    }
    if (state != State.FOLLOWING) {
      List<Consumer<Boolean>> refused = askers;
      askers = new ArrayList<>();
      refused.forEach(asker -> asker.accept(false));
      return;
    }
    TimeSpan pause = lastBarrier == null ? BARRIER_SPACING : timers.now().since(lastBarrier);
    if (BARRIER_SPACING.isLongerThan(pause)) {
      if (!spacingPlanned) {
        spacingPlanned = true;
        timers.after(
            new TimeSpan(BARRIER_SPACING.nanos() - pause.nanos()),
            () -> {
              spacingPlanned = false;
              startBarrier();
            });
      }
      return;
    }
    barrierRunning = true;
    lastBarrier = timers.now();
    MonotonicTime sent = lastBarrier;
    int mine = generation;
    List<Consumer<Boolean>> served = askers;
    askers = new ArrayList<>();
    client.read(
        KeyValueStoreCodec.watchPath(StoreKeys.ROOT, ledger.revision(), 0),
        BARRIER_TIMEOUT,
        outcome -> {
          barrierRunning = false;
          boolean current = generation == mine && take(outcome, sent);
          if (current) {
            answering = sent;
          }
          served.forEach(asker -> asker.accept(current));
          startBarrier();
        });
  }
}
