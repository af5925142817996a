package org.amberpath.membership;

import java.util.HashSet;
import java.util.Set;

/** What is held of one other member. */
final class MemberEntry {
  /** The update that takes precedence over all others about this member. */
  MemberUpdate update;

  /** When the status changed last, in nanoseconds of this process's clock. */
  long changedAtNanos;

  /** The digest of counted names that this member sent last. */
  long reportedNamesDigest;

  /** When the suspicion ends, in nanoseconds; meaningful while the member is suspected. */
  long suspicionDeadlineNanos;

  /** Who reports this member as suspected under its present incarnation. */
  final Set<String> reporters = new HashSet<>();

  /** How many of this member's requests were answered in the present period. */
  final ResponseRateLimiter.Window responses = new ResponseRateLimiter.Window();

  /** The part that this name has in digests. */
  final long nameHash;

  MemberEntry(MemberUpdate update) {
    this.update = update;
    nameHash = NameDigest.hash(update.name());
  }

  MemberStatus status() {
    return update.status();
  }

  /** Whether this member is alive, or suspected and not yet lost. */
  boolean isPresent() {
    return status() == MemberStatus.ALIVE || status() == MemberStatus.SUSPECTED;
  }
}
