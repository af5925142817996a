package org.amberpath.leadership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates several processes that elect a leader by a lease in a registry, without I/O or a real
 * clock. Faults: requests and answers are lost and delayed, processes are killed and suspended,
 * clocks drift, the registry is unavailable or restored from a backup. Every command and state is
 * recorded in order. Random numbers are drawn from the simulation's own generator, so that a seed
 * gives the same events everywhere.
 */
final class SeededRegistryLeadershipSimulation {
  private record Event(long atNanos, long order, Runnable action) {}

  static final long DURATION_NANOS = 400_000_000_000L;
  private static final long MS = 1_000_000;
  private static final long SECOND = 1000 * MS;
  private static final long LEASE = 3 * SECOND;
  private static final LeaseTimings TIMINGS = new LeaseTimings(LEASE, SECOND, 1000);

  final RecordedActions actions = new RecordedActions();
  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
  private final List<Candidate> processes = new ArrayList<>();
  private long now;
  private long order;
  private long unavailableUntilNanos;
  // The state of the registry's key.
  private Candidate holder;
  private long term;
  private long revision = 1;
  private long leaseExpiresAtNanos;

  SeededRegistryLeadershipSimulation(long seed) {
    random = new SplittableRandom(seed);
    for (int index = 0; index < 4; index++) {
      processes.add(new Candidate("g" + index));
    }
  }

  /** Runs all events. Returns the digest of all actions as hexadecimal digits. */
  String run() {
    processes.forEach(process -> schedule(random.nextLong(SECOND), process::start));
    schedule(random.nextLong(SECOND), this::injectFault);
    while (!events.isEmpty() && events.peek().atNanos <= DURATION_NANOS) {
      Event event = events.poll();
      now = event.atNanos;
      event.action.run();
    }
    return actions.digest();
  }

  private boolean faultsActive() {
    return now % (60 * SECOND) < 40 * SECOND;
  }

  private boolean withProbability(double probability) {
    return random.nextDouble() < probability;
  }

  private void schedule(long atNanos, Runnable action) {
    events.add(new Event(atNanos, ++order, action));
  }

  /**
   * Performs an action at the registry, unless the registry is unavailable or the request is lost.
   */
  private void sendToRegistry(Runnable action) {
    schedule(
        now + randomDeliveryNanos(),
        () -> {
          if (now >= unavailableUntilNanos && (!faultsActive() || withProbability(0.93))) {
            action.run();
          }
        });
  }

  private long randomDeliveryNanos() {
    return faultsActive() && withProbability(0.05)
        ? random.nextLong(4 * SECOND)
        : random.nextLong(MS, 10 * MS);
  }

  private void keyChanged() {
    revision++;
    long newRevision = revision;
    long ofTerm = term;
    boolean held = holder != null;
    for (Candidate process : processes) {
      long delayNanos =
          withProbability(0.05) ? random.nextLong(2 * SECOND) : random.nextLong(MS, 50 * MS);
      process.schedule(now + delayNanos, () -> process.keyObserved(ofTerm, held, newRevision));
    }
  }

  private void startLease() {
    leaseExpiresAtNanos = now + LEASE;
    long leaseRevision = revision;
    schedule(
        leaseExpiresAtNanos,
        () -> {
          if (holder != null && revision == leaseRevision && now >= leaseExpiresAtNanos) {
            holder = null;
            keyChanged();
          }
        });
  }

  private final class Candidate implements RegistryLeadership.Commands {
    private final String name;
    private final int driftPpm = random.nextInt(-900, 900);
    private final long offsetNanos = random.nextLong(1000 * SECOND);
    private RegistryLeadership leadership;
    private int incarnation;
    private boolean running;
    private long suspendedUntilNanos;

    Candidate(String name) {
      this.name = name;
    }

    private long clock() {
      return offsetNanos + now + now / 1_000_000 * driftPpm;
    }

    private void schedule(long atNanos, Runnable action) {
      int scheduledIncarnation = incarnation;
      SeededRegistryLeadershipSimulation.this.schedule(
          atNanos,
          () -> {
            if (running && incarnation == scheduledIncarnation) {
              if (now < suspendedUntilNanos) {
                schedule(suspendedUntilNanos, action);
              } else {
                action.run();
                recordState();
              }
            }
          });
    }

    private void start() {
      incarnation++;
      running = true;
      suspendedUntilNanos = 0;
      leadership = new RegistryLeadership(TIMINGS, this, random.nextLong());
      leadership.keyObserved(clock(), term, holder != null, revision);
      recordState();
      tickPeriodically();
    }

    private void tickPeriodically() {
      if (clock() >= leadership.nextTickNanos() || withProbability(0.02)) {
        recordTransition(() -> leadership.tick(clock()));
      }
      schedule(now + random.nextLong(10 * MS, 60 * MS), this::tickPeriodically);
    }

    private void recordTransition(Runnable event) {
      Leadership.State before = leadership.state();
      event.run();
      Leadership.State after = leadership.state();
      if (after != before) {
        actions.record(recordedText(before) + ">" + recordedText(after), name);
      }
    }

    private void recordState() {
      actions.record(
          "state " + recordedText(leadership.state()),
          name,
          leadership.term(),
          leadership.leaseExpiresAtNanos(),
          leadership.nextTickNanos(),
          leadership.isLeader(clock()));
    }

