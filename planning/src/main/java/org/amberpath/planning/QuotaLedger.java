package org.amberpath.planning;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The leader's side: what it has granted, and what it may grant. The sum of what all members may
 * use at any moment from now on stays within the bound of each resource, whatever messages are
 * lost, late or duplicated, and whoever restarts or is never heard of. A member without a grant
 * holds its usual share, an equal part of the bound.
 *
 * <p>A share above the usual one is counted until it must have expired; one below counts only once
 * its member has confirmed it, and only as long as it must still be kept to. A member that restarts
 * keeps to the minimum share for as long as a lower one could have held, so no grant is below that.
 */
public final class QuotaLedger {
  /**
   * One grant as it is handed over to the next leader; durations are what is left of them.
   *
   * @param member the index of the member
   * @param instanceId which start of the member it was for
   * @param sequenceNumber the member's last request
   * @param number the number of the grant
   * @param amounts the share of each resource
   * @param raisedLeftNanos for how many nanoseconds a share above the usual one may still be used
   * @param loweredLeftNanos for how many nanoseconds one below must still be kept to
   * @param inForce whether the member has confirmed it
   */
  @SuppressWarnings("ArrayRecordComponent") // Handed over, never compared.
  public record OutstandingGrant(
      int member,
      long instanceId,
      long sequenceNumber,
      long number,
      double[] amounts,
      long raisedLeftNanos,
      long loweredLeftNanos,
      boolean inForce) {}

  /**
   * What a leader that has stopped granting has left.
   *
   * @param grants its outstanding grants
   * @param requestedAtNanos when they were requested of it: they are of no earlier time
   * @param receivedAtNanos when they arrived
   */
  public record Handover(
      List<OutstandingGrant> grants, long requestedAtNanos, long receivedAtNanos) {}

  private final QuotaTimings timings;
  private final long term;
  private final double[] bounds;
  private final double[] usual;
  private final MemberGrants[] members;
  private long lastNumber;

  /** A ledger of a term that begins with no member above its usual share. */
  public QuotaLedger(QuotaTimings timings, long term, double[] bounds, int members) {
    this.timings = timings;
    this.term = term;
    this.bounds = bounds.clone();
    usual = Arrays.stream(bounds).map(bound -> bound / members).toArray();
    this.members = new MemberGrants[members];
    Arrays.setAll(this.members, member -> new MemberGrants(timings, usual));
  }

  /** A ledger that continues from that of the term before. */
  public static QuotaLedger succeeding(
      QuotaTimings timings, long term, double[] bounds, int members, Handover handover) {
    QuotaLedger ledger = new QuotaLedger(timings, term, bounds, members);
    for (OutstandingGrant grant : handover.grants) {
      ledger.members[grant.member()].takeOver(grant, handover);
    }
    return ledger;
  }

  /** The most that all members but one may be using together at any time until an end. */
  private double mostUsedByOthers(int excluded, int resource, long nowNanos, long endNanos) {
    double most = sumOfOthers(excluded, resource, nowNanos);
    for (MemberGrants member : members) {
      // The sum only grows where a share below the usual one runs out.
      for (long atNanos : member.endsOfLoweredShares(nowNanos, endNanos)) {
        most = Math.max(most, sumOfOthers(excluded, resource, atNanos));
      }
    }
    return most;
  }

  private double sumOfOthers(int excluded, int resource, long atNanos) {
    double sum = 0;
    for (int member = 0; member < members.length; member++) {
      sum += member == excluded ? 0 : members[member].mostUsed(resource, atNanos);
    }
    return sum;
  }

  /** Takes what a request confirms. False where it is not to be answered: a duplicate, or late. */
  public boolean requestReceived(QuotaRequest request) {
    return request.member() >= 0
        && request.member() < members.length
        && members[request.member()].requestReceived(request, term);
  }

  /**
   * Grants what was requested, as far as the bounds allow; never less than the minimum share.
   *
   * @param wished the shares that are fair, at least the minimum ones
   * @return null where nothing may be granted until the member confirms a grant
   */
  public QuotaGrant grant(long nowNanos, QuotaRequest request, double[] wished) {
    for (MemberGrants each : members) {
      each.forgetExpired(nowNanos);
    }
    MemberGrants member = members[request.member()];
    if (member.isFull()) {
      return null;
    }
    double[] amounts = new double[bounds.length];
    for (int resource = 0; resource < bounds.length; resource++) {
      amounts[resource] = amount(nowNanos, request.member(), resource, wished[resource]);
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

  private double amount(long nowNanos, int member, int resource, double wished) {
    double usualShare = usual[resource];
    double bound = bounds[resource];
    double free = bound - mostUsedByOthers(member, resource, nowNanos, raisedUntilNanos(nowNanos));
    if (wished > usualShare && free > usualShare) {
      return Math.min(wished, free);
    }
    long endNanos = nowNanos + timings.longestNanos(timings.holdNanos());
    double allowed =
        Math.max(
            members[member].leastCounted(resource, nowNanos, endNanos),
            bound - mostUsedByOthers(member, resource, nowNanos, endNanos));
    return Math.max(
        usualShare * timings.minimumFraction(), Math.min(Math.min(wished, usualShare), allowed));
  }

  /** All that may be in force, for the next leader: to be requested once this one has stopped. */
  public List<OutstandingGrant> outstandingGrants(long nowNanos) {
    List<OutstandingGrant> all = new ArrayList<>();
    for (int member = 0; member < members.length; member++) {
      members[member].outstanding(member, nowNanos).forEach(all::add);
    }
    return all;
  }

  /** The most of a resource that all members may be using now. */
  public double inUse(int resource, long nowNanos) {
    return sumOfOthers(-1, resource, nowNanos);
  }
}
