package org.amberpath.planning;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A member's side: what it requests, which grant is in force, and how much of each resource it may
 * use now. A share above the usual one ends with its time; one below is kept to for longer, and the
 * usual share returns over a ramp. Without a leader it comes back to the usual share, which a
 * gateway alone takes.
 *
 * <p>Bounds: the last {@value #MAX_REMEMBERED_REQUESTS} requests are remembered; a grant for an
 * older one is rejected.
 */
public final class QuotaHolder {
  private static final int MAX_REMEMBERED_REQUESTS = 32;

  /** What became of a grant. */
  public enum GrantResult {
    /** It is in force. */
    APPLIED,
    /** A later leader is known. */
    OLD_TERM,
    /** A later grant of this term is in force. */
    OLD_NUMBER,
    /** A grant for a later request is in force. */
    OLD_REQUEST,
    /** It answers no request that is remembered. */
    UNKNOWN_REQUEST,
    /** It is for another member or another start, or has another number of resources. */
    WRONG_RECIPIENT,
    /** Its time was over when it arrived. */
    EXPIRED
  }

  /** The grant in force; its time counts from when it was requested. */
  private record Applied(
      long term, long number, long requestNumber, long grantedAtNanos, long sinceNanos) {
    static final Applied NONE = new Applied(0, 0, 0, Long.MIN_VALUE, 0);
  }

  private final QuotaTimings timings;
  private final int member;
  private final long instanceId;
  private final long startedAtNanos;
  private final double[] usual;
  private final Map<Long, Long> requestedAtNanos =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_REMEMBERED_REQUESTS;
        }
      };
  private long lastRequest;
  private Applied applied = Applied.NONE;

  /** The shares of the grant in force; null before the first. */
  private double[] amounts;

  /**
   * A member that has just started: it keeps to the minimum share until it is granted more, or
   * nobody can count any more on what it may have confirmed before.
   *
   * @param instanceId grows from start to start
   * @param usual the usual share of each resource
   */
  public QuotaHolder(
      QuotaTimings timings, int member, long instanceId, double[] usual, long nowNanos) {
    this.timings = timings;
    this.member = member;
    this.instanceId = instanceId;
    this.usual = usual.clone();
    startedAtNanos = nowNanos;
  }

  /** The next request; the time of its grant counts from now. */
  public QuotaRequest nextRequest(long nowNanos, double[] wanted) {
    lastRequest++;
    requestedAtNanos.put(lastRequest, nowNanos);
    return new QuotaRequest(
        member,
        instanceId,
        lastRequest,
        applied.term,
        applied.number,
        applied.grantedAtNanos,
        wanted.clone());
  }

  /** Brings a grant into force, unless it is for another, older than what is known, or expired. */
  public GrantResult apply(long nowNanos, QuotaGrant grant) {
    if (grant.member() != member
        || grant.instanceId() != instanceId
        || grant.amounts().length != usual.length) {
      return GrantResult.WRONG_RECIPIENT;
    }
    if (grant.term() < applied.term) {
      return GrantResult.OLD_TERM;
    }
    if (grant.term() == applied.term && grant.number() <= applied.number) {
      return GrantResult.OLD_NUMBER;
    }
    // A confirmed lower share must not end sooner: the time of an older request would.
    if (grant.requestNumber() <= applied.requestNumber) {
      return GrantResult.OLD_REQUEST;
    }
    Long sinceNanos = requestedAtNanos.get(grant.requestNumber());
    if (sinceNanos == null) {
      return GrantResult.UNKNOWN_REQUEST;
    }
    if (nowNanos - sinceNanos >= timings.grantNanos()) {
      return GrantResult.EXPIRED;
    }
    applied =
        new Applied(
            grant.term(),
            grant.number(),
            grant.requestNumber(),
            grant.grantedAtNanos(),
            sinceNanos);
    amounts = grant.amounts().clone();
    raiseToMinimum();
    return GrantResult.APPLIED;
  }

  /** Guards against a faulty leader: less than the minimum share, or no number at all. */
  private void raiseToMinimum() {
    for (int resource = 0; resource < amounts.length; resource++) {
      double minimum = usual[resource] * timings.minimumFraction();
      amounts[resource] = amounts[resource] >= minimum ? amounts[resource] : minimum;
    }
  }

  /** How much of a resource may be used at a time, the present or a later one. */
  public double share(int resource, long nowNanos) {
    double usualShare = usual[resource];
    if (amounts == null) {
      return ramp(usualShare * timings.minimumFraction(), usualShare, nowNanos - startedAtNanos);
    }
    double granted = amounts[resource];
    if (granted >= usualShare) {
      return isGranted(nowNanos) ? granted : usualShare;
    }
    return ramp(granted, usualShare, nowNanos - applied.sinceNanos);
  }

  /**
   * From a lower share back to the usual one, over the time of a grant, once nobody can count on
   * the lower one.
   */
  private double ramp(double low, double usualShare, long ageNanos) {
    double progress = (double) (ageNanos - timings.holdNanos()) / timings.grantNanos();
    return low + (usualShare - low) * Math.max(0, Math.min(1, progress));
  }

  /** Whether a grant is in force whose leader may still renew it. */
  public boolean isGranted(long nowNanos) {
    return amounts != null && nowNanos - applied.sinceNanos < timings.grantNanos();
  }

  /** The term of the last grant applied; 0 for none. */
  public long term() {
    return applied.term;
  }
}
