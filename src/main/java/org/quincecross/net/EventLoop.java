package org.quincecross.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The selector loop that runs everything in the process. */
public final class EventLoop implements Timers {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

  /** Handles the events of a socket. */
  interface SocketHandler {
    void ready(SelectionKey key) throws IOException;

    /** The socket has failed. */
    void failed(IOException cause);
  }

  private record ScheduledAction(MonotonicTime at, long order, Runnable action)
      implements Comparable<ScheduledAction> {
    @Override
    public int compareTo(ScheduledAction other) {
      int byTime = at.compareTo(other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final Selector selector;
  private final PriorityQueue<ScheduledAction> timers = new PriorityQueue<>();
  private long order;
  private volatile boolean stopped;

  public EventLoop() {
    try {
      selector = Selector.open();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public MonotonicTime now() {
    return new MonotonicTime(System.nanoTime());
  }

  @Override
  public void after(TimeSpan delay, Runnable action) {
    timers.add(new ScheduledAction(now().plus(delay), order++, action));
  }

  public void stop() {
    stopped = true;
    selector.wakeup();
  }

  SelectionKey register(SelectableChannel channel, int interest, SocketHandler waker)
      throws IOException {
    channel.configureBlocking(false);
    return channel.register(selector, interest, waker);
  }

  /** Runs until {@link #stop()}. */
  public void run() throws IOException {
    while (!stopped) {
      runTimers();
      ScheduledAction first = timers.peek();
      if (first == null) {
        selector.select();
      } else {
        long wait = first.at().since(now()).nanos();
        if (wait <= 0) {
          selector.selectNow();
        } else {
          selector.select(Math.max(1, (wait + 999_999) / 1_000_000));
        }
      }
      List<SelectionKey> ready = new ArrayList<>(selector.selectedKeys());
      selector.selectedKeys().clear();
      for (SelectionKey key : ready) {
        dispatch(key);
      }
    }
    selector.close();
  }

  private void dispatch(SelectionKey key) {
    SocketHandler waker = (SocketHandler) key.attachment();
    try {
      if (key.isValid()) {
        waker.ready(key);
      }
    } catch (IOException e) {
      waker.failed(e);
    } catch (RuntimeException e) {
      // A failure of one connection must not end the process.
      LOG.error("unexpected failure on a connection", e);
      waker.failed(new IOException(e));
    }
  }

  private void runTimers() {
    MonotonicTime now = now();
    while (!timers.isEmpty() && !now.isBefore(timers.peek().at())) {
      Runnable action = timers.poll().action();
      try {
        action.run();
      } catch (RuntimeException e) {
        LOG.error("unexpected failure in a timer", e);
      }
    }
  }
}
