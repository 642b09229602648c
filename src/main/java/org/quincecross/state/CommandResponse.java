package org.quincecross.state;

import org.quincecross.model.Revision;

/**
 * The outcome of a command for a replicated record.
 *
 * @param status an HTTP status: 200 durable or nothing to change, 4xx refused without a change, 503
 *     unknown
 * @param reason the reason in words, or empty
 * @param change the number of the record's change that applied the command
 * @param revision the store revision with the change; none if nothing was written now
 * @param retryAfterS when to retry, in seconds; 0 if a retry is pointless
 */
public record CommandResponse(
    int status, String reason, long change, Revision revision, int retryAfterS) {
  /** Whether the command is durable. */
  public boolean isDurable() {
    return status == 200;
  }
}
