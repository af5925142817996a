package org.amberpath.membership.runtime;

import java.util.logging.Logger;
import org.amberpath.membership.MemberStatus;
import org.amberpath.membership.SwimProtocol;
import org.amberpath.membership.SwimTimings;

/**
 * The log lines of one gateway's membership, each with its name, the component, the event and what
 * belongs to it as key=value.
 *
 * <p>Bounds: {@value #MAX_CHANGES_PER_SECOND} changes a second are logged; the others are counted.
 */
final class MembershipLog {
  private static final Logger LOG = Logger.getLogger(MembershipService.class.getName());
  private static final int MAX_CHANGES_PER_SECOND = 5;
  private static final long SECOND_NANOS = 1_000_000_000;

  private final String prefix;
  private long windowStartNanos;
  private int changesInWindow;
  private long suppressedChanges;

  MembershipLog(String gateway) {
    prefix = gateway + ": membership: ";
  }

  /** The gateway has begun to join its fleet. */
  void joining(
      String fleet, String keyId, String boundAddress, String address, SwimTimings timings) {
    event(
        "joining fleet="
            + fleet
            + " key="
            + keyId
            + " listen="
            + boundAddress
            + " advertised="
            + address
            + " max_members="
            + timings.maxMembers());
  }

  void keysReloaded(String keyId) {
    event("keys_reloaded signing_key=" + keyId);
  }

  void keysUnchanged(String reason) {
    LOG.warning(prefix + "keys_unchanged reason=" + reason);
  }

  void nameConflict(String address) {
    LOG.warning(prefix + "name_conflict address=" + address);
  }

  void statusChanged(String member, MemberStatus status) {
    change("status_changed member=" + member + " status=" + status);
  }

  void phaseChanged(SwimProtocol.Phase from, SwimProtocol.Phase to) {
    change("phase_changed from=" + from + " to=" + to);
  }

  /** The share is one part of the divisor, or none. */
  void quotaShareChanged(int divisor, boolean granted) {
    change("quota_share_changed divisor=" + divisor + " share=" + (granted ? "1/" + divisor : "0"));
  }

  /** Logs a change of the fleet, if there were not too many in this second. */
  private void change(String text) {
    if (++changesInWindow <= MAX_CHANGES_PER_SECOND) {
      event(text);
    } else {
      suppressedChanges++;
    }
  }

  private void event(String text) {
    LOG.info(prefix + text);
  }

  /** Tells the time; to be called several times a second. */
  void tick(long nowNanos) {
    if (nowNanos - windowStartNanos > SECOND_NANOS) {
      windowStartNanos = nowNanos;
      changesInWindow = 0;
      if (suppressedChanges > 0) {
        event("changes_suppressed count=" + suppressedChanges);
        suppressedChanges = 0;
      }
    }
  }
}
