package org.quincecross.api;

import org.quincecross.model.ControllerId;

/**
 * Sends frames to the other controllers; a frame may be lost. Tests provide a network of their own.
 */
public interface PeerSender {
  /** Sends a frame; false if there is no connection. */
  boolean send(ControllerId to, byte[] frame);

  /**
   * Drops the connection to a controller that seems to receive nothing; the next frame opens a new
   * one.
   */
  void renew(ControllerId to);
}
