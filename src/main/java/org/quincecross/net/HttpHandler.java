package org.quincecross.net;

import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;

/** Answers requests, at once or later. */
public interface HttpHandler {
  /** {@code reply} is to be called once; calls after the first are ignored. */
  void handle(HttpRequest request, Consumer<HttpResponse> reply);
}
