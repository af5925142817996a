package org.amberpath.planning;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates several holders of quotas and the leaders that grant them, without I/O or a real clock.
 * Faults: requests and grants are lost, delayed and duplicated, holders restart or receive nothing,
 * leaders succeed one another with and without a handover, are absent, or grant under an older
 * term, grants are invalid, and clocks drift. Every request, grant, rejection and share is recorded
 * in order. Random numbers are drawn from the simulation's own generator, so that a seed gives the
 * same events everywhere.
 */
@SuppressWarnings("EnumOrdinal") // The order of the constants is part of the recorded seeds.
final class SeededQuotaSimulation {
  /** The number of holders, and the loss and delay of messages. */
  enum Scenario {
    /** Five holders. */
    FIVE,
    /** Two holders, half of all messages are delayed. */
    TWO_LATE,
    /** Nine holders, a third of all messages is lost. */
    NINE_LOSSY
  }

  private record Event(long atNanos, long order, Runnable action) {}

  static final long DURATION_NANOS = 300_000_000_000L;
  private static final long MS = 1_000_000;
  private static final long SECOND = 1000 * MS;
  private static final QuotaTimings TIMINGS = new QuotaTimings(2 * SECOND, 8 * SECOND, 1000, 0.125);

  final RecordedActions actions = new RecordedActions();
  private final Scenario scenario;
  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
  private final double[] bounds = {100, 7};
  private final int count;
  private final List<HolderProcess> holders = new ArrayList<>();
  private long now = 1000 * SECOND;
  private long order;
  private Leader leader;
  private Leader formerLeader;

  SeededQuotaSimulation(Scenario scenario, long seed) {
    this.scenario = scenario;
    random = new SplittableRandom(seed * 31 + scenario.ordinal());
    count = new int[] {5, 2, 9}[scenario.ordinal()];
    for (int index = 0; index < count; index++) {
      holders.add(new HolderProcess(index));
    }
    leader = new Leader(1, new QuotaLedger(TIMINGS, 1, bounds, count));
  }

  /** Runs all events. Returns the digest of all actions as hexadecimal digits. */
  String run() {
    holders.forEach(holder -> schedule(now + random.nextLong(300 * MS), holder::sendRequest));
    schedule(now, this::injectFault);
    schedule(now + 10 * SECOND, this::changeLeader);
    long end = now + DURATION_NANOS;
    while (!events.isEmpty() && events.peek().atNanos <= end) {
      Event event = events.poll();
      now = event.atNanos;
      event.action.run();
    }
    return actions.digest();
  }

  private boolean withProbability(double probability) {
    return random.nextDouble() < probability;
  }

  private void schedule(long atNanos, Runnable action) {
    events.add(new Event(atNanos, ++order, action));
  }

  private void deliver(Runnable delivery) {
    if (withProbability(scenario == Scenario.NINE_LOSSY ? 0.33 : 0.05)) {
      actions.count("lost");
      return;
    }
    boolean late = withProbability(scenario == Scenario.TWO_LATE ? 0.5 : 0.05);
    long delay =
        late
            ? random.nextLong(withProbability(0.1) ? 14 * SECOND : 2 * SECOND)
            : random.nextLong(MS, 20 * MS);
    schedule(now + delay, delivery);
    if (withProbability(0.04)) {
      schedule(now + delay + random.nextLong(SECOND), delivery);
    }
  }

  private double[] usualShares() {
    return Arrays.stream(bounds).map(bound -> bound / count).toArray();
  }

  /** A member with its quota holder. */
  private final class HolderProcess {
    private final int index;
    private final int driftPpm = random.nextInt(-900, 900);
    private QuotaHolder holder;
    private long instanceId;
    private long receivesNothingUntilNanos;
    private long lastRequest;

    HolderProcess(int index) {
      this.index = index;
      restart();
    }

    private long clock() {
      return now + now / 1_000_000 * driftPpm;
    }

