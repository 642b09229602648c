package org.quincecross.emulator;

import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;

/** Observes every message on a simulated network. Hosts have their names on that network. */
interface MessageObserver {
  /** Ignores all messages. */
  MessageObserver NONE =
      new MessageObserver() {
        @Override
        public void request(String from, String to, HttpRequest request) {}

        @Override
        public void response(String from, String to, HttpRequest request, HttpResponse response) {}

        @Override
        public void frame(byte[] frame) {}
      };

  /** A request leaves its sender. */
  void request(String from, String to, HttpRequest request);

  /** The host {@code to} has answered a request of {@code from}. */
  void response(String from, String to, HttpRequest request, HttpResponse response);

  /** One controller sends a frame to another. */
  void frame(byte[] frame);
}
