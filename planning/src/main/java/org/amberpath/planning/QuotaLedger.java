package org.amberpath.planning;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The leader's side of quotas: the grants that it has made, and how much it may still grant. At any
 * time from now on, the sum of what all members may use stays within the bound of each resource,
 * even if messages are lost, late or duplicated, and members restart or never send a request. A
 * member without a grant holds its usual share, an equal part of the bound.
 *
 * <p>A share above the usual one is counted until it must have expired. A share below the usual one
 * is counted only once its member has confirmed it, and only while the member must still keep to
 * it. A member that restarts keeps to the minimum share for as long as a lower one could have held,
 * so no grant is below the minimum share.
 */
public final class QuotaLedger {
  /**
   * A grant as handed over to the next leader; its durations are the remaining ones.
   *
   * @param member the index of the member
   * @param instanceId identifies the start of the member that the grant was for
   * @param sequenceNumber the sequence number of the member's last request
   * @param number the number of the grant
   * @param amounts the share of each resource
   * @param raisedRemainingNanos the nanoseconds for which a share above the usual one may still be
   *     used
   * @param loweredRemainingNanos the nanoseconds for which the member must still keep to a share
   *     below the usual one; 0 for none
   * @param inForce whether the member has confirmed the grant
   */
  @SuppressWarnings("ArrayRecordComponent") // Instances are passed on, never compared.
  public record OutstandingGrant(
      int member,
      long instanceId,
      long sequenceNumber,
      long number,
      double[] amounts,
      long raisedRemainingNanos,
      long loweredRemainingNanos,
      boolean inForce) {}

  /**
   * The outstanding grants of a leader that has stopped granting.
   *
   * @param grants the outstanding grants
   * @param requestedAtNanos when the next leader requested the grants, which are no older than that
   * @param receivedAtNanos when the grants arrived at the next leader
   */
  public record Handover(
      List<OutstandingGrant> grants, long requestedAtNanos, long receivedAtNanos) {}

  private final QuotaTimings timings;
  private final long term;
  private final double[] bounds;
  private final double[] usualShares;
  private final MemberGrants[] members;
  private long lastNumber;

  /** Creates the ledger of a term that begins with no member above its usual share. */
  public QuotaLedger(QuotaTimings timings, long term, double[] bounds, int members) {
    this.timings = timings;
    this.term = term;
    this.bounds = bounds.clone();
    usualShares = Arrays.stream(bounds).map(bound -> bound / members).toArray();
    this.members = new MemberGrants[members];
    Arrays.setAll(this.members, member -> new MemberGrants(timings, usualShares));
  }

  /** Creates a ledger that continues from the ledger of the previous term. */
  public static QuotaLedger succeeding(
      QuotaTimings timings, long term, double[] bounds, int members, Handover handover) {
    QuotaLedger ledger = new QuotaLedger(timings, term, bounds, members);
    for (OutstandingGrant grant : handover.grants) {
      ledger.members[grant.member()].addHandedOver(grant, handover);
    }
    return ledger;
  }

  /**
   * Returns the most that all members except one may be using together at any time until {@code
   * endNanos}.
   */
  private double maxUseByOthers(int excluded, int resource, long nowNanos, long endNanos) {
    double maxSum = sumExcluding(excluded, resource, nowNanos);
    for (MemberGrants member : members) {
      // The sum only grows when a share below the usual one expires.
      for (long atNanos : member.loweredShareExpiries(nowNanos, endNanos)) {
        maxSum = Math.max(maxSum, sumExcluding(excluded, resource, atNanos));
      }
    }
    return maxSum;
  }

  private double sumExcluding(int excluded, int resource, long atNanos) {
    double sum = 0;
    for (int member = 0; member < members.length; member++) {
      sum += member == excluded ? 0 : members[member].maxUse(resource, atNanos);
    }
    return sum;
  }

  /**
   * Applies the confirmation in a request. Returns false if the request is not to be answered: a
   * duplicate, out of order, or of an unknown member.
   */
  public boolean requestReceived(QuotaRequest request) {
    return request.member() >= 0
        && request.member() < members.length
        && members[request.member()].requestReceived(request, term);
  }

  /**
   * Grants shares as far as the bounds allow, never less than the minimum share.
   *
   * @param fairShares the shares to grant if the bounds allow it, each at least the minimum share
   * @return the grant; null if nothing may be granted until the member confirms an earlier one
   */
  public QuotaGrant grant(long nowNanos, QuotaRequest request, double[] fairShares) {
    for (MemberGrants each : members) {
      each.removeExpired(nowNanos);
    }
    MemberGrants member = members[request.member()];
    if (member.hasMaxOutstanding()) {
      return null;
    }
    double[] amounts = new double[bounds.length];
    for (int resource = 0; resource < bounds.length; resource++) {
      amounts[resource] = amount(nowNanos, request.member(), resource, fairShares[resource]);
    }
    lastNumber++;
    member.add(lastNumber, raisedUntilNanos(nowNanos), amounts);
    return new QuotaGrant(
        request.member(),
        request.instanceId(),
        request.sequenceNumber(),
        term,
        lastNumber,
        nowNanos,
        amounts.clone());
  }

  private long raisedUntilNanos(long nowNanos) {
    return nowNanos + timings.longestNanos(timings.grantNanos());
  }

  private double amount(long nowNanos, int member, int resource, double fairShare) {
    double usualShare = usualShares[resource];
    double bound = bounds[resource];
    double free = bound - maxUseByOthers(member, resource, nowNanos, raisedUntilNanos(nowNanos));
    if (fairShare > usualShare && free > usualShare) {
      return Math.min(fairShare, free);
    }
    long endNanos = nowNanos + timings.longestNanos(timings.holdNanos());
    double allowed =
        Math.max(
            members[member].minCountedUse(resource, nowNanos, endNanos),
            bound - maxUseByOthers(member, resource, nowNanos, endNanos));
    return Math.max(
        usualShare * timings.minimumFraction(), Math.min(Math.min(fairShare, usualShare), allowed));
  }

  /**
   * Returns the grants that may be in force. The next leader requests them once this one has
   * stopped granting.
   */
  public List<OutstandingGrant> outstandingGrants(long nowNanos) {
    List<OutstandingGrant> all = new ArrayList<>();
    for (int member = 0; member < members.length; member++) {
      members[member].outstanding(member, nowNanos).forEach(all::add);
    }
    return all;
  }

  /** Returns the most of a resource that all members together may be using now. */
  public double inUse(int resource, long nowNanos) {
    return sumExcluding(-1, resource, nowNanos);
  }
}
