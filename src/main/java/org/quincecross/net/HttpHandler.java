package org.quincecross.net;

import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;

/** Handles requests, synchronously or asynchronously. */
public interface HttpHandler {
  /** {@code reply} is to be called once; later calls are ignored. */
  void handle(HttpRequest request, Consumer<HttpResponse> reply);
}
