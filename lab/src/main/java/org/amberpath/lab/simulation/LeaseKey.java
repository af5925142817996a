package org.amberpath.lab.simulation;

import java.util.List;
import java.util.function.BiConsumer;

/**
 * A key of a simulated registry that one process at a time holds by a lease. All processes that
 * watch it observe each change within {@value #MAX_NOTIFY_NANOS} ns.
 *
 * @param <P> the processes that watch it
 */
public final class LeaseKey<P extends SimulatedProcess> {
  /** What a watcher observes: the last term, whether the key is held, and its revision. */
  public record Observed(long term, boolean held, long modRevision) {}

  /** Which terms a candidate may take. */
  public enum TermRule {
    /** The one after the last. */
    NEXT,

    /** Any above the last. */
    ANY_HIGHER
  }

  private static final int NOBODY = -1;
  private static final long MIN_NOTIFY_NANOS = Simulation.NANOS_PER_MILLI;
  private static final long MAX_NOTIFY_NANOS = 50 * Simulation.NANOS_PER_MILLI;

  private final Simulation simulation;
  private final long leaseNanos;
  private final TermRule termRule;
  private final List<P> watchers;
  private final BiConsumer<P, Observed> listener;
  private int holder = NOBODY;
  private long term;
  private long modRevision;
  private long expiresAtNanos;

  /**
   * A key that nobody has held.
   *
   * @param watchers the processes that are notified, those that are added later too
   * @param listener runs at each watcher with each change
   */
  public LeaseKey(
      Simulation simulation,
      long leaseNanos,
      TermRule termRule,
      List<P> watchers,
      BiConsumer<P, Observed> listener) {
    this.simulation = simulation;
    this.leaseNanos = leaseNanos;
    this.termRule = termRule;
    this.watchers = watchers;
    this.listener = listener;
  }

  /** The key as it is now. */
  public Observed observe() {
    return new Observed(term, holder != NOBODY, modRevision);
  }

  /** The length of a lease. */
  long leaseNanos() {
    return leaseNanos;
  }

  /** Gives the key to a candidate, if nobody holds it and nothing has changed since it looked. */
  boolean tryAcquire(int candidate, long candidateTerm, long seenModRevision) {
    boolean termAllowed =
        termRule == TermRule.NEXT ? candidateTerm == term + 1 : candidateTerm > term;
    if (holder != NOBODY || modRevision != seenModRevision || !termAllowed) {
      return false;
    }
    holder = candidate;
    term = candidateTerm;
    modRevision++;
    extend();
    notifyWatchers();
    return true;
  }

  /** Extends the lease, if this candidate holds the key under this term. */
  boolean tryExtend(int candidate, long ofTerm) {
    boolean held = holder == candidate && term == ofTerm;
    if (held) {
      extend();
    }
    return held;
  }

  /** Frees the key, if this candidate holds it under this term. */
  void release(int candidate, long ofTerm) {
    if (holder == candidate && term == ofTerm) {
      free();
    }
  }

  /** Sets the key back to a backup that is older by so many terms; notifies nobody. */
  public void restoreFromBackup(long lostTerms) {
    holder = NOBODY;
    term = Math.max(0, term - lostTerms);
    modRevision++;
    expiresAtNanos = 0;
  }

  private void free() {
    holder = NOBODY;
    modRevision++;
    notifyWatchers();
  }

  private void extend() {
    expiresAtNanos = simulation.nowNanos() + leaseNanos;
    long extendedRevision = modRevision;
    simulation.scheduler().schedule(expiresAtNanos, () -> expire(extendedRevision));
  }

  private void expire(long extendedRevision) {
    if (holder != NOBODY
        && modRevision == extendedRevision
        && simulation.nowNanos() >= expiresAtNanos) {
      free();
    }
  }

  /** Has all watchers observe the key as it is now, each in its own time. */
  public void notifyWatchers() {
    Observed observed = observe();
    watchers.forEach(
        watcher ->
            watcher.scheduleAfter(
                simulation.random().nextLong(MIN_NOTIFY_NANOS, MAX_NOTIFY_NANOS),
                () -> listener.accept(watcher, observed)));
  }
}
