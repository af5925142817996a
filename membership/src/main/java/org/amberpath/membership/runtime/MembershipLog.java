package org.amberpath.membership.runtime;

import java.util.logging.Logger;
import org.amberpath.membership.SwimTimings;

/**
 * The log lines of one gateway's membership.
 *
 * <p>Bounds: {@value #MAX_CHANGES_PER_SECOND} changes a second are logged; the others are counted.
 */
final class MembershipLog {
  private static final Logger LOG = Logger.getLogger(MembershipService.class.getName());
  private static final int MAX_CHANGES_PER_SECOND = 5;
  private static final long SECOND_NANOS = 1_000_000_000;

  private final String gateway;
  private long windowStartNanos;
  private int changesInWindow;
  private long suppressedChanges;

  MembershipLog(String gateway) {
    this.gateway = gateway;
  }

  /** The gateway has begun to join its fleet. */
  void joining(
      String fleet, String keyId, String boundAddress, String address, SwimTimings timings) {
    LOG.info(
        gateway
            + ": fleet "
            + fleet
            + ", key "
            + keyId
            + ": hears at "
            + boundAddress
            + ", told as "
            + address
            + ", at most "
            + timings.maxMembers()
            + " gateways");
  }

  void info(String text) {
    LOG.info(gateway + ": fleet: " + text);
  }

  void warning(String text) {
    LOG.warning(gateway + ": fleet: " + text);
  }

  /** Logs a change of the fleet, if there were not too many in this second. */
  void change(String text) {
    if (++changesInWindow <= MAX_CHANGES_PER_SECOND) {
      LOG.info(gateway + ": fleet: " + text);
    } else {
      suppressedChanges++;
    }
  }

  /** Tells the time; to be called several times a second. */
  void tick(long nowNanos) {
    if (nowNanos - windowStartNanos > SECOND_NANOS) {
      windowStartNanos = nowNanos;
      changesInWindow = 0;
      if (suppressedChanges > 0) {
        LOG.info(gateway + ": fleet: " + suppressedChanges + " changes more");
        suppressedChanges = 0;
      }
    }
  }
}
