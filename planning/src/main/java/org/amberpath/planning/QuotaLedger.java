package org.amberpath.planning;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * * What a planner has granted, and what it may grant: the sum of what all forwarders may hold at
 * any moment from now on stays within the bound of each resource, whatever is lost, late or doubled
 * on the way, and whoever restarts or is never heard of. A forwarder without a grant holds its
 * usual part, an equal part of the bound.
 *
 * <p>A share above the usual part is counted until it must have run out; one below counts only once
 * its forwarder has said that it is in force, and only as long as it must still be. Who restarts
 * keeps to the thin share for as long as a share below the usual part could have held, so a grant
 * never goes below that.
 *
 * <p>Bounds: members as told; MOST outstanding grants a member, past which it is granted nothing
 * until it is heard.
 */
public final class QuotaLedger {
  private static final int MOST = 16;

  /**
   * A grant as it is remembered: above until mostUntil, below from when it is told in force until
   * leastUntil.
   */
  private static final class Given {
    final long number, mostUntil, leastUntil;
    final double[] amounts;
    boolean inForce;

    Given(long number, long mostUntil, long leastUntil, double[] amounts) {
      this.number = number;
      this.mostUntil = mostUntil;
      this.leastUntil = leastUntil;
      this.amounts = amounts;
    }
  }

  private static final class Member {
    final Deque<Given> given = new ArrayDeque<>();
    long run = Long.MIN_VALUE, seq = Long.MIN_VALUE;

    /** Whatever is asked from here on is asked after this time. */
    long after = Long.MIN_VALUE;
  }

  /**
   * One grant as it is handed over; times are what is left of them.
   *
   * @param mostLeft by when a share above the usual part must have run out
   * @param leastLeft until when one below must be in force
   */
  @SuppressWarnings("ArrayRecordComponent") // Handed over, never compared.
  public record OutstandingGrant(
      int member,
      long run,
      long seq,
      long number,
      double[] amounts,
      long mostLeft,
      long leastLeft,
      boolean inForce) {}

  private final QuotaTimings rules;
  private final long term;
  private final double[] bounds, usual;
  private final Member[] members;
  private long last;

  /** A ledger of a term that begins with nobody holding more than the usual part. */
  public QuotaLedger(QuotaTimings rules, long term, double[] bounds, int members) {
    this.rules = rules;
    this.term = term;
    this.bounds = bounds.clone();
    usual = new double[bounds.length];
    for (int resource = 0; resource < bounds.length; resource++) {
      usual[resource] = bounds[resource] / members;
    }
    this.members = new Member[members];
    for (int member = 0; member < members; member++) {
      this.members[member] = new Member();
    }
  }

  /**
   * * A ledger that goes on from the one of the term before, whose planner had stopped granting
   * when it was asked for it.
   *
   * @param askedAt when that was: what was told is of no earlier time
   */
  public static QuotaLedger succeeding(
      QuotaTimings rules,
      long term,
      double[] bounds,
      int members,
      List<OutstandingGrant> left,
      long askedAt,
      long now) {
    QuotaLedger ledger = new QuotaLedger(rules, term, bounds, members);
    for (OutstandingGrant one : left) {
      Member member = ledger.members[one.member()];
      member.run = Math.max(member.run, one.run());
      // Numbers of that term come before all of this one.
      Given given =
          new Given(
              one.number() - Long.MAX_VALUE,
              now + rules.longest(one.mostLeft()),
              one.leastLeft() == 0 ? Long.MIN_VALUE : askedAt + rules.shortest(one.leastLeft()),
              one.amounts().clone());
      given.inForce = one.inForce();
      if (given.inForce && given.leastUntil != Long.MIN_VALUE) {
        member.after = Math.max(member.after, given.leastUntil - rules.shortest(rules.holdNanos()));
      }
      member.given.add(given);
    }
    return ledger;
  }

  /** How much of a resource a member may be using at a time, by all that is known. */
  private double most(int member, int resource, long at) {
    double most = 0;
    boolean certain = false;
    for (Given one : members[member].given) {
      double amount = one.amounts[resource];
      if (amount >= usual[resource]) {
        most = Math.max(most, at <= one.mostUntil ? amount : usual[resource]);
        certain |= one.inForce;
      } else if (one.inForce && at >= one.leastUntil) {
        most = Math.max(most, usual[resource]);
        certain = true;
      } else {
        // One that may not have come leaves the one before it in force: what that holds is counted
        // by itself.
        most = Math.max(most, amount);
        certain |= one.inForce;
      }
    }
    return certain ? most : Math.max(most, usual[resource]);
  }

  /** The most that all but one may be using together at any time from now until the end. */
  private double others(int but, int resource, long now, long end) {
    double most = sum(but, resource, now);
    for (Member member : members) {
      for (Given one : member.given) {
        // What is used only grows where a share below the usual part runs out.
        if (one.leastUntil > now && one.leastUntil <= end) {
          most = Math.max(most, sum(but, resource, one.leastUntil));
        }
      }
    }
    return most;
  }

