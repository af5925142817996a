package org.amberpath.membership.runtime;

import java.util.logging.Logger;
import org.amberpath.membership.MemberStatus;
import org.amberpath.membership.SwimProtocol;
import org.amberpath.membership.SwimTimings;

/**
 * Writes the log lines of one gateway's membership. Each line consists of the gateway's name, the
 * component, the event, and the event's attributes as key=value.
 *
 * <p>Bounds: {@value #MAX_CHANGES_PER_SECOND} changes of statuses, phases and quota shares are
 * logged per second; further ones are counted, and their number is logged afterwards.
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

  /** Logs that the gateway has begun to join its fleet. */
  void joining(
      String fleet,
      String keyId,
      String boundAddress,
      String advertisedAddress,
      SwimTimings timings) {
    logEvent(
        "joining fleet="
            + fleet
            + " key="
            + keyId
            + " listen="
            + boundAddress
            + " advertised="
            + advertisedAddress
            + " max_members="
            + timings.maxMembers());
  }

  void keysReloaded(String keyId) {
    logEvent("keys_reloaded signing_key=" + keyId);
  }

  void keyReloadFailed(String reason) {
    LOG.warning(prefix + "keys_unchanged reason=" + reason);
  }

  void nameConflict(String address) {
    LOG.warning(prefix + "name_conflict address=" + address);
  }

  void statusChanged(String member, MemberStatus status) {
    logChange("status_changed member=" + member + " status=" + status);
  }

  void phaseChanged(SwimProtocol.Phase from, SwimProtocol.Phase to) {
    logChange("phase_changed from=" + from + " to=" + to);
  }

  /** Logs a new quota share: 1 divided by the divisor if granted, 0 otherwise. */
  void quotaShareChanged(int divisor, boolean granted) {
    logChange(
        "quota_share_changed divisor=" + divisor + " share=" + (granted ? "1/" + divisor : "0"));
  }

  /** Logs a change unless the limit of this second is reached; otherwise counts it. */
  private void logChange(String text) {
    if (++changesInWindow <= MAX_CHANGES_PER_SECOND) {
      logEvent(text);
    } else {
      suppressedChanges++;
    }
  }

  private void logEvent(String text) {
    LOG.info(prefix + text);
  }

  /**
   * Begins a new one-second window when the current one has ended, and logs the number of
   * suppressed changes. Must be called several times per second.
   */
  void tick(long nowNanos) {
    if (nowNanos - windowStartNanos > SECOND_NANOS) {
      windowStartNanos = nowNanos;
      changesInWindow = 0;
      if (suppressedChanges > 0) {
        logEvent("changes_suppressed count=" + suppressedChanges);
        suppressedChanges = 0;
      }
    }
  }
}
