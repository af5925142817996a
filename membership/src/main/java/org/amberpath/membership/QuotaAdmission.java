package org.amberpath.membership;

/**
 * Computes this member's share of the limits that apply to the complete fleet, and decides whether
 * a member beyond the configured maximum is admitted to a share. docs/design/fleet-view.md has the
 * proof that the shares of all running members never sum to more than one.
 */
final class QuotaAdmission {
  private final SwimContext context;
  private boolean admitted;

  QuotaAdmission(SwimContext context) {
    this.context = context;
  }

  /**
   * Admits this member permanently once the last message of every counted member carried the same
   * digest of counted names as the local one.
   */
  void update(long nowNanos) {
    MembershipTable table = context.table();
    if (!admitted && context.local().isFullySynced()) {
      admitted =
          table.countedMembers() > 1
              && table.all().stream()
                  .allMatch(
                      entry ->
                          !table.isCounted(entry, nowNanos)
                              || entry.reportedCountedDigest == table.countedDigest());
    }
  }

  /**
   * Returns the number by which fleet-wide limits are divided: the configured maximum or the number
   * of counted members, whichever is larger. A lost member remains counted.
   */
  int divisor() {
    return Math.max(context.timings().maxMembers(), context.table().countedMembers());
  }

  /** Returns this member's share of fleet-wide limits: 0, or 1 divided by the divisor. */
  double share(SwimProtocol.Phase phase) {
    boolean withinMaximum = context.table().countedMembers() <= context.timings().maxMembers();
    boolean viewComplete = context.local().isFullySynced() || phase == SwimProtocol.Phase.ALONE;
    boolean entitled = admitted || (withinMaximum && viewComplete);
    return phase != SwimProtocol.Phase.LEAVING && entitled ? 1.0 / divisor() : 0;
  }
}