    void restart() {
      instanceId++;
      holder = new QuotaHolder(TIMINGS, index, instanceId, usualShares(), clock());
      actions.record("restart", index, instanceId);
      recordShares();
    }

    private void sendRequest() {
      double[] wanted = new double[bounds.length];
      for (int resource = 0; resource < bounds.length; resource++) {
        double maxWanted = withProbability(0.3) ? bounds[resource] : bounds[resource] / count;
        wanted[resource] = maxWanted * random.nextDouble();
      }
      QuotaRequest request = holder.nextRequest(clock(), wanted);
      lastRequest = request.sequenceNumber();
      actions.record(
          "request",
          request.member(),
          request.instanceId(),
          request.sequenceNumber(),
          request.term(),
          request.grantNumber(),
          request.echoedNanos(),
          request.wanted()[0],
          request.wanted()[1]);
      Leader recipient = withProbability(0.05) && formerLeader != null ? formerLeader : leader;
      if (recipient != null) {
        deliver(() -> recipient.requestReceived(this, request));
      }
      recordShares();
      schedule(now + random.nextLong(100 * MS, 500 * MS), this::sendRequest);
    }

    private void grantReceived(QuotaGrant grant) {
      if (now < receivesNothingUntilNanos) {
        return;
      }
      QuotaHolder.GrantResult result = holder.apply(clock(), grant);
      actions.record("take " + recordedText(result), index, grant.term(), grant.number());
      recordShares();
    }

    private void recordShares() {
      for (long offsetNanos : new long[] {0, SECOND, 5 * SECOND, 9 * SECOND, 12 * SECOND}) {
        long atNanos = clock() + offsetNanos;
        actions.record(
            "share",
            index,
            holder.share(0, atNanos),
            holder.share(1, atNanos),
            holder.isGranted(atNanos),
            holder.term());
      }
    }
  }

  /** Returns the recorded text of a result, which stays the same when a constant is renamed. */
  private static String recordedText(QuotaHolder.GrantResult result) {
    return switch (result) {
      case APPLIED -> "taken";
      case OLD_TERM -> "old term";
      case OLD_NUMBER -> "old number";
      case OLD_REQUEST -> "old ask";
      case UNKNOWN_REQUEST -> "unknown ask";
      case WRONG_RECIPIENT -> "others";
      case EXPIRED -> "over";
    };
  }

  /** A leader with its ledger. */
  private final class Leader {
    private final long term;
    private final QuotaLedger ledger;
    private final double[][] wantedByMember = new double[count][];

    Leader(long term, QuotaLedger ledger) {
      this.term = term;
      this.ledger = ledger;
    }

    private void requestReceived(HolderProcess from, QuotaRequest request) {
      wantedByMember[request.member()] = request.wanted();
      boolean answered = ledger.requestReceived(request);
      actions.record("heard " + answered, term, request.member(), request.sequenceNumber());
      if (!answered) {
        return;
      }
      QuotaGrant grant = ledger.grant(now, request, targetShares(request));
      if (grant == null) {
        actions.record("no grant", term, request.member(), request.sequenceNumber());
      } else {
        recordGrant(grant);
        long suspendedNanos = withProbability(0.01) ? random.nextLong(4 * SECOND) : 0;
        schedule(now + suspendedNanos, () -> deliver(() -> from.grantReceived(grant)));
      }
      actions.record("in use", ledger.inUse(0, now), ledger.inUse(1, now));
    }

    private double[] targetShares(QuotaRequest request) {
      double[] targets = new double[bounds.length];
      for (int resource = 0; resource < bounds.length; resource++) {
        double usual = bounds[resource] / wantedByMember.length;
        double[] wanted = new double[wantedByMember.length];
        for (int member = 0; member < wantedByMember.length; member++) {
          wanted[member] =
              wantedByMember[member] == null ? usual : wantedByMember[member][resource];
        }
        double[] shares =
            MaxMinFairShare.of(bounds[resource], wanted, usual * TIMINGS.minimumFraction());
        targets[resource] =
            withProbability(0.2) ? wanted[request.member()] : shares[request.member()];
      }
      return targets;
    }

