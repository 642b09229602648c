package org.quincecross.net;

import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Endpoint;
import org.quincecross.model.TimeSpan;

/** Sends requests; tests provide a simulated network. */
public interface HttpCaller {
  /** Sends a request; {@code done} is called exactly once, and never during this call. */
  void call(Endpoint to, HttpRequest request, TimeSpan timeout, Consumer<HttpOutcome> done);
}
