package org.quincecross.api;

import org.quincecross.model.ControllerId;

/**
 * Sends frames to the other controllers; a frame may be lost. Tests put a network of their own
 * here.
 */
public interface PeerSender {
  boolean send(ControllerId to, byte[] frame);

  /**
   * Lets go of the connection to a controller that nothing seems to arrive at: the next frame goes
   * out on a new one.
   */
  void renew(ControllerId to);
}