    private void keyObserved(long observedTerm, boolean held, long observedRevision) {
      recordTransition(() -> leadership.keyObserved(clock(), observedTerm, held, observedRevision));
    }

    @Override
    public void campaign(long campaignTerm, long expectedRevision, long requestedAtNanos) {
      actions.record("campaign", name, campaignTerm, expectedRevision);
      sendToRegistry(
          () -> {
            boolean won = holder == null && revision == expectedRevision && campaignTerm > term;
            if (won) {
              holder = this;
              term = campaignTerm;
              keyChanged();
              startLease();
            }
            schedule(
                now + randomDeliveryNanos(),
                () ->
                    recordTransition(
                        () -> {
                          actions.record(won ? "won" : "lost", name, campaignTerm);
                          if (won) {
                            leadership.campaignWon(clock(), campaignTerm, requestedAtNanos);
                          } else {
                            leadership.campaignLost(clock(), requestedAtNanos);
                          }
                        }));
          });
    }

    @Override
    public void keepAlive(long requestedAtNanos) {
      actions.record("keep alive", name, requestedAtNanos);
      long leaseTerm = leadership.term();
      sendToRegistry(
          () -> {
            boolean renewed = holder == this && term == leaseTerm;
            if (renewed) {
              startLease();
            }
            schedule(
                now + randomDeliveryNanos(),
                () -> recordTransition(() -> renewalEnded(renewed, requestedAtNanos)));
          });
      schedule(
          now + 500 * MS,
          () -> {
            if (withProbability(0.1)) {
              actions.record("unheard", name);
              recordTransition(() -> leadership.renewalUnanswered(clock()));
            }
          });
    }

    private void renewalEnded(boolean renewed, long requestedAtNanos) {
      actions.record(renewed ? "kept" : "not kept", name, requestedAtNanos);
      if (renewed) {
        leadership.leaseRenewed(clock(), requestedAtNanos);
      } else {
        leadership.leaseLost(clock());
      }
    }

    @Override
    public void resign() {
      actions.record("resign", name);
      long leaseTerm = leadership.term();
      sendToRegistry(
          () -> {
            if (holder == this && term == leaseTerm) {
              holder = null;
              keyChanged();
            }
          });
    }

    private void resignAndNotify() {
      boolean led = leadership.isLeader(clock());
      long stoppedTerm = leadership.term();
      recordTransition(() -> leadership.resign(clock()));
      if (led) {
        for (Candidate other : processes) {
          other.schedule(
              now + random.nextLong(300 * MS),
              () -> {
                actions.record("handed over", other.name, stoppedTerm);
                other.recordTransition(
                    () -> other.leadership.predecessorStopped(other.clock(), stoppedTerm));
              });
        }
      }
    }

    private void kill() {
      if (running) {
        running = false;
        int killedIncarnation = incarnation;
        SeededRegistryLeadershipSimulation.this.schedule(
            now + random.nextLong(50 * MS, 5 * SECOND),
            () -> {
              if (incarnation == killedIncarnation) {
                start();
              }
            });
      }
    }
  }

  /** Returns the recorded text of a state, which stays the same when a constant is renamed. */
  private static String recordedText(Leadership.State state) {
    return switch (state) {
      case FOLLOWING -> "following";
      case ASKING -> "asking";
      case WAITING -> "waiting";
      case HOLDING -> "holding";
      case RESIGNED -> "resigned";
    };
  }

  // ---- Faults.

  private void injectFault() {
    Candidate process = processes.get(random.nextInt(processes.size()));
    switch (random.nextInt(faultsActive() ? 8 : 2)) {
      case 0 -> {
        process.schedule(now, process::resignAndNotify);
        schedule(now + random.nextLong(2 * SECOND), process::kill);
      }
      case 1 ->
          process.schedule(
              now,
              () -> process.recordTransition(() -> process.leadership.release(process.clock())));
      case 2 -> process.kill();
      case 3 -> process.suspendedUntilNanos = now + random.nextLong(8 * SECOND);
      case 4 -> unavailableUntilNanos = now + random.nextLong(6 * SECOND);
      case 5 -> restoreFromBackup();
      case 6 -> {
        long seenTerm = term + random.nextLong(-3, 10);
        process.schedule(
            now,
            () ->
                process.recordTransition(
                    () -> process.leadership.higherTermSeen(process.clock(), seenTerm)));
      }
      default -> {
        long stoppedTerm = term - random.nextLong(3);
        process.schedule(
            now,
            () ->
                process.recordTransition(
                    () -> process.leadership.predecessorStopped(process.clock(), stoppedTerm)));
      }
    }
    schedule(now + random.nextLong(4 * SECOND), this::injectFault);
  }

  /**
   * Restores the registry from a backup: it does not answer for one lease, and then may hold an
   * older term.
   */
  private void restoreFromBackup() {
    if (withProbability(0.5)) {
      return;
    }
    actions.record("restored");
    unavailableUntilNanos = now + LEASE;
    schedule(
        now + LEASE,
        () -> {
          holder = null;
          term = Math.max(0, term - random.nextLong(6));
          processes.forEach(
              process ->
                  process.schedule(
                      now,
                      () -> process.recordTransition(() -> process.leadership.registryRestored())));
          keyChanged();
        });
  }
}
