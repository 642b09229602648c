package org.quincecross.net;

import org.quincecross.http.HttpResponse;

/**
 * The outcome of a request.
 *
 * @param response the response, or null if there was none
 * @param sent whether any of the request may have reached the receiver
 */
public record HttpOutcome(HttpResponse response, boolean sent) {
  public static HttpOutcome answered(HttpResponse response) {
    return new HttpOutcome(response, true);
  }

  public static HttpOutcome failed(boolean sent) {
    return new HttpOutcome(null, sent);
  }

  /** The status, or 0 if there was no response. */
  public int status() {
    return response == null ? 0 : response.status();
  }

  /** Whether the request may have been executed although there was no response. */
  public boolean isUncertain() {
    return response == null && sent;
  }
}
