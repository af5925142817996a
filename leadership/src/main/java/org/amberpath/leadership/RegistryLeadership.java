package org.amberpath.leadership;

import java.util.SplittableRandom;

/**
 * Leadership of a task by a lease in the registry. Each term is one above the last in the task's
 * key, which is taken by compare-and-set, or more where a recipient has seen a higher one
 * (fencing): a registry that was restored from a backup has lower terms.
 *
 * <p>A lease counts from when it was requested, and each lease renewal likewise, so by the leader's
 * clock it ends before the registry lets another process win the key.
 */
public final class RegistryLeadership implements Leadership {
  /** What the runtime does at the registry on behalf of this class. */
  public interface Commands {
    /**
     * Takes a lease, and with it the task's key. Ends in {@link #campaignWon} or {@link
     * #leaseLost}.
     *
     * @param term to be written to the key
     * @param revision at which the key must still be; 0 for a key that does not exist
     */
    void campaign(long term, long revision);

    /**
     * Renews the lease. Ends in {@link #leaseRenewed}, {@link #leaseLost} or {@link
     * #renewalUnanswered}.
     *
     * @param requestedAtNanos comes back with the result
     */
    void keepAlive(long requestedAtNanos);

    /** Gives the lease up, and the key with it. */
    void resign();
  }

  /** A lease ends this part of it before its time, and elections are spread over as much. */
  private static final int MARGIN_DIVISOR = 8;

  /** A lost election is repeated after this part of a lease. */
  private static final int CAMPAIGN_RETRY_DIVISOR = 2;

  /** A lease is renewed after this part of it. */
  private static final int RENEWAL_DIVISOR = 3;

  /** An unanswered renewal is repeated after this part of a lease. */
  private static final int RENEWAL_RETRY_DIVISOR = 16;

  private final LeaseTimings timings;
  private final Commands commands;
  private final SplittableRandom random;
  private final long leaseNanos;
  private final long marginNanos;
  private final ObservedKey key = new ObservedKey();
  private State state = State.FOLLOWING;
  private long term;
  private long campaignTerm;
  private long highestStoppedTerm;

  /** When the campaign or renewal that is in flight, or was last, was requested. */
  private long requestedAtNanos;

  private boolean renewalInFlight;
  private long leaseExpiresAtNanos;
  private long settledAtNanos;
  private long nextCampaignNanos;
  private long nextRenewalNanos;

  /**
   * A process that follows.
   *
   * @param seed of the random delays that keep candidates apart
   */
  public RegistryLeadership(LeaseTimings timings, Commands commands, long seed) {
    this.timings = timings;
    this.commands = commands;
    leaseNanos = timings.leaseNanos();
    marginNanos = leaseNanos / MARGIN_DIVISOR;
    random = new SplittableRandom(seed);
  }

  @Override
  public State state() {
    return state;
  }

  @Override
  public long term() {
    return term;
  }

  /**
   * The task's key was read.
   *
   * @param observedTerm the last term taken
   * @param held whether a process holds the key
   * @param revision at which it was last written
   */
  public void keyObserved(long nowNanos, long observedTerm, boolean held, long revision) {
    boolean wasVacant = key.isVacant();
    if (!key.update(observedTerm, held, revision)) {
      return;
    }
    // The watch may report this process's own campaign before its answer arrives.
    boolean maybeOwn = state == State.ASKING && observedTerm == campaignTerm;
    if (held && observedTerm > term && state != State.RESIGNED && !maybeOwn) {
      enter(State.FOLLOWING);
    }
    if (!held && !wasVacant) {
      // Guards against candidates that all campaign in the same moment.
      nextCampaignNanos = Math.max(nextCampaignNanos, nowNanos + random.nextLong(marginNanos));
    }
    tick(nowNanos);
  }

  /** The registry went back to an older state: its key counts anew, and terms go on above. */
  public void registryRestored() {
    key.restored();
    // Terms are taken again: one that was reported as stopped may be another's (model, seed 2414).
    highestStoppedTerm = 0;
  }

  @Override
  public void tick(long nowNanos) {
    if (hasLease() && nowNanos >= leaseExpiresAtNanos) {
      enter(State.FOLLOWING);
      renewalInFlight = false;
    }
    if (state == State.ASKING && nowNanos - requestedAtNanos >= leaseNanos) {
      enter(State.FOLLOWING);
    }
    if (state == State.FOLLOWING && key.isVacant() && nowNanos >= nextCampaignNanos) {
      enter(State.ASKING);
      requestedAtNanos = nowNanos;
      nextCampaignNanos =
          nowNanos + leaseNanos / CAMPAIGN_RETRY_DIVISOR + random.nextLong(marginNanos);
      campaignTerm = key.nextTerm();
      commands.campaign(campaignTerm, key.revision());
    } else if (hasLease()) {
      if (state == State.WAITING && nowNanos >= settledAtNanos) {
        enter(State.HOLDING);
      }
      if (!renewalInFlight && nowNanos >= nextRenewalNanos) {
        renewalInFlight = true;
        requestedAtNanos = nowNanos;
        commands.keepAlive(requestedAtNanos);
      }
    }
  }

