package org.quincecross.emulator;

import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.EventLoop;

/** The time of a selector loop: stand-ins that live in it run beside its sockets, on its thread. */
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
