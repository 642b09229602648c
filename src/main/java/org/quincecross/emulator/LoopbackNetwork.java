package org.quincecross.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Endpoint;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.EventLoop;
import org.quincecross.net.HttpClient;
import org.quincecross.net.HttpOutcome;
import org.quincecross.net.HttpServer;

/**
 * Real sockets on loopback. Each host listens on a port of its own, and each caller has its own
 * connections.
 */
final class LoopbackNetwork implements Network {
  private static final String LOOPBACK = "127.0.0.1";
  private static final int MAX_CONNECTIONS = 4000;

  private final EventLoop loop;
  private final int firstMachinePort;
  private final Map<Endpoint, String> callers = new HashMap<>();
  private final Map<Endpoint, HttpServer> servers = new HashMap<>();
  private final Map<String, HttpClient> clients = new HashMap<>();

  LoopbackNetwork(EventLoop loop, int firstMachinePort) {
    this.loop = loop;
    this.firstMachinePort = firstMachinePort;
  }

  static Endpoint at(int port) {
    return new Endpoint(LOOPBACK, port);
  }

  /** Sets the name of the caller at an address, which a socket does not carry. */
  void setCaller(Endpoint address, String caller) {
    callers.put(address, caller);
  }

  @Override
  public void host(Endpoint address, String name, Host host) {
    String caller = callers.getOrDefault(address, "");
    try {
      servers.put(
          address,
          new HttpServer(
              loop,
              address,
              MAX_CONNECTIONS,
              (request, reply) -> host.request(caller, request, reply)));
    } catch (IOException e) {
      throw new UncheckedIOException("cannot listen at " + address + ": " + e.getMessage(), e);
    }
  }

  @Override
  public void remove(Endpoint address) {
    HttpServer server = servers.remove(address);
    if (server != null) {
      server.close();
    }
  }

  /** A caller has ended: closes its connections. */
  @Override
  public void forget(String caller) {
    HttpClient client = clients.remove(caller);
    if (client != null) {
      client.close();
    }
  }

  @Override
  public Endpoint machineAddress(int number) {
    return at(firstMachinePort + number);
  }

  @Override
  public void call(
      ProcessScope caller,
      String from,
      Endpoint to,
      HttpRequest request,
      TimeSpan timeout,
      Consumer<HttpOutcome> done) {
    clients
        .computeIfAbsent(from, name -> new HttpClient(loop))
        .call(
            to,
            request,
            timeout,
            outcome -> {
              if (caller.isAlive()) {
                done.accept(outcome);
              }
            });
  }

  void close() {
    servers.values().forEach(HttpServer::close);
    clients.values().forEach(HttpClient::close);
  }
}
