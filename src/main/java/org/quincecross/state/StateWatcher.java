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
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.KeyValueStoreCodec;
import org.quincecross.protocol.KeyValueStoreCodec.Entry;
import org.quincecross.protocol.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the {@link ClusterStateCache} current: reads all records once, then watches for changes.
 * Independently of the watch it runs <em>barriers</em>: one short read of the revision and of new
 * changes serves everyone who needs to know that the cache is current.
 */
public final class StateWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(StateWatcher.class);
  private static final TimeSpan WATCH_TIMEOUT = TimeSpan.ofSeconds(10);
  private static final TimeSpan RETRY_DELAY = TimeSpan.ofMillis(250);

  /**
   * Changes in quick succession are read together: requests are limited, and each has a fixed cost.
   */
  private static final TimeSpan WATCH_SPACING = TimeSpan.ofMillis(40);

  private static final TimeSpan BARRIER_TIMEOUT = TimeSpan.ofSeconds(1.2);
  private static final TimeSpan BARRIER_SPACING = TimeSpan.ofMillis(40);
  private static final TimeSpan BARRIER_BATCHING_DELAY = TimeSpan.ofMillis(120);

  /** How often the cache is confirmed if nobody requests it. */
  private static final TimeSpan CONFIRM_INTERVAL = TimeSpan.ofMillis(500);

  private static final int PAGE_SIZE = 400;

  /** The states of the watcher. */
  public enum State {
    /** The records are being read page by page; a page that fails is requested again. */
    LOADING,
    /**
     * The changes since the first page are being read. Until then no other read may advance the
     * cache and no barrier runs: records read earlier would overwrite what it applied.
     */
    CATCHING_UP,
    /** Changes are watched. */
    WATCHING
  }

  private final Timers timers;
  private final KeyValueStoreClient store;
  private final ClusterStateCache cache;
  private State state = State.LOADING;
  private int generation;
  private MonotonicTime confirmedAt;
  private MonotonicTime lastBarrierStart;
  private List<Consumer<Boolean>> barrierCallbacks = new ArrayList<>();
  private boolean barrierRunning;
  private boolean barrierPlanned;
  private boolean spacingPlanned;
  private MonotonicTime lastBarrier;

  /** Creates a watcher that has not started. */
  public StateWatcher(Timers timers, KeyValueStoreClient store, ClusterStateCache cache) {
    this.timers = timers;
    this.store = store;
    this.cache = cache;
  }

  /** Starts by reading all records. */
  public void start() {
    load();
    timers.every(CONFIRM_INTERVAL, () -> barrier(ok -> {}));
  }

  /** The only method that changes the state. */
  private void enter(State next) {
    state = next;
    generation++;
  }

  /** The present state. */
  public State state() {
    return state;
  }

  /** The cache contains all changes up to this time; null before the first full read. */
  public MonotonicTime confirmedAt() {
    return confirmedAt;
  }

  /**
   * When the last successful barrier began; null before the first full read. If only the watch gets
   * through, records are still confirmed although no barrier succeeds.
   */
  public MonotonicTime lastBarrierStart() {
    return lastBarrierStart;
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
      MonotonicTime startedAt) {
    store.read(
        KeyValueStoreCodec.listPath(StoreKeys.ROOT, after, PAGE_SIZE),
        TimeSpan.ofSeconds(5),
        outcome -> {
          if (generation != mine) {
            return;
          }
          try {
            KeyValueStoreCodec.Page page = KeyValueStoreCodec.readList(successfulBody(outcome));
            String last = after;
            for (Entry entry : page.entries()) {
              entries.put(
                  entry.key(), new ClusterStateCache.StateEntry(entry.value(), entry.version()));
              last = entry.key();
            }
            Revision from = first == null ? page.revision() : first;
            if (page.more()) {
              readPage(mine, last, entries, from, startedAt);
            } else {
              finishLoad(entries, from, startedAt);
            }
          } catch (MalformedMessageException e) {
            LOG.debug("reading all records failed: {}", e.getMessage());
            timers.after(
                RETRY_DELAY,
                () -> {
                  if (generation == mine) {
                    load();
                  }
                });
          }
        });
  }

  private void finishLoad(
      Map<String, ClusterStateCache.StateEntry> entries, Revision from, MonotonicTime startedAt) {
    // Pages are read one after the other at possibly different revisions, so the changes since the
    // first page are applied before anyone uses the records.
    enter(State.CATCHING_UP);
    int mine = generation;
    store.read(
        KeyValueStoreCodec.watchPath(StoreKeys.ROOT, from, 0),
        BARRIER_TIMEOUT,
        outcome -> {
          if (generation != mine) {
            return;
          }
          try {
            KeyValueStoreCodec.Page page = KeyValueStoreCodec.readWatch(successfulBody(outcome));
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
            enter(State.WATCHING);
            confirmedAt = startedAt;
            lastBarrierStart = startedAt;
            LOG.info("all records read: {} keys at revision {}", entries.size(), page.revision());
            cache.load(entries, page.revision());
            watch();
            barrier(ok -> {});
          } catch (MalformedMessageException e) {
            LOG.info("reading the changes since the first page failed: {}", e.getMessage());
            timers.after(RETRY_DELAY, this::load);
          }
        });
  }

  private static JsonFields successfulBody(HttpOutcome outcome) throws MalformedMessageException {
    if (outcome.status() != 200) {
      throw new MalformedMessageException("status " + outcome.status());
    }
    return Json.parseFields(outcome.response().body());
  }

  private void watch() {
    int mine = generation;
    MonotonicTime sent = timers.now();
    store.read(
        KeyValueStoreCodec.watchPath(StoreKeys.ROOT, cache.revision(), WATCH_TIMEOUT.millis()),
        WATCH_TIMEOUT.plus(TimeSpan.ofSeconds(5)),
        outcome -> {
          if (generation != mine) {
            return;
          }
          if (applyChanges(outcome, sent)) {
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
            LOG.info("the watch is too far behind: reading all records again");
            load();
          } else {
            timers.after(
                RETRY_DELAY,
                () -> {
                  if (generation == mine) {
                    watch();
                  }
                });
          }
        });
  }

  /** Applies the response of a watch or a barrier; false if it was an error. */
  private boolean applyChanges(HttpOutcome outcome, MonotonicTime sent) {
    if (outcome.status() != 200) {
      return false;
    }
    KeyValueStoreCodec.Page page;
    try {
      page = KeyValueStoreCodec.readWatch(Json.parseFields(outcome.response().body()));
    } catch (MalformedMessageException e) {
      LOG.info("changes cannot be read: {}", e.getMessage());
      return false;
    }
    // The watch and barriers receive the same changes: each is applied once, in order.
    Revision known = cache.revision();
    for (Entry event : page.entries()) {
      if (event.version().isAfter(known)) {
        cache.apply(event.key(), event.value(), event.version());
      }
    }
    if (confirmedAt == null || confirmedAt.isBefore(sent)) {
      confirmedAt = sent;
    }
    cache.advance(page.revision());
    return true;
  }

  /** Confirms that the cache is current as of now or later, then reports whether that succeeded. */
  public void barrier(Consumer<Boolean> whenCurrent) {
    if (join(whenCurrent)) {
      startBarrier();
    }
  }

  /** The same for callers that can wait a moment: several in quick succession share one read. */
  public void barrierSoon(Consumer<Boolean> whenCurrent) {
    if (join(whenCurrent) && !barrierRunning && !barrierPlanned) {
      barrierPlanned = true;
      timers.after(
          BARRIER_BATCHING_DELAY,
          () -> {
            barrierPlanned = false;
            startBarrier();
          });
    }
  }

  private boolean join(Consumer<Boolean> whenCurrent) {
    if (state != State.WATCHING || !cache.isLoaded()) {
      timers.after(TimeSpan.ofMillis(1), () -> whenCurrent.accept(false));
      return false;
    }
    barrierCallbacks.add(whenCurrent);
    return true;
  }

  private void startBarrier() {
    if (barrierRunning || barrierCallbacks.isEmpty()) {
      return;
    }
    if (state != State.WATCHING) {
      List<Consumer<Boolean>> refused = barrierCallbacks;
      barrierCallbacks = new ArrayList<>();
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
    List<Consumer<Boolean>> served = barrierCallbacks;
    barrierCallbacks = new ArrayList<>();
    store.read(
        KeyValueStoreCodec.watchPath(StoreKeys.ROOT, cache.revision(), 0),
        BARRIER_TIMEOUT,
        outcome -> {
          barrierRunning = false;
          boolean current = generation == mine && applyChanges(outcome, sent);
          if (current) {
            lastBarrierStart = sent;
          }
          served.forEach(asker -> asker.accept(current));
          startBarrier();
        });
  }
}
