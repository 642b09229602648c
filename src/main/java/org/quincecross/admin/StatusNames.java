package org.quincecross.admin;

import org.quincecross.leader.Leader;
import org.quincecross.state.Membership;

/** The state names in {@code /admin/status}, which are part of the interface. */
final class StatusNames {
  private StatusNames() {}

  static String of(Membership.State state) {
    return switch (state) {
      case REVOKING_FORMER_LEASE -> "ENDING_FORMER_LIFE";
      case ASKING_FOR_LEASE -> "ASKING_FOR_LEASE";
      case ANNOUNCING -> "ANNOUNCING";
      case LIVE -> "LIVE";
      case READING_LEVEL -> "READING_LEVEL";
      case INCOMPATIBLE -> "UNABLE";
    };
  }

  static String of(Leader.State state) {
    return switch (state) {
      case FOLLOWER -> "FOLLOWING";
      case CANDIDATE -> "STANDING";
      case LEADER -> "LEADING";
      case RECOVERING -> "MENDING";
    };
  }
}