    private void recordGrant(QuotaGrant grant) {
      boolean aboveUsual = grant.amounts()[0] > bounds[0] / count;
      actions.record(
          aboveUsual ? "grant above" : "grant",
          grant.member(),
          grant.instanceId(),
          grant.requestNumber(),
          grant.term(),
          grant.number(),
          grant.grantedAtNanos(),
          grant.amounts()[0],
          grant.amounts()[1]);
    }

    /** Creates the ledger of the next term from the outstanding grants of this one. */
    QuotaLedger handOver(long nextTerm) {
      List<QuotaLedger.OutstandingGrant> outstanding = ledger.outstandingGrants(now);
      for (QuotaLedger.OutstandingGrant grant : outstanding) {
        actions.record(
            grant.inForce() ? "left in force" : "left",
            grant.member(),
            grant.instanceId(),
            grant.sequenceNumber(),
            grant.number(),
            grant.raisedRemainingNanos(),
            grant.loweredRemainingNanos(),
            grant.amounts()[0],
            grant.amounts()[1]);
      }
      long requestedAtNanos = now - random.nextLong(500 * MS);
      return QuotaLedger.succeeding(
          TIMINGS,
          nextTerm,
          bounds,
          count,
          new QuotaLedger.Handover(outstanding, requestedAtNanos, now));
    }
  }

  // ---- Faults.

  private void changeLeader() {
    Leader previousLeader = leader;
    long nextTerm = (previousLeader == null ? formerLeader.term : previousLeader.term) + 1;
    if (previousLeader != null && withProbability(0.4)) {
      formerLeader = previousLeader;
      leader = new Leader(nextTerm, previousLeader.handOver(nextTerm));
      actions.record("handed over", nextTerm);
    } else if (previousLeader != null && withProbability(0.4)) {
      formerLeader = previousLeader;
      leader = null;
      actions.record("away", nextTerm);
    } else {
      formerLeader = previousLeader == null ? formerLeader : previousLeader;
      leader = new Leader(nextTerm, new QuotaLedger(TIMINGS, nextTerm, bounds, count));
      actions.record("anew", nextTerm);
    }
    schedule(now + random.nextLong(20 * SECOND), this::changeLeader);
  }

  private void injectFault() {
    HolderProcess holder = holders.get(random.nextInt(count));
    switch (random.nextInt(4)) {
      case 0 -> holder.restart();
      case 1 -> holder.receivesNothingUntilNanos = now + random.nextLong(15 * SECOND);
      default -> holder.grantReceived(invalidGrant(holder));
    }
    schedule(now + random.nextLong(2 * SECOND), this::injectFault);
  }

  /**
   * Creates an invalid grant: for another member or start, with another number of resources, for no
   * stored request, or with an amount of NaN.
   */
  private QuotaGrant invalidGrant(HolderProcess holder) {
    long term = holder.holder.term();
    if (withProbability(0.4)) {
      // Answers a request of several seconds ago, whose time may no longer be stored.
      long answers = holder.lastRequest - 28 - random.nextInt(8);
      return new QuotaGrant(
          holder.index, holder.instanceId, answers, term, Long.MAX_VALUE, now, new double[] {1, 1});
    }
    double[] amounts = withProbability(0.2) ? new double[] {1} : new double[] {Double.NaN, 1};
    return new QuotaGrant(
        withProbability(0.2) ? holder.index + 1 : holder.index,
        withProbability(0.2) ? holder.instanceId - 1 : holder.instanceId,
        random.nextLong(1, 400),
        term,
        withProbability(0.5) ? 1 : random.nextLong(200),
        now,
        amounts);
  }
}
