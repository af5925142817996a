package org.amberpath.planning;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A member's side of quotas: its requests, the grant in force, and how much of each resource it may
 * use now. A share above the usual one ends with the time of its grant. A share below the usual one
 * is kept for the longer hold time, and then rises to the usual one over a ramp. Without a leader
 * the member thus returns to its usual share, which a gateway uses when it is on its own.
 *
 * <p>Bounds: the times of the last {@value #MAX_REMEMBERED_REQUESTS} requests are stored; a grant
 * for an older request is rejected.
 */
public final class QuotaHolder {
  private static final int MAX_REMEMBERED_REQUESTS = 32;

  /** The result of {@link #apply}. */
  public enum GrantResult {
    /** The grant is in force. */
    APPLIED,
    /** A grant of a higher term is in force. */
    OLD_TERM,
    /** This grant or a later one of the same term is in force. */
    OLD_NUMBER,
    /** A grant for the same request or a later one is in force. */
    OLD_REQUEST,
    /** The grant answers none of the stored requests. */
    UNKNOWN_REQUEST,
    /** The grant is for another member or another start, or has another number of resources. */
    WRONG_RECIPIENT,
    /** The time of the grant had elapsed when it arrived. */
    EXPIRED
  }

  /** The grant in force, whose time counts from when it was requested. */
  private record AppliedGrant(
      long term, long number, long requestNumber, long grantedAtNanos, long requestedAtNanos) {
    static final AppliedGrant NONE = new AppliedGrant(0, 0, 0, Long.MIN_VALUE, 0);
  }

  private final QuotaTimings timings;
  private final int member;
  private final long instanceId;
  private final long startedAtNanos;
  private final double[] usualShares;
  private final Map<Long, Long> requestedAtNanos =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_REMEMBERED_REQUESTS;
        }
      };
  private long lastRequest;
  private AppliedGrant appliedGrant = AppliedGrant.NONE;

  /** The shares of the grant in force; null before the first. */
  private double[] amounts;

  /**
   * Creates a member that has just started. It keeps to the minimum share until it is granted more,
   * or until no leader can still rely on a low share that the member may have confirmed before the
   * start.
   *
   * @param instanceId identifies this start of the member; grows from start to start
   * @param usualShares the usual share of each resource
   */
  public QuotaHolder(
      QuotaTimings timings, int member, long instanceId, double[] usualShares, long nowNanos) {
    this.timings = timings;
    this.member = member;
    this.instanceId = instanceId;
    this.usualShares = usualShares.clone();
    startedAtNanos = nowNanos;
  }

  /** Creates the next request; the time of its grant counts from now. */
  public QuotaRequest nextRequest(long nowNanos, double[] wanted) {
    lastRequest++;
    requestedAtNanos.put(lastRequest, nowNanos);
    return new QuotaRequest(
        member,
        instanceId,
        lastRequest,
        appliedGrant.term,
        appliedGrant.number,
        appliedGrant.grantedAtNanos,
        wanted.clone());
  }

  /** Applies a grant, unless it is for another member or start, outdated, or expired. */
  public GrantResult apply(long nowNanos, QuotaGrant grant) {
    if (grant.member() != member
        || grant.instanceId() != instanceId
        || grant.amounts().length != usualShares.length) {
      return GrantResult.WRONG_RECIPIENT;
    }
    if (grant.term() < appliedGrant.term) {
      return GrantResult.OLD_TERM;
    }
    if (grant.term() == appliedGrant.term && grant.number() <= appliedGrant.number) {
      return GrantResult.OLD_NUMBER;
    }
    // A confirmed lower share must not end sooner, which it would if its time counted from
    // an older request.
    if (grant.requestNumber() <= appliedGrant.requestNumber) {
      return GrantResult.OLD_REQUEST;
    }
    Long grantRequestedAtNanos = requestedAtNanos.get(grant.requestNumber());
    if (grantRequestedAtNanos == null) {
      return GrantResult.UNKNOWN_REQUEST;
    }
    if (nowNanos - grantRequestedAtNanos >= timings.grantNanos()) {
      return GrantResult.EXPIRED;
    }
    appliedGrant =
        new AppliedGrant(
            grant.term(),
            grant.number(),
            grant.requestNumber(),
            grant.grantedAtNanos(),
            grantRequestedAtNanos);
    amounts = grant.amounts().clone();
    raiseToMinimum();
    return GrantResult.APPLIED;
  }

  /**
   * Raises the granted amounts to the minimum share. Guards against a faulty leader that grants
   * less than that, or NaN.
   */
  private void raiseToMinimum() {
    for (int resource = 0; resource < amounts.length; resource++) {
      double minimum = usualShares[resource] * timings.minimumFraction();
      amounts[resource] = amounts[resource] >= minimum ? amounts[resource] : minimum;
    }
  }

  /** Returns how much of a resource may be used at the given time, which is now or later. */
  public double share(int resource, long nowNanos) {
    double usualShare = usualShares[resource];
    if (amounts == null) {
      return ramp(usualShare * timings.minimumFraction(), usualShare, nowNanos - startedAtNanos);
    }
    double grantedShare = amounts[resource];
    if (grantedShare >= usualShare) {
      return isGranted(nowNanos) ? grantedShare : usualShare;
    }
    return ramp(grantedShare, usualShare, nowNanos - appliedGrant.requestedAtNanos);
  }

  /**
   * Returns the share at a point of the ramp from a lower share to the usual one. The ramp begins
   * after the hold time, when no leader can rely on the lower share, and takes the time of a grant.
   */
  private double ramp(double loweredShare, double usualShare, long ageNanos) {
    double progress = (double) (ageNanos - timings.holdNanos()) / timings.grantNanos();
    return loweredShare + (usualShare - loweredShare) * Math.max(0, Math.min(1, progress));
  }

  /** Whether a grant is in force whose time has not elapsed. */
  public boolean isGranted(long nowNanos) {
    return amounts != null && nowNanos - appliedGrant.requestedAtNanos < timings.grantNanos();
  }

  /** The term of the last grant applied; 0 for none. */
  public long term() {
    return appliedGrant.term;
  }
}
