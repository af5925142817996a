package org.amberpath.membership;

/**
 * This member's share of what the whole fleet may use. docs/design/fleet-view.md has the proof that
 * the shares of all running members never sum to more than one.
 */
final class QuotaAdmission {
  private final SwimContext context;
  private boolean admitted;

  QuotaAdmission(SwimContext context) {
    this.context = context;
  }

  /**
   * Admits this member for good once each counted member has said that it counts the same names.
   */
  void update(long nowNanos) {
    MembershipTable table = context.table();
    if (!admitted && context.local().isFullySynced()) {
      admitted =
          table.countedNames() > 1
              && table.all().stream()
                  .allMatch(
                      entry ->
                          !table.isCounted(entry, nowNanos)
                              || entry.reportedNamesDigest == table.namesDigest());
    }
  }

  /** By how many shared limits are divided; a loss never lowers it. */
  int divisor() {
    return Math.max(context.timings().maxMembers(), context.table().countedNames());
  }

  /** This member's share, 0 to 1. */
  double share(SwimProtocol.Phase phase) {
    boolean withinMaximum = context.table().countedNames() <= context.timings().maxMembers();
    boolean heard = context.local().isFullySynced() || phase == SwimProtocol.Phase.ALONE;
    boolean entitled = admitted || (withinMaximum && heard);
    return phase != SwimProtocol.Phase.LEAVING && entitled ? 1.0 / divisor() : 0;
  }
}
