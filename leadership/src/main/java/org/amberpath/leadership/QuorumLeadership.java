package org.amberpath.leadership;

import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Who owns a task by votes of a stated electorate, without a registry and without disks. A
 * candidate asks for promises under a number above all that it knows, and once a majority is free
 * proposes itself; what a majority accepts is its own from when it proposed, for less than the
 * voters keep to it. A renewal is proposed under the same number.
 *
 * <p>The term is the number. It begins with the candidate's wall clock in milliseconds, so that it
 * rises also over a restart of all voters at once; where a clock was set back, recipients refuse it
 * and say what they have seen, and the next is above that.
 */
public class QuorumLeadership implements Leadership {
  /** Where messages go. */
  public interface Transport {
    void send(String voter, LeaseMessage vote);
  }

  private static final int MARGIN = 8, PATIENCE = 4, RENEWALS = 3, MOST_TURNS = 4, TURNS = 4;

  private final LeaseTimings rules;
  private final Transport orders;
  private final String task;
  private final SplittableRandom chance;
  private final long margin;
  private VoterConfiguration electorate;
  private State state = State.FOLLOWING;

  /** Who has promised, accepted; of the number that is out. */
  private final Set<String> promised = new TreeSet<>(), accepted = new TreeSet<>();

  private long ballot, term, highest, sentAt, believedUntil, waitUntil, nextTry, wall;

  /** The last owner's term by the voters that promised, the last that said it has stopped. */
  private long before, handed;

  private boolean proposed, renewing, forgot;

  /**
   * Which proposal under this number is out. Guards against late answers to one before, which
   * promise less time.
   */
  private long round;

  private int place;

  /** One that follows, and tries once it hears of nobody. */
  public QuorumLeadership(
      LeaseTimings rules,
      String task,
      VoterConfiguration electorate,
      Transport orders,
      long seed,
      long now) {
    this.rules = rules;
    this.task = task;
    this.electorate = electorate;
    this.orders = orders;
    chance = new SplittableRandom(seed);
    margin = rules.leaseNanos() / MARGIN;
    nextTry = now + chance.nextLong(margin);
  }

  @Override
  public State state() {
    return state;
  }

  @Override
  public long term() {
    return term;
  }

  @Override
  public boolean isLeader(long now) {
    return state == State.HOLDING && now < believedUntil;
  }

  @Override
  public long leaseExpiresAtNanos() {
    return believedUntil;
  }

  /** The operators' next stage: majorities are counted by it from now on. */
  public void updateVoters(VoterConfiguration next) {
    electorate = next;
    promised.clear();
    accepted.clear();
    proposed = renewing = false;
    state = state == State.ASKING ? State.FOLLOWING : state;
  }

  /** The wall clock, in milliseconds, which numbers begin with. */
  public void wallClockRead(long ms) {
    wall = ms;
  }

  @Override
  public long nextTickNanos() {
    return switch (state) {
      case FOLLOWING -> nextTry;
      case ASKING -> sentAt + rules.leaseNanos() / PATIENCE;
      case WAITING -> Math.min(Math.min(waitUntil, believedUntil), nextTry);
      case HOLDING -> Math.min(believedUntil, nextTry);
      default -> Long.MAX_VALUE;
    };
  }

  @Override
  public void tick(long now) {
    boolean owns = state == State.HOLDING || state == State.WAITING;
    if (owns && now >= believedUntil) {
      state = State.FOLLOWING;
      renewing = false;
      nextTry = now + turn();
    } else if (state == State.ASKING && now - sentAt >= rules.leaseNanos() / PATIENCE) {
      // Guards against candidates that bind the voters in turn for ever.
      state = State.FOLLOWING;
      nextTry = now + chance.nextLong(rules.leaseNanos() / 2);
    }
    if (state == State.FOLLOWING && now >= nextTry) {
      state = State.ASKING;
      ballot = Math.max(Math.max(highest, ballot) + 1, wall);
      highest = ballot;
      proposed = forgot = false;
      before = 0;
      promised.clear();
      accepted.clear();
      sentAt = now;
      tell(LeaseMessage.Kind.PREPARE);
    } else if (owns && now < believedUntil) {
      if (state == State.WAITING && now >= waitUntil) {
        state = State.HOLDING;
      }
      if (now >= nextTry) {
        propose(now);
        renewing = true;
        nextTry = now + rules.leaseNanos() / MARGIN;
      }
    }
  }

