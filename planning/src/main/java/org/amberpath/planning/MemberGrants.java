package org.amberpath.planning;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.stream.Stream;
import org.amberpath.planning.QuotaLedger.OutstandingGrant;

/** The state of one member in a ledger: its last request, and the grants that may be in force. */
final class MemberGrants {
  /**
   * The maximum number of outstanding grants, at which nothing is granted until the member confirms
   * one.
   */
  private static final int MAX_OUTSTANDING = 16;

  /**
   * A grant. The member may use a share above the usual one until {@code raisedUntilNanos}. It
   * keeps to a share below the usual one, once it has confirmed that, at least until {@code
   * loweredUntilNanos}.
   */
  private static final class Grant {
    private final long number;
    private final long raisedUntilNanos;
    private final long loweredUntilNanos;
    private final double[] amounts;
    private boolean inForce;

    Grant(long number, long raisedUntilNanos, long loweredUntilNanos, double[] amounts) {
      this.number = number;
      this.raisedUntilNanos = raisedUntilNanos;
      this.loweredUntilNanos = loweredUntilNanos;
      this.amounts = amounts;
    }
  }

  private final QuotaTimings timings;
  private final double[] usualShares;
  private final Deque<Grant> grants = new ArrayDeque<>();
  private long instanceId = Long.MIN_VALUE;
  private long sequenceNumber = Long.MIN_VALUE;

  /** The last request, and every later one, was made after this time of the leader's clock. */
  private long requestedAfterNanos = Long.MIN_VALUE;

  MemberGrants(QuotaTimings timings, double[] usualShares) {
    this.timings = timings;
    this.usualShares = usualShares;
  }

  /** Adds a grant of the previous term; see {@link QuotaLedger.Handover}. */
  void addHandedOver(OutstandingGrant outstanding, QuotaLedger.Handover handover) {
    instanceId = Math.max(instanceId, outstanding.instanceId());
    // Numbers of the previous term are mapped below all numbers of this term.
    Grant grant =
        new Grant(
            outstanding.number() - Long.MAX_VALUE,
            handover.receivedAtNanos() + timings.longestNanos(outstanding.raisedRemainingNanos()),
            outstanding.loweredRemainingNanos() == 0
                ? Long.MIN_VALUE
                : handover.requestedAtNanos()
                    + timings.shortestNanos(outstanding.loweredRemainingNanos()),
            outstanding.amounts().clone());
    grant.inForce = outstanding.inForce();
    if (grant.inForce && grant.loweredUntilNanos != Long.MIN_VALUE) {
      requestedAfterNanos =
          Math.max(
              requestedAfterNanos,
              grant.loweredUntilNanos - timings.shortestNanos(timings.holdNanos()));
    }
    grants.add(grant);
  }

  /**
   * Applies the confirmation in a request. Returns false if the request is a duplicate or out of
   * order.
   */
  boolean requestReceived(QuotaRequest request, long term) {
    if (request.instanceId() < instanceId
        || (request.instanceId() == instanceId && request.sequenceNumber() <= sequenceNumber)) {
      return false;
    }
    // A restarted member keeps to the minimum share for the hold time, so its use stays
    // within the grants of its earlier start.
    instanceId = request.instanceId();
    sequenceNumber = request.sequenceNumber();
    if (request.term() == term) {
      requestedAfterNanos = Math.max(requestedAfterNanos, request.echoedNanos());
      grants.removeIf(grant -> grant.number < request.grantNumber());
      grants.forEach(grant -> grant.inForce |= grant.number == request.grantNumber());
    }
    return true;
  }

  boolean hasMaxOutstanding() {
    return grants.size() >= MAX_OUTSTANDING;
  }

  /** Records a grant that is sent to the member now. */
  void add(long number, long raisedUntilNanos, double[] amounts) {
    // A member that has just started and has applied no grant confirms nothing: the
    // requests of its previous start bound the age of its request.
    long loweredUntilNanos =
        requestedAfterNanos == Long.MIN_VALUE
            ? Long.MIN_VALUE
            : requestedAfterNanos + timings.shortestNanos(timings.holdNanos());
    grants.add(new Grant(number, raisedUntilNanos, loweredUntilNanos, amounts));
  }

  /**
   * Removes the grants that cannot be in force. A confirmed grant stays until a later one is
   * confirmed, because it shows that the member uses this grant or a later one.
   */
  void removeExpired(long nowNanos) {
    grants.removeIf(
        grant ->
            !grant.inForce
                && nowNanos > grant.raisedUntilNanos
                && nowNanos > grant.raisedUntilNanos + timings.longestNanos(timings.holdNanos()));
  }

  /** Returns the most of a resource that this member may be using at the given time. */
  double maxUse(int resource, long atNanos) {
    double maxAmount = 0;
    boolean confirmed = false;
    for (Grant grant : grants) {
      double amount = grant.amounts[resource];
      if (amount >= usualShares[resource]) {
        maxAmount =
            Math.max(maxAmount, atNanos <= grant.raisedUntilNanos ? amount : usualShares[resource]);
        confirmed |= grant.inForce;
      } else if (grant.inForce && atNanos >= grant.loweredUntilNanos) {
        maxAmount = Math.max(maxAmount, usualShares[resource]);
        confirmed = true;
      } else {
        // If this grant was lost, the previous one is in force, which is counted
        // separately.
        maxAmount = Math.max(maxAmount, amount);
        confirmed |= grant.inForce;
      }
    }
    return confirmed ? maxAmount : Math.max(maxAmount, usualShares[resource]);
  }

  /**
   * Returns the least amount that this member is counted with until {@code endNanos}; a grant of
   * that amount takes nothing from the other members.
   */
  double minCountedUse(int resource, long nowNanos, long endNanos) {
    double minAmount = maxUse(resource, nowNanos);
    for (Grant grant : grants) {
      for (long atNanos : new long[] {grant.raisedUntilNanos + 1, grant.loweredUntilNanos}) {
        if (atNanos > nowNanos && atNanos <= endNanos) {
          minAmount = Math.min(minAmount, maxUse(resource, atNanos));
        }
      }
    }
    return minAmount;
  }

  /**
   * Returns the times until {@code endNanos} at which a share of this member below the usual one
   * may expire.
   */
  long[] loweredShareExpiries(long nowNanos, long endNanos) {
    return grants.stream()
        .mapToLong(grant -> grant.loweredUntilNanos)
        .filter(atNanos -> atNanos > nowNanos && atNanos <= endNanos)
        .toArray();
  }

  /** Returns the grants that may be in force, for the next leader. */
  Stream<OutstandingGrant> outstanding(int member, long nowNanos) {
    return grants.stream()
        .map(
            grant ->
                new OutstandingGrant(
                    member,
                    instanceId,
                    sequenceNumber,
                    grant.number,
                    grant.amounts.clone(),
                    Math.max(0, grant.raisedUntilNanos - nowNanos),
                    grant.loweredUntilNanos == Long.MIN_VALUE
                        ? 0
                        : Math.max(0, grant.loweredUntilNanos - nowNanos),
                    grant.inForce));
  }
}