  private double sum(int but, int resource, long at) {
    double sum = 0;
    for (int member = 0; member < members.length; member++) {
      sum += member == but ? 0 : most(member, resource, at);
    }
    return sum;
  }

  /**
   * What a member is counted for at the least until the end: granting it as much takes nothing from
   * anybody.
   */
  private double ownLeast(int member, int resource, long now, long end) {
    double least = most(member, resource, now);
    for (Given one : members[member].given) {
      for (long at : new long[] {one.mostUntil + 1, one.leastUntil}) {
        if (at > now && at <= end) {
          least = Math.min(least, most(member, resource, at));
        }
      }
    }
    return least;
  }

  /**
   * * Takes what an ask tells of the grants before it. Returns whether it is to be answered: not if
   * it came late or twice.
   */
  public boolean requestReceived(QuotaRequest ask) {
    if (ask.member() < 0 || ask.member() >= members.length) {
      return false;
    }
    Member member = members[ask.member()];
    if (ask.instanceId() < member.run
        || (ask.instanceId() == member.run && ask.sequenceNumber() <= member.seq)) {
      return false;
    }
    if (ask.instanceId() > member.run) {
      // Guards against one that started anew: it holds to the thin share, and no longer than to
      // what it had before.
      member.run = ask.instanceId();
    }
    member.seq = ask.sequenceNumber();
    if (ask.term() == term) {
      member.after = Math.max(member.after, ask.echoedNanos());
      for (Iterator<Given> each = member.given.iterator(); each.hasNext(); ) {
        Given one = each.next();
        if (one.number < ask.grantNumber()) {
          each.remove();
        } else {
          one.inForce |= one.number == ask.grantNumber();
        }
      }
    }
    return true;
  }

  /**
   * Grants what was asked for, as far as the bounds allow; never less than the thin share.
   *
   * @param wished shares that a plan would give, at least the thin ones
   * @return null where nothing may be granted until the member is heard
   */
  public QuotaGrant grant(long now, QuotaRequest ask, double[] wished) {
    Member member = members[ask.member()];
    long mostUntil = now + rules.longest(rules.grantNanos());
    forget(now);
    if (member.given.size() >= MOST) {
      return null;
    }
    double[] amounts = new double[bounds.length];
    for (int resource = 0; resource < bounds.length; resource++) {
      double most = usual[resource],
          free = bounds[resource] - others(ask.member(), resource, now, mostUntil);
      if (wished[resource] > most && free > most) {
        amounts[resource] = Math.min(wished[resource], free);
      } else {
        long end = now + rules.longest(rules.holdNanos());
        double allowed =
            Math.max(
                ownLeast(ask.member(), resource, now, end),
                bounds[resource] - others(ask.member(), resource, now, end));
        amounts[resource] =
            Math.max(
                most * rules.minimumFraction(),
                Math.min(Math.min(wished[resource], most), allowed));
      }
    }
    // Guards against one that started anew and has heard no planner: what was heard before tells
    // how old its ask is.
    long leastUntil =
        member.after == Long.MIN_VALUE
            ? Long.MIN_VALUE
            : member.after + rules.shortest(rules.holdNanos());
    Given given = new Given(++last, mostUntil, leastUntil, amounts);
    member.given.add(given);
    return new QuotaGrant(
        ask.member(),
        ask.instanceId(),
        ask.sequenceNumber(),
        term,
        given.number,
        now,
        amounts.clone());
  }

  /**
   * What can't be in force any more is let go of; the one in force stays, as it tells what came
   * after.
   */
  private void forget(long now) {
    for (Member member : members) {
      member.given.removeIf(
          one ->
              !one.inForce
                  && now > one.mostUntil
                  && now > one.mostUntil + rules.longest(rules.holdNanos()));
    }
  }

  /**
   * All that is outstanding, for the planner after this one: to be asked for once nothing more is
   * granted.
   */
  public List<OutstandingGrant> outstandingGrants(long now) {
    List<OutstandingGrant> all = new ArrayList<>();
    for (int member = 0; member < members.length; member++) {
      for (Given one : members[member].given) {
        all.add(
            new OutstandingGrant(
                member,
                members[member].run,
                members[member].seq,
                one.number,
                one.amounts.clone(),
                Math.max(0, one.mostUntil - now),
                one.leastUntil == Long.MIN_VALUE ? 0 : Math.max(0, one.leastUntil - now),
                one.inForce));
      }
    }
    return all;
  }

  /** The most that may be in use of a resource now, by what this ledger knows. */
  public double inUse(int resource, long now) {
    return sum(-1, resource, now);
  }
}
