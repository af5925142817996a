package org.amberpath.leadership;

import java.util.SplittableRandom;

/**
 * Who owns a task by a lease in the registry: it is held, by its own clock, for less time than the
 * registry gives it. Every term has a number, one more than the last in the registry's key, taken
 * by compare-and-set, or more where a recipient has seen a higher one: a registry that was restored
 * from a backup begins below.
 *
 * <p>An owner believes in its lease from when it asked for it, so its belief ends before the
 * registry lets the next one win. One that stood still believes nothing when it wakes, since belief
 * is looked at when it acts; and what it sent before is passed over for its term or its time.
 */
public final class RegistryLeadership implements Leadership {
  /** What a live half carries out at the registry. */
  public interface Commands {
    /**
     * Takes a lease, and with it the key, if that was last written at changed: 0 where there is
     * none.
     */
    void campaign(long term, long changed);

    /** Says that it lives; the time goes back with the answer. */
    void keepAlive(long askedAt);

    /** Lets the key go, nothing more being done. */
    void resign();
  }

  private final LeaseTimings rules;
  private final Commands orders;
  private final SplittableRandom chance;
  private final long leaseTime, margin;
  private State state = State.FOLLOWING;
  private long term, seenTerm, seenChanged, askedAt, believedUntil, waitUntil, nextTry, nextKeep;
  private long outranked, before, askedTerm, handed;
  private boolean vacant, keeping;

  /**
   * One that follows. The lease's time is for how long the registry keeps the key without a sign of
   * life.
   */
  public RegistryLeadership(LeaseTimings rules, Commands orders, long seed) {
    this.rules = rules;
    this.orders = orders;
    leaseTime = rules.leaseNanos();
    margin = leaseTime / 8;
    chance = new SplittableRandom(seed);
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
   * What the registry's key says: the last term taken, whether somebody holds it, and the revision
   * it was written at.
   */
  public void keyObserved(long now, long ofTerm, boolean held, long changed) {
    if (ofTerm < seenTerm) {
      return;
    }
    before = ofTerm > seenTerm ? seenTerm : before;
    seenTerm = ofTerm;
    seenChanged = changed;
    // Guards against a try that is given up when the key's news comes before the answer: it may be
    // this one's own.
    boolean maybeOwn = state == State.ASKING && ofTerm == askedTerm;
    if (held && ofTerm > term && state != State.RESIGNED && !maybeOwn) {
      state = State.FOLLOWING;
    }
    if (!held && !vacant) {
      // Guards against candidates that all try in the same moment.
      nextTry = Math.max(nextTry, now + chance.nextLong(margin));
    }
    vacant = !held;
    tick(now);
  }

  /**
   * The registry is another one, or an older state of it: what it says counts anew, and terms go on
   * above.
   */
  public void registryRestored() {
    outranked = Math.max(outranked, seenTerm);
    seenTerm = 0;
    handed =
        0; // Terms come again: word that one had stopped is of another owner (model, seed 2414).
  }

  @Override
  public void tick(long now) {
    if ((state == State.HOLDING || state == State.WAITING) && now >= believedUntil) {
      state = State.FOLLOWING;
      keeping = false;
    }
    if (state == State.ASKING && now - askedAt >= leaseTime) {
      state = State.FOLLOWING;
    }
    if (state == State.FOLLOWING && vacant && now >= nextTry) {
      state = State.ASKING;
      askedAt = now;
      nextTry = now + leaseTime / 2 + chance.nextLong(margin);
      askedTerm = Math.max(seenTerm, outranked) + 1;
      orders.campaign(askedTerm, seenChanged);
    } else if (state == State.HOLDING || state == State.WAITING) {
      if (state == State.WAITING && now >= waitUntil) {
        state = State.HOLDING;
      }
      if (!keeping && now >= nextKeep) {
        keeping = true;
        askedAt = now;
        orders.keepAlive(askedAt);
      }
    }
  }

  /**
   * A try went well: the key is this one's, under this term. What older owners began runs out
   * before it acts.
   */
  public void campaignWon(long now, long asTerm) {
    if (state != State.ASKING) {
      return;
    }
    before = asTerm == seenTerm ? before : seenTerm;
    term = seenTerm = asTerm;
    vacant = false;
    state = State.WAITING;
    believedUntil = 0;
    believe(askedAt);
    waitUntil =
        now + (handed > 0 && handed == before ? 0 : rules.longestNanos(rules.settleNanos()));
    nextKeep = askedAt + leaseTime / 3;
    tick(now);
  }

  /**
   * The owner before this one has stopped, and told all that it did: there is nothing to wait for.
   */
  @Override
  public void predecessorStopped(long now, long ofTerm) {
    handed = Math.max(handed, ofTerm);
    if (state == State.WAITING && ofTerm == before) {
      waitUntil = Math.min(waitUntil, now);
      tick(now);
    }
  }

  /** A try came too late, or a sign of life was refused: another may lead. */
  public void leaseLost(long now) {
    if (state != State.RESIGNED) {
      state = State.FOLLOWING;
    }
    keeping = false;
    tick(now);
  }

  /**
   * A sign of life was taken, that was given at a time: guards against late word of an older one.
   */
  public void leaseRenewed(long now, long asked) {
    if (state == State.HOLDING || state == State.WAITING) {
      keeping &= asked != askedAt;
      believe(asked);
      nextKeep = Math.max(nextKeep, asked + leaseTime / 3);
    }
    tick(now);
  }

  /** A sign of life was not heard of: the next try is made while there is time. */
  public void renewalUnanswered(long now) {
    keeping = false;
    nextKeep = now + leaseTime / 16;
    tick(now);
  }

  /** From when it asked, by the slowest that its clock may go against the registry's. */
  private void believe(long asked) {
    believedUntil = Math.max(believedUntil, asked + rules.shortestNanos(leaseTime) - margin);
  }

  @Override
  public boolean isLeader(long now) {
    return state == State.HOLDING && now < believedUntil;
  }

  @Override
  public long leaseExpiresAtNanos() {
    return believedUntil;
  }

  /**
   * Guards against a registry from a backup, whose terms begin below those that were acted under.
   */
  @Override
  public void higherTermSeen(long now, long seen) {
    outranked = Math.max(outranked, seen);
    if (state != State.RESIGNED && term < seen) {
      boolean held = state == State.HOLDING || state == State.WAITING;
      state = State.FOLLOWING;
      keeping = false;
      if (held) {
        orders.resign();
      }
    }
  }

  @Override
  public void release(long now) {
    boolean held = state == State.HOLDING || state == State.WAITING;
    state = state == State.RESIGNED ? state : State.FOLLOWING;
    keeping = false;
    nextTry = now + leaseTime;
    if (held) {
      orders.resign();
    }
  }

  @Override
  public void resign(long now) {
    boolean held = (state == State.HOLDING || state == State.WAITING) && now < believedUntil;
    state = State.RESIGNED;
    if (held) {
      orders.resign();
    }
  }

  @Override
  public long nextTickNanos() {
    return switch (state) {
      case FOLLOWING -> vacant ? nextTry : Long.MAX_VALUE;
      case ASKING -> askedAt + leaseTime;
      case WAITING ->
          Math.min(Math.min(waitUntil, believedUntil), keeping ? Long.MAX_VALUE : nextKeep);
      case HOLDING -> Math.min(believedUntil, keeping ? Long.MAX_VALUE : nextKeep);
      default -> Long.MAX_VALUE;
    };
  }
}