  /** The one place where the state changes. */
  private void enter(State next) {
    state = next;
  }

  private boolean hasLease() {
    return state == State.WAITING || state == State.HOLDING;
  }

  /** A campaign was won: the key is this process's under this term. */
  public void campaignWon(long nowNanos, long wonTerm) {
    if (state != State.ASKING) {
      return;
    }
    key.taken(wonTerm);
    term = wonTerm;
    enter(State.WAITING);
    leaseExpiresAtNanos = 0;
    extendLease(requestedAtNanos);
    boolean predecessorHasStopped =
        highestStoppedTerm > 0 && highestStoppedTerm == key.previousTerm();
    settledAtNanos =
        nowNanos + (predecessorHasStopped ? 0 : timings.longestNanos(timings.settleNanos()));
    nextRenewalNanos = requestedAtNanos + leaseNanos / RENEWAL_DIVISOR;
    tick(nowNanos);
  }

  @Override
  public void predecessorStopped(long nowNanos, long stoppedTerm) {
    highestStoppedTerm = Math.max(highestStoppedTerm, stoppedTerm);
    if (state == State.WAITING && stoppedTerm == key.previousTerm()) {
      settledAtNanos = Math.min(settledAtNanos, nowNanos);
      tick(nowNanos);
    }
  }

  /** A campaign was lost, or a renewal refused: another process may lead. */
  public void leaseLost(long nowNanos) {
    if (state != State.RESIGNED) {
      enter(State.FOLLOWING);
    }
    renewalInFlight = false;
    tick(nowNanos);
  }

  /**
   * The registry has renewed the lease.
   *
   * @param requestedNanos when that was requested; an answer to an older request than the last
   *     leaves the last in flight
   */
  public void leaseRenewed(long nowNanos, long requestedNanos) {
    if (hasLease()) {
      renewalInFlight &= requestedNanos != requestedAtNanos;
      extendLease(requestedNanos);
      nextRenewalNanos = Math.max(nextRenewalNanos, requestedNanos + leaseNanos / RENEWAL_DIVISOR);
    }
    tick(nowNanos);
  }

  /** A renewal got no answer: it is repeated while there is time. */
  public void renewalUnanswered(long nowNanos) {
    renewalInFlight = false;
    nextRenewalNanos = nowNanos + leaseNanos / RENEWAL_RETRY_DIVISOR;
    tick(nowNanos);
  }

  /** Counts a lease from its request, with the slowest registry clock that the drift allows. */
  private void extendLease(long requestedNanos) {
    leaseExpiresAtNanos =
        Math.max(
            leaseExpiresAtNanos, requestedNanos + timings.shortestNanos(leaseNanos) - marginNanos);
  }

  @Override
  public boolean isLeader(long nowNanos) {
    return state == State.HOLDING && nowNanos < leaseExpiresAtNanos;
  }

  @Override
  public long leaseExpiresAtNanos() {
    return leaseExpiresAtNanos;
  }

  @Override
  public void higherTermSeen(long nowNanos, long seenTerm) {
    key.termUsed(seenTerm);
    if (state != State.RESIGNED && term < seenTerm) {
      standDown();
    }
  }

  @Override
  public void release(long nowNanos) {
    nextCampaignNanos = nowNanos + leaseNanos;
    standDown();
  }

  private void standDown() {
    boolean hadLease = hasLease();
    if (state != State.RESIGNED) {
      enter(State.FOLLOWING);
    }
    renewalInFlight = false;
    if (hadLease) {
      commands.resign();
    }
  }

  @Override
  public void resign(long nowNanos) {
    boolean hadLease = hasLease() && nowNanos < leaseExpiresAtNanos;
    enter(State.RESIGNED);
    if (hadLease) {
      commands.resign();
    }
  }

  @Override
  public long nextTickNanos() {
    long renewalNanos = renewalInFlight ? Long.MAX_VALUE : nextRenewalNanos;
    return switch (state) {
      case FOLLOWING -> key.isVacant() ? nextCampaignNanos : Long.MAX_VALUE;
      case ASKING -> requestedAtNanos + leaseNanos;
      case WAITING -> Math.min(Math.min(settledAtNanos, leaseExpiresAtNanos), renewalNanos);
      case HOLDING -> Math.min(leaseExpiresAtNanos, renewalNanos);
      case RESIGNED -> Long.MAX_VALUE;
    };
  }
}
