package org.quincecross.emulator;

import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.EventLoop;

/**
 * The time of an event loop: simulators that use it run on the thread of the loop, beside its
 * sockets.
 */
final class LoopClock implements Clock {
  private final EventLoop loop;
  private final MonotonicTime began;

  LoopClock(EventLoop loop) {
    this.loop = loop;
    this.began = loop.now();
  }

  @Override
  public double seconds() {
    return loop.now().since(began).seconds();
  }

  @Override
  public void after(double seconds, Runnable action) {
    loop.after(TimeSpan.ofSeconds(Math.max(0, seconds)), action);
  }
}
