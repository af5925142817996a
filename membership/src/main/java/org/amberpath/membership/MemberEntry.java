package org.amberpath.membership;

import java.util.HashSet;
import java.util.Set;

/** The table entry of one other member. */
final class MemberEntry {
  /** The update that takes precedence over all others about this member. */
  MemberUpdate update;

  /** When the status last changed, in nanoseconds of this process's clock. */
  long statusChangedAtNanos;

  /** The digest of counted names in the last message received from this member. */
  long reportedCountedDigest;

  /**
   * When the suspicion expires, in nanoseconds of this process's clock; meaningful only while the
   * member is suspected.
   */
  long suspicionDeadlineNanos;

  /** The names of the members that reported this member as suspected in its current incarnation. */
  final Set<String> reporters = new HashSet<>();

  /** Counts the responses to this member's requests in the current probe interval. */
  final ResponseRateLimiter.Window responseWindow = new ResponseRateLimiter.Window();

  /** The hash of this member's name, which is its summand in digests. */
  final long nameHash;

  MemberEntry(MemberUpdate update) {
    this.update = update;
    nameHash = NameDigest.hash(update.name());
  }

  MemberStatus status() {
    return update.status();
  }

  /** Whether this member is alive or suspected. */
  boolean isPresent() {
    return status() == MemberStatus.ALIVE || status() == MemberStatus.SUSPECTED;
  }
}
