package org.quincecross.cli;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.quincecross.api.Controller;
import org.quincecross.api.PeerSender;
import org.quincecross.model.ControllerId;
import org.quincecross.net.EventLoop;
import org.quincecross.net.FrameSender;
import org.quincecross.net.FrameServer;
import org.quincecross.net.HttpClient;
import org.quincecross.net.HttpServer;
import org.quincecross.protocol.Features;
import org.quincecross.protocol.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A controller on real sockets and a real clock. */
final class Server {
  private static final Logger LOG = LoggerFactory.getLogger(Server.class);

  /** Sockets reserved for outgoing calls and for the other controllers. */
  private static final int RESERVED_SOCKETS = 120;

  private final Settings settings;
  private final Features features;

  Server(Settings settings, Features features) {
    this.settings = settings;
    this.features = features;
  }

  void run() throws IOException {
    EventLoop loop = new EventLoop();
    Map<ControllerId, FrameSender> peers = new HashMap<>();
    for (Settings.Peer peer : settings.peers()) {
      peers.put(peer.id(), new FrameSender(loop, peer.address()));
    }
    PeerSender sender =
        new PeerSender() {
          @Override
          public boolean send(ControllerId to, byte[] frame) {
            return peers.get(to).send(frame);
          }

          @Override
          public void renew(ControllerId to) {
            peers.get(to).reconnect();
          }
        };
    Controller controller =
        new Controller(
            loop,
            new HttpClient(loop),
            sender,
            settings,
            features,
            System::currentTimeMillis,
            new HeapUsageMonitor());
    int sockets = settings.processLimits().maxSockets();
    new HttpServer(
        loop,
        settings.listenAddress(),
        Math.max(sockets / 2, sockets - RESERVED_SOCKETS),
        controller);
    new FrameServer(loop, settings.peerAddress(), controller::frame);
    controller.start();
    LOG.info(
        "{} serves users and agents on {}, controllers on {}",
        settings.self(),
        settings.listenAddress(),
        settings.peerAddress());
    loop.run();
  }
}
