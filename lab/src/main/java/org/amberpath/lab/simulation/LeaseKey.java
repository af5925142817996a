package org.amberpath.lab.simulation;

import java.util.List;
import java.util.function.BiConsumer;

/**
 * A key of a simulated registry that at most one process holds at a time, under a lease. Each
 * watcher is notified of each change after at most {@value #MAX_NOTIFY_NANOS} ns.
 *
 * @param <P> the type of the processes that watch the key
 */
public final class LeaseKey<P extends SimulatedProcess> {
  /**
   * The state of the key that a watcher observes.
   *
   * @param term the last term under which the key was held
   * @param held whether the key is held now
   * @param modRevision the revision of the key, one higher after each change of its holder
   */
  public record KeyState(long term, boolean held, long modRevision) {}

  /** The terms under which a candidate may acquire the key. */
  public enum TermRule {
    /** Only the term after the last one. */
    NEXT,

    /** Any term higher than the last one. */
    ANY_HIGHER
  }

  private static final int NO_HOLDER = -1;
  private static final long MIN_NOTIFY_NANOS = Simulation.NANOS_PER_MILLI;
  private static final long MAX_NOTIFY_NANOS = 50 * Simulation.NANOS_PER_MILLI;

  private final Simulation simulation;
  private final long leaseNanos;
  private final TermRule termRule;
  private final List<P> watchers;
  private final BiConsumer<P, KeyState> listener;
  private int holder = NO_HOLDER;
  private long term;
  private long modRevision;
  private long expiresAtNanos;

  /**
   * Creates a key that has never been held.
   *
   * @param leaseNanos the duration of a lease, in nanoseconds
   * @param watchers the processes that are notified of changes; the live list, so processes that
   *     are added later are notified too
   * @param listener called for each watcher with each change
   */
  public LeaseKey(
      Simulation simulation,
      long leaseNanos,
      TermRule termRule,
      List<P> watchers,
      BiConsumer<P, KeyState> listener) {
    this.simulation = simulation;
    this.leaseNanos = leaseNanos;
    this.termRule = termRule;
    this.watchers = watchers;
    this.listener = listener;
  }

  /** Returns the present state of the key. */
  public KeyState observe() {
    return new KeyState(term, holder != NO_HOLDER, modRevision);
  }

  /** Returns the duration of a lease, in nanoseconds. */
  long leaseNanos() {
    return leaseNanos;
  }

  /**
   * Gives the key to a candidate if the key is free, its revision is still the one that the
   * candidate observed, and the term rule admits the term.
   *
   * @return whether the candidate now holds the key
   */
  boolean tryAcquire(int candidate, long candidateTerm, long observedModRevision) {
    boolean termAllowed =
        termRule == TermRule.NEXT ? candidateTerm == term + 1 : candidateTerm > term;
    if (holder != NO_HOLDER || modRevision != observedModRevision || !termAllowed) {
      return false;
    }
    holder = candidate;
    term = candidateTerm;
    modRevision++;
    extend();
    notifyWatchers();
    return true;
  }

  /**
   * Extends the lease if this candidate holds the key under this term.
   *
   * @return whether the lease was extended
   */
  boolean tryExtend(int candidate, long heldTerm) {
    boolean held = holder == candidate && term == heldTerm;
    if (held) {
      extend();
    }
    return held;
  }

  /** Releases the key if this candidate holds it under this term. */
  void release(int candidate, long heldTerm) {
    if (holder == candidate && term == heldTerm) {
      clearHolder();
    }
  }

  /**
   * Restores the key from a backup that lacks the last {@code lostTerms} terms: nobody holds the
   * key afterwards, and no watcher is notified.
   */
  public void restoreFromBackup(long lostTerms) {
    holder = NO_HOLDER;
    term = Math.max(0, term - lostTerms);
    modRevision++;
    expiresAtNanos = 0;
  }

  private void clearHolder() {
    holder = NO_HOLDER;
    modRevision++;
    notifyWatchers();
  }

  private void extend() {
    expiresAtNanos = simulation.nowNanos() + leaseNanos;
    long extendedRevision = modRevision;
    simulation.scheduler().schedule(expiresAtNanos, () -> expire(extendedRevision));
  }

  private void expire(long extendedRevision) {
    if (holder != NO_HOLDER
        && modRevision == extendedRevision
        && simulation.nowNanos() >= expiresAtNanos) {
      clearHolder();
    }
  }

  /**
   * Notifies all watchers of the present state of the key, each after a random delay of its own.
   */
  public void notifyWatchers() {
    KeyState observed = observe();
    watchers.forEach(
        watcher ->
            watcher.scheduleAfter(
                simulation.random().nextLong(MIN_NOTIFY_NANOS, MAX_NOTIFY_NANOS),
                () -> listener.accept(watcher, observed)));
  }
}
