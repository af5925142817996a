package org.amberpath.planning;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.stream.Stream;
import org.amberpath.planning.QuotaLedger.OutstandingGrant;

/** What a ledger knows of one member: its last request, and the grants that may be in force. */
final class MemberGrants {
  /** Past so many outstanding grants, nothing is granted until the member confirms one. */
  private static final int MAX_OUTSTANDING = 16;

  /**
   * A grant. A share above the usual one may be used until {@code raisedUntilNanos}; one below is
   * kept to, once confirmed, until {@code loweredUntilNanos} at the least.
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
  private final double[] usual;
  private final Deque<Grant> grants = new ArrayDeque<>();
  private long instanceId = Long.MIN_VALUE;
  private long sequenceNumber = Long.MIN_VALUE;

  /** Every request from now on was made after this time of the leader's clock. */
  private long requestedAfterNanos = Long.MIN_VALUE;

  MemberGrants(QuotaTimings timings, double[] usual) {
    this.timings = timings;
    this.usual = usual;
  }

  /** Takes over a grant of the term before; see {@link QuotaLedger.Handover}. */
  void takeOver(OutstandingGrant outstanding, QuotaLedger.Handover handover) {
    instanceId = Math.max(instanceId, outstanding.instanceId());
    // Numbers of the term before are below all of this one.
    Grant grant =
        new Grant(
            outstanding.number() - Long.MAX_VALUE,
            handover.receivedAtNanos() + timings.longestNanos(outstanding.raisedLeftNanos()),
            outstanding.loweredLeftNanos() == 0
                ? Long.MIN_VALUE
                : handover.requestedAtNanos()
                    + timings.shortestNanos(outstanding.loweredLeftNanos()),
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

  /** Takes what a request confirms; false where it is a duplicate or late. */
  boolean requestReceived(QuotaRequest request, long term) {
    if (request.instanceId() < instanceId
        || (request.instanceId() == instanceId && request.sequenceNumber() <= sequenceNumber)) {
      return false;
    }
    // A later start keeps to the minimum share, and no longer than to what it had before.
    instanceId = request.instanceId();
    sequenceNumber = request.sequenceNumber();
    if (request.term() == term) {
      requestedAfterNanos = Math.max(requestedAfterNanos, request.echoedNanos());
      grants.removeIf(grant -> grant.number < request.grantNumber());
      grants.forEach(grant -> grant.inForce |= grant.number == request.grantNumber());
    }
    return true;
  }

  boolean isFull() {
    return grants.size() >= MAX_OUTSTANDING;
  }

  /** Records a grant that is sent now. */
  void add(long number, long raisedUntilNanos, double[] amounts) {
    // A member that has just started, and has heard of no leader, confirms nothing: the requests of
    // the start before say how old its request is at the most.
    long loweredUntilNanos =
        requestedAfterNanos == Long.MIN_VALUE
            ? Long.MIN_VALUE
            : requestedAfterNanos + timings.shortestNanos(timings.holdNanos());
    grants.add(new Grant(number, raisedUntilNanos, loweredUntilNanos, amounts));
  }

  /** Forgets what can't be in force; a confirmed grant stays, as it tells what came after. */
  void forgetExpired(long nowNanos) {
    grants.removeIf(
        grant ->
            !grant.inForce
                && nowNanos > grant.raisedUntilNanos
                && nowNanos > grant.raisedUntilNanos + timings.longestNanos(timings.holdNanos()));
  }

  /** The most of a resource that this member may be using at a time. */
  double mostUsed(int resource, long atNanos) {
    double most = 0;
    boolean confirmed = false;
    for (Grant grant : grants) {
      double amount = grant.amounts[resource];
      if (amount >= usual[resource]) {
        most = Math.max(most, atNanos <= grant.raisedUntilNanos ? amount : usual[resource]);
        confirmed |= grant.inForce;
      } else if (grant.inForce && atNanos >= grant.loweredUntilNanos) {
        most = Math.max(most, usual[resource]);
        confirmed = true;
      } else {
        // If it was lost the grant before it is in force, which is counted by itself.
        most = Math.max(most, amount);
        confirmed |= grant.inForce;
      }
    }
    return confirmed ? most : Math.max(most, usual[resource]);
  }

  /** What this member is counted with at the least until an end: as much takes from nobody. */
  double leastCounted(int resource, long nowNanos, long endNanos) {
    double least = mostUsed(resource, nowNanos);
    for (Grant grant : grants) {
      for (long atNanos : new long[] {grant.raisedUntilNanos + 1, grant.loweredUntilNanos}) {
        if (atNanos > nowNanos && atNanos <= endNanos) {
          least = Math.min(least, mostUsed(resource, atNanos));
        }
      }
    }
    return least;
  }

  /** The times until an end at which a lower share of this member may run out. */
  long[] endsOfLoweredShares(long nowNanos, long endNanos) {
    return grants.stream()
        .mapToLong(grant -> grant.loweredUntilNanos)
        .filter(atNanos -> atNanos > nowNanos && atNanos <= endNanos)
        .toArray();
  }

  /** The grants that may be in force, for the leader that follows. */
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