  private void tell(LeaseMessage.Kind kind) {
    electorate
        .allVoters()
        .forEach(voter -> orders.send(voter, new LeaseMessage(kind, task, ballot, round)));
  }

  private void propose(long now) {
    proposed = true;
    round++;
    accepted.clear();
    sentAt = now;
    tell(LeaseMessage.Kind.PROPOSE);
  }

  /**
   * Its place among those that may own this task: the first try first, so that tasks are spread
   * over all.
   */
  public void place(int of) {
    place = Math.min(of, MOST_TURNS);
  }

  private long turn() {
    return place * margin + chance.nextLong(margin);
  }

  /** A voter's answer. */
  public void responseReceived(long now, String voter, LeaseMessage vote) {
    highest = Math.max(highest, vote.kind() == LeaseMessage.Kind.REFUSED ? vote.other() : 0);
    if (vote.ballot() != ballot
        || !vote.task().equals(task)
        || !electorate.allVoters().contains(voter)) {
      return;
    }
    if (vote.kind() == LeaseMessage.Kind.PROMISE && state == State.ASKING && !proposed) {
      if (vote.other() > 0) {
        // It is another's: the next try comes when that may be over.
        nextTry = Math.max(nextTry, now + vote.other() + turn());
      } else if (promised.add(voter)) {
        before = Math.max(before, vote.last());
        forgot |= vote.last() == 0;
        if (electorate.isMajority(promised)) {
          propose(now);
        }
      }
    } else if (vote.kind() == LeaseMessage.Kind.ACCEPTED
        && vote.other() == round
        && proposed
        && accepted.add(voter)
        && electorate.isMajority(accepted)) {
      own(now);
    }
  }

  private void own(long now) {
    proposed = false;
    long until = leaseStartNanos(sentAt, now) + rules.shortestNanos(rules.leaseNanos()) - margin;
    if (state == State.ASKING && now < until) {
      term = ballot;
      state = State.WAITING;
      waitUntil = now + (hasStopped() ? 0 : rules.longestNanos(rules.settleNanos()));
      believedUntil = until;
      nextTry = sentAt + rules.leaseNanos() / RENEWALS;
    } else if (renewing
        && (state == State.HOLDING || state == State.WAITING)
        && now < believedUntil) {
      renewing = false;
      believedUntil = until;
      nextTry = sentAt + rules.leaseNanos() / RENEWALS;
    }
    tick(now);
  }

  /**
   * From when it proposed, since voters count from later: from any later time two may believe at
   * once.
   */
  protected long leaseStartNanos(long proposedAt, long acceptedAt) {
    return proposedAt;
  }

  @Override
  public void higherTermSeen(long now, long seen) {
    highest = Math.max(highest, seen);
    if (state != State.RESIGNED && term < seen) {
      sendRelease(now);
      state = State.FOLLOWING;
      nextTry = now + chance.nextLong(margin);
    }
  }

  /**
   * Whether who had it last has said that it has stopped. Guards against word of an older owner
   * than the last, and against a voter that has forgotten who was the last: then the wait is whole.
   */
  private boolean hasStopped() {
    return handed > 0 && handed == before && !forgot;
  }

  @Override
  public void predecessorStopped(long now, long ofTerm) {
    handed = Math.max(handed, ofTerm);
    if (state == State.WAITING && hasStopped()) {
      waitUntil = Math.min(waitUntil, now);
      tick(now);
    } else if (state == State.FOLLOWING && ofTerm >= highest) {
      // Nobody has it now: the first in line needs not wait for what it was told before.
      nextTry = Math.min(nextTry, now + turn() / TURNS);
    }
  }

  @Override
  public void release(long now) {
    sendRelease(now);
    state = state == State.RESIGNED ? state : State.FOLLOWING;
    nextTry = now + rules.leaseNanos() + chance.nextLong(margin);
  }

  @Override
  public void resign(long now) {
    sendRelease(now);
    state = State.RESIGNED;
  }

  private void sendRelease(long now) {
    if ((state == State.HOLDING || state == State.WAITING) && now < believedUntil) {
      tell(LeaseMessage.Kind.RELEASE);
    }
    believedUntil = now;
    proposed = renewing = false;
  }
}
