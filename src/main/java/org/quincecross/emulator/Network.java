package org.quincecross.emulator;

import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.Endpoint;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpOutcome;

/** What carries requests between the hosts of a site: virtual, or sockets on loopback. */
interface Network {
  /** Answers what arrives at an address. */
  interface Host {
    /** Whether a connection is accepted. */
    boolean isUp();

    /**
     * What answers there now: a connection to one does not lead to another that comes in its place.
     */
    default Object process() {
      return this;
    }

    /** {@code from}: the name of the caller, where the network knows it. */
    void request(String from, HttpRequest request, Consumer<HttpResponse> reply);
  }

  /** Puts a host at an address. */
  void host(Endpoint address, String name, Host host);

  /** Takes the host at an address away. */
  void remove(Endpoint address);

  /** A caller is gone for good. */
  default void forget(String caller) {}

  /** Where machine {@code number} of the site listens. */
  Endpoint machineAddress(int number);

  /**
   * A request of {@code caller}; {@code done} is called at most once, and not at all once the
   * caller is dead.
   */
  void call(
      ProcessScope caller,
      String from,
      Endpoint to,
      HttpRequest request,
      TimeSpan timeout,
      Consumer<HttpOutcome> done);
}
