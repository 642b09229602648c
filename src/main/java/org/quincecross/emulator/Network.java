package org.quincecross.emulator;

import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.Endpoint;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpOutcome;

/** Carries requests between the hosts of a deployment: simulated, or over sockets on loopback. */
interface Network {
  /** Answers requests at an address. */
  interface Host {
    /** Whether a connection is accepted. */
    boolean isUp();

    /**
     * The process that answers there now: a connection to one process does not lead to its
     * successor.
     */
    default Object process() {
      return this;
    }

    /**
     * Handles a request and passes the response to {@code reply}.
     *
     * @param from the name of the caller, if the network knows it
     */
    void request(String from, HttpRequest request, Consumer<HttpResponse> reply);
  }

  /** Registers a host at an address. */
  void host(Endpoint address, String name, Host host);

  /** Removes the host at an address. */
  void remove(Endpoint address);

  /** A caller has ended for good. */
  default void forget(String caller) {}

  /** The address of machine {@code number}. */
  Endpoint machineAddress(int number);

  /**
   * Sends a request of {@code caller}; {@code done} is called at most once, and never after the
   * caller has ended.
   */
  void call(
      ProcessScope caller,
      String from,
      Endpoint to,
      HttpRequest request,
      TimeSpan timeout,
      Consumer<HttpOutcome> done);
}
