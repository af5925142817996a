package amberpath.plan;

import java.util.SplittableRandom;

/**
 * * Which planner leads: the one that holds a lease in the registry, by its own clock, for less time than the
 * registry gives it. Every term has a number, one more than the last in the registry's key, taken by compare-and-
 * set.
 *
 * <p>A leader believes in its lease from when it asked for it, so its belief ends before the registry lets the
 * next one win. One that stood still believes nothing when it wakes, since belief is looked at when something is
 * granted; and what it sent before is passed over for its term or its time.
 */
public final class Leadership {
  /**
   * FOLLOWING: another leads or nobody. ASKING: a try is out. WAITING: leads, and lets older grants run out first.
   */
  public enum State { FOLLOWING, ASKING, WAITING, LEADING, RESIGNED }

  /** What a live half carries out at the registry. */
  public interface Orders {
    /** Takes a lease, and with it the key, if that was last written at changed: 0 where there is none. */
    void campaign(long term, long changed);

    void keepAlive();

    /** Lets the key go, nothing more being granted. */
    void resign();
  }

  private final LeaseRules rules;
  private final Orders orders;
  private final SplittableRandom chance;
  private final long leaseTime, margin;
  private State state = State.FOLLOWING;
  private long term, seenTerm, seenChanged, askedAt, believedUntil, waitUntil, nextTry, nextKeep;
  private boolean vacant, keeping;

  /**
   * A planner that follows.
   *
   * @param leaseTime how long the registry keeps the key without a sign of life, in nanoseconds
   */
  public Leadership(LeaseRules rules, Orders orders, long leaseTime, long seed) {
    this.rules = rules;
    this.orders = orders;
    this.leaseTime = leaseTime;
    margin = leaseTime / 8;
    chance = new SplittableRandom(seed);
  }

  public State state() {
    return state;
  }

  public long term() {
    return term;
  }

  /**
   * What the registry's key says: the last term taken, whether somebody holds it, and the revision it was written
   * at.
   */
  public void seen(long now, long ofTerm, boolean held, long changed) {
    if (ofTerm < seenTerm) {
      return;
    }
    seenTerm = ofTerm;
    seenChanged = changed;
    if (held && ofTerm > term && state != State.RESIGNED) {
      state = State.FOLLOWING;
    }
    if (!held && !vacant) {
      // Guards against planners that all try in the same moment.
      nextTry = now + chance.nextLong(margin);
    }
    vacant = !held;
    tick(now);
  }

  public void tick(long now) {
    if ((state == State.LEADING || state == State.WAITING) && now >= believedUntil) {
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
      orders.campaign(seenTerm + 1, seenChanged);
    } else if (state == State.LEADING || state == State.WAITING) {
      if (state == State.WAITING && now >= waitUntil) {
        state = State.LEADING;
      }
      if (!keeping && now >= nextKeep) {
        keeping = true;
        askedAt = now;
        orders.keepAlive();
      }
    }
  }

  /** A try went well: the key is this planner's, under this term. Older grants run out before anything is granted. */
  public void won(long now, long asTerm) {
    if (state != State.ASKING) {
      return;
    }
    term = seenTerm = asTerm;
    vacant = false;
    state = State.WAITING;
    believe();
    waitUntil = now + rules.longest(rules.grantTime());
    nextKeep = askedAt + leaseTime / 3;
    tick(now);
  }

  /** The planner before this one has stopped, and told all that it granted: there is nothing to wait for. */
  public void handedOver(long now, long ofTerm) {
    if (state == State.WAITING && ofTerm == term - 1) {
      waitUntil = now;
      tick(now);
    }
  }

  /** A try came too late, or a sign of life was refused: another may lead. */
  public void lost(long now) {
    if (state != State.RESIGNED) {
      state = State.FOLLOWING;
    }
    keeping = false;
    tick(now);
  }

  /** A sign of life was taken. */
  public void kept(long now) {
    if (keeping && (state == State.LEADING || state == State.WAITING)) {
      keeping = false;
      believe();
      nextKeep = askedAt + leaseTime / 3;
    }
    tick(now);
  }

  /** A sign of life was not heard of: the next try is made while there is time. */
  public void unheard(long now) {
    keeping = false;
    nextKeep = now + leaseTime / 16;
    tick(now);
  }

  /** From when it asked, by the slowest that its clock may go against the registry's. */
  private void believe() {
    believedUntil = askedAt + rules.shortest(leaseTime) - margin;
  }

  /** Whether anything may be granted at this very time: to be asked before each grant. */
  public boolean mayGrant(long now) {
    return state == State.LEADING && now < believedUntil;
  }

  /** It is to end: the key is let go once nothing more is granted. */
  public void resign(long now) {
    boolean held = (state == State.LEADING || state == State.WAITING) && now < believedUntil;
    state = State.RESIGNED;
    if (held) {
      orders.resign();
    }
  }

  /** When {@link #tick} is due next. */
  public long due() {
    return switch (state) {
      case FOLLOWING -> vacant ? nextTry : Long.MAX_VALUE;
      case ASKING -> askedAt + leaseTime;
      case WAITING -> Math.min(Math.min(waitUntil, believedUntil), keeping ? Long.MAX_VALUE : nextKeep);
      case LEADING -> Math.min(believedUntil, keeping ? Long.MAX_VALUE : nextKeep);
      default -> Long.MAX_VALUE;
    };
  }
}
