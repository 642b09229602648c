package org.quincecross.net;

import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Endpoint;
import org.quincecross.model.TimeSpan;

/** Sends requests. Tests put a network of their own here. */
public interface HttpCaller {
  /** Sends a request; {@code done} is called exactly once, never from inside this call. */
  void call(Endpoint to, HttpRequest request, TimeSpan timeout, Consumer<HttpOutcome> done);
}
