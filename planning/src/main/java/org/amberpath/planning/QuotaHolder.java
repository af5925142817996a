package org.amberpath.planning;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * * A forwarder's shares: what it asks for, which grant is in force, and how much of each resource
 * it may use now. A share above the usual part ends with its time; one below is kept to for longer,
 * and the usual part comes back over a ramp. It needs no planner to be alive: without a grant it
 * comes to the usual part, which is what a gateway alone takes.
 *
 * <p>Bounds: the last MOST asks are remembered; an answer to an older one is passed over.
 */
public final class QuotaHolder {
  private static final int MOST = 32;

  /** Why a grant was not taken. */
  public enum GrantResult {
    APPLIED,
    OLD_TERM,
    OLD_NUMBER,
    OLD_REQUEST,
    UNKNOWN_REQUEST,
    WRONG_RECIPIENT,
    EXPIRED
  }

  private final QuotaTimings rules;
  private final int member;
  private final long run, startedAt;
  private final double[] usual;
  private final Map<Long, Long> asked =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MOST;
        }
      };
  private long seq, answered, term, number, echo = Long.MIN_VALUE, since;
  private double[] amounts;

  /**
   * A forwarder that has just started, and so keeps to the thin share until it is granted more or
   * nobody can count on what it may have promised before.
   *
   * @param run grows from start to start
   */
  public QuotaHolder(QuotaTimings rules, int member, long run, double[] usual, long now) {
    this.rules = rules;
    this.member = member;
    this.run = run;
    this.usual = usual.clone();
    startedAt = now;
  }

  /** The next ask; its grant's time counts from now. */
  public QuotaRequest nextRequest(long now, double[] wanted) {
    asked.put(++seq, now);
    return new QuotaRequest(member, run, seq, term, number, echo, wanted.clone());
  }

  /**
   * Takes a grant into force, unless it is not for this start, older than what is known, or past
   * its time.
   */
  public GrantResult apply(long now, QuotaGrant grant) {
    if (grant.member() != member
        || grant.instanceId() != run
        || grant.amounts().length != usual.length) {
      return GrantResult.WRONG_RECIPIENT;
    }
    if (grant.term() < term) {
      return GrantResult.OLD_TERM;
    }
    if (grant.term() == term && grant.number() <= number) {
      return GrantResult.OLD_NUMBER;
    }
    // Guards a promise to keep to less against an answer that came the long way round: its time
    // would end sooner.
    if (grant.requestNumber() <= answered) {
      return GrantResult.OLD_REQUEST;
    }
    Long from = asked.get(grant.requestNumber());
    if (from == null) {
      return GrantResult.UNKNOWN_REQUEST;
    }
    if (now - from >= rules.grantNanos()) {
      return GrantResult.EXPIRED;
    }
    term = grant.term();
    number = grant.number();
    echo = grant.grantedAtNanos();
    since = from;
    answered = grant.requestNumber();
    amounts = grant.amounts().clone();
    // Guards against a planner that lies: less than the thin share would starve, no figure at all
    // would break.
    for (int resource = 0; resource < amounts.length; resource++) {
      double least = usual[resource] * rules.minimumFraction();
      amounts[resource] = amounts[resource] >= least ? amounts[resource] : least;
    }
    return GrantResult.APPLIED;
  }

  /** How much of a resource may be used now. */
  public double share(int resource, long now) {
    double whole = usual[resource];
    if (amounts == null) {
      return ramp(whole * rules.minimumFraction(), whole, now - startedAt);
    }
    double amount = amounts[resource];
    if (amount >= whole) {
      return now - since < rules.grantNanos() ? amount : whole;
    }
    return ramp(amount, whole, now - since);
  }

  /**
   * From a lower share back to the usual one, over the time of a grant, once nobody can count on
   * the lower one.
   */
  private double ramp(double from, double to, long age) {
    double gone = (double) (age - rules.holdNanos()) / rules.grantNanos();
    return from + (to - from) * Math.max(0, Math.min(1, gone));
  }

  /** Whether a grant is in force whose planner may still renew it. */
  public boolean isGranted(long now) {
    return amounts != null && now - since < rules.grantNanos();
  }

  public long term() {
    return term;
  }
}
