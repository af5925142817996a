package org.amberpath.leadership;

import java.util.SplittableRandom;

/**
 * Leader election by a lease in the registry. A candidate writes the task's key by compare-and-set.
 * Its term is one above the last in the key, or above a higher term that a recipient has seen
 * (fencing), because a registry that was restored from a backup holds lower terms.
 *
 * <p>A lease lasts from when it or its renewal was requested, so that by the leader's clock it
 * expires before the registry lets another process win the key.
 */
public final class RegistryLeadership implements Leadership {
  /** The registry operations that the runtime performs for this class. */
  public interface Commands {
    /**
     * Requests a lease, and with it the task's key. Completes with {@link #campaignWon} or {@link
     * #leaseLost}.
     *
     * @param term the term to write to the key
     * @param revision the revision that the key must still have; 0 for a key that does not exist
     * @param requestedAtNanos when the campaign was requested; passed back with the result
     */
    void campaign(long term, long revision, long requestedAtNanos);

    /**
     * Renews the lease. Completes with {@link #leaseRenewed}, {@link #leaseLost} or {@link
     * #renewalUnanswered}.
     *
     * @param requestedAtNanos when the renewal was requested; passed back with the result
     */
    void keepAlive(long requestedAtNanos);

    /** Revokes the lease, which removes the key that is attached to it. */
    void resign();
  }

  /**
   * A lease expires early by the lease duration divided by this; campaigns are spread at random
   * over the same time.
   */
  private static final int MARGIN_DIVISOR = 8;

  /** A lost campaign is repeated after the lease duration divided by this. */
  private static final int CAMPAIGN_RETRY_DIVISOR = 2;

  /** A lease is renewed after the lease duration divided by this. */
  private static final int RENEWAL_DIVISOR = 3;

  /** An unanswered renewal is repeated after the lease duration divided by this. */
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

  /** When the campaign or renewal in flight, or else the last one, was requested. */
  private long requestedAtNanos;

  private boolean renewalInFlight;
  private long leaseExpiresAtNanos;
  private long settledAtNanos;
  private long nextCampaignNanos;
  private long nextRenewalNanos;

  /**
   * Creates a process that follows.
   *
   * @param seed the seed of the random delays that keep candidates from campaigning at the same
   *     time
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
   * Applies a state of the task's key that was read from the registry.
   *
   * @param observedTerm the term in the key
   * @param held whether a process holds the key
   * @param revision the revision at which the key was last written
   */
  public void keyObserved(long nowNanos, long observedTerm, boolean held, long revision) {
    boolean wasVacant = key.isVacant();
    if (!key.update(observedTerm, held, revision)) {
      return;
    }
    // The observed key may show this process's own campaign before its answer arrives.
    boolean maybeOwnCampaign = state == State.ASKING && observedTerm == campaignTerm;
    if (held && observedTerm > term && state != State.RESIGNED && !maybeOwnCampaign) {
      enter(State.FOLLOWING);
    }
    if (!held && !wasVacant) {
      // Guards against candidates that all campaign at the same time.
      nextCampaignNanos = Math.max(nextCampaignNanos, nowNanos + random.nextLong(marginNanos));
    }
    tick(nowNanos);
  }

  /**
   * Records that the registry was restored to an older state: lower terms of its key are accepted
   * again, and the next term is above all used ones.
   */
  public void registryRestored() {
    key.restored();
    // Terms may be used twice: a term reported as stopped may by now be another leader's
    // (found by the model, seed 2414).
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
      commands.campaign(campaignTerm, key.revision(), requestedAtNanos);
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

  /** Changes the state; nothing else assigns it. */
  private void enter(State next) {
    state = next;
  }

  private boolean hasLease() {
    return state == State.WAITING || state == State.HOLDING;
  }

  /**
   * Handles a won campaign: this process holds the key under this term, unless the campaign was
   * given up. Guards against a lease that is counted from a later campaign than the one that won
   * it, which would last longer here than at the registry.
   *
   * @param requestedNanos when the campaign that was won was requested
   * @return whether this process uses the lease; if not, the caller revokes it
   */
  public boolean campaignWon(long nowNanos, long wonTerm, long requestedNanos) {
    if (!isCampaignInFlight(requestedNanos)) {
      return false;
    }
    key.acquired(wonTerm);
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
    return true;
  }

  private boolean isCampaignInFlight(long requestedNanos) {
    return state == State.ASKING && requestedNanos == requestedAtNanos;
  }

  /**
   * Handles a lost campaign: another process may lead. Does nothing if the campaign was given up.
   *
   * @param requestedNanos when the campaign that was lost was requested
   */
  public void campaignLost(long nowNanos, long requestedNanos) {
    if (isCampaignInFlight(requestedNanos)) {
      enter(State.FOLLOWING);
      renewalInFlight = false;
    }
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

  /** Handles a refused renewal: another process may lead. */
  public void leaseLost(long nowNanos) {
    if (state != State.RESIGNED) {
      enter(State.FOLLOWING);
    }
    renewalInFlight = false;
    tick(nowNanos);
  }

  /**
   * Handles a renewal of the lease by the registry.
   *
   * @param requestedNanos when the renewal was requested; the answer to an older request leaves the
   *     last request in flight
   */
  public void leaseRenewed(long nowNanos, long requestedNanos) {
    if (hasLease()) {
      renewalInFlight &= requestedNanos != requestedAtNanos;
      extendLease(requestedNanos);
      nextRenewalNanos = Math.max(nextRenewalNanos, requestedNanos + leaseNanos / RENEWAL_DIVISOR);
    }
    tick(nowNanos);
  }

  /** Handles an unanswered renewal: it is repeated until the lease expires. */
  public void renewalUnanswered(long nowNanos) {
    renewalInFlight = false;
    nextRenewalNanos = nowNanos + leaseNanos / RENEWAL_RETRY_DIVISOR;
    tick(nowNanos);
  }

  /**
   * Extends the lease, from its request, by the shortest time that it lasts at the registry with
   * the allowed clock drift, less the margin.
   */
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
      stepDown();
    }
  }

  @Override
  public void release(long nowNanos) {
    nextCampaignNanos = nowNanos + leaseNanos;
    stepDown();
  }

  private void stepDown() {
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
