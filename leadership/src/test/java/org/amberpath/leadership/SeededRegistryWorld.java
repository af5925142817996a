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
final class SeededRegistryWorld {
  private record Event(long atNanos, long order, Runnable action) {}

  static final long PLAYED_NANOS = 400_000_000_000L;
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
  private long awayUntil;
  // The state of the registry's key.
  private Candidate holder;
  private long term;
  private long changed = 1;
  private long expiry;

  SeededRegistryWorld(long seed) {
    random = new SplittableRandom(seed);
    for (int index = 0; index < 4; index++) {
      processes.add(new Candidate("g" + index));
    }
  }

  /** Runs all events. Returns the digest of all actions as hexadecimal digits. */
  String play() {
    processes.forEach(process -> at(random.nextLong(SECOND), process::start));
    at(random.nextLong(SECOND), this::fault);
    while (!events.isEmpty() && events.peek().atNanos <= PLAYED_NANOS) {
      Event event = events.poll();
      now = event.atNanos;
      event.action.run();
    }
    return actions.digest();
  }

  private boolean busy() {
    return now % (60 * SECOND) < 40 * SECOND;
  }

  private boolean withProbability(double probability) {
    return random.nextDouble() < probability;
  }

  private void at(long atNanos, Runnable action) {
    events.add(new Event(atNanos, ++order, action));
  }

  /**
   * Performs an action at the registry, unless the registry is unavailable or the request is lost.
   */
  private void registry(Runnable action) {
    at(
        now + requestTime(),
        () -> {
          if (now >= awayUntil && (!busy() || withProbability(0.93))) {
            action.run();
          }
        });
  }

  private long requestTime() {
    return busy() && withProbability(0.05)
        ? random.nextLong(4 * SECOND)
        : random.nextLong(MS, 10 * MS);
  }

  private void keyChanged() {
    changed++;
    long changedNow = changed;
    long ofTerm = term;
    boolean held = holder != null;
    for (Candidate process : processes) {
      long late =
          withProbability(0.05) ? random.nextLong(2 * SECOND) : random.nextLong(MS, 50 * MS);
      process.at(now + late, () -> process.seen(ofTerm, held, changedNow));
    }
  }

  private void lease() {
    expiry = now + LEASE;
    long held = changed;
    at(
        expiry,
        () -> {
          if (holder != null && changed == held && now >= expiry) {
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
    private int life;
    private boolean up;
    private long frozenUntil;

    Candidate(String name) {
      this.name = name;
    }

    private long clock() {
      return offsetNanos + now + now / 1_000_000 * driftPpm;
    }

    private void at(long atNanos, Runnable action) {
      int scheduledIn = life;
      SeededRegistryWorld.this.at(
          atNanos,
          () -> {
            if (up && life == scheduledIn) {
              if (now < frozenUntil) {
                at(frozenUntil, action);
              } else {
                action.run();
                record();
              }
            }
          });
    }

    private void start() {
      life++;
      up = true;
      frozenUntil = 0;
      leadership = new RegistryLeadership(TIMINGS, this, random.nextLong());
      leadership.keyObserved(clock(), term, holder != null, changed);
      record();
      round();
    }

    private void round() {
      if (clock() >= leadership.nextTickNanos() || withProbability(0.02)) {
        change(() -> leadership.tick(clock()));
      }
      at(now + random.nextLong(10 * MS, 60 * MS), this::round);
    }

    private void change(Runnable event) {
      Leadership.State before = leadership.state();
      event.run();
      Leadership.State after = leadership.state();
      if (after != before) {
        actions.record(stateWord(before) + ">" + stateWord(after), name);
      }
    }

    private void record() {
      actions.record(
          "state " + stateWord(leadership.state()),
          name,
          leadership.term(),
          leadership.leaseExpiresAtNanos(),
          leadership.nextTickNanos(),
          leadership.isLeader(clock()));
    }

    private void seen(long ofTerm, boolean held, long changedAt) {
      change(() -> leadership.keyObserved(clock(), ofTerm, held, changedAt));
    }

    @Override
    public void campaign(long asTerm, long seenChanged) {
      actions.record("campaign", name, asTerm, seenChanged);
      registry(
          () -> {
            boolean won = holder == null && changed == seenChanged && asTerm > term;
            if (won) {
              holder = this;
              term = asTerm;
              keyChanged();
              lease();
            }
            at(
                now + requestTime(),
                () ->
                    change(
                        () -> {
                          actions.record(won ? "won" : "lost", name, asTerm);
                          if (won) {
                            leadership.campaignWon(clock(), asTerm);
                          } else {
                            leadership.leaseLost(clock());
                          }
                        }));
          });
    }

    @Override
    public void keepAlive(long askedAt) {
      actions.record("keep alive", name, askedAt);
      long of = leadership.term();
      registry(
          () -> {
            boolean renewed = holder == this && term == of;
            if (renewed) {
              lease();
            }
            at(now + requestTime(), () -> change(() -> renewalEnded(renewed, askedAt)));
          });
      at(
          now + 500 * MS,
          () -> {
            if (withProbability(0.1)) {
              actions.record("unheard", name);
              change(() -> leadership.renewalUnanswered(clock()));
            }
          });
    }

    private void renewalEnded(boolean renewed, long askedAt) {
      actions.record(renewed ? "kept" : "not kept", name, askedAt);
      if (renewed) {
        leadership.leaseRenewed(clock(), askedAt);
      } else {
        leadership.leaseLost(clock());
      }
    }

    @Override
    public void resign() {
      actions.record("resign", name);
      long of = leadership.term();
      registry(
          () -> {
            if (holder == this && term == of) {
              holder = null;
              keyChanged();
            }
          });
    }

    private void resigns() {
      boolean held = leadership.isLeader(clock());
      long of = leadership.term();
      change(() -> leadership.resign(clock()));
      if (held) {
        for (Candidate other : processes) {
          other.at(
              now + random.nextLong(300 * MS),
              () -> {
                actions.record("handed over", other.name, of);
                other.change(() -> other.leadership.predecessorStopped(other.clock(), of));
              });
        }
      }
    }

    private void kill() {
      if (up) {
        up = false;
        int killedIn = life;
        SeededRegistryWorld.this.at(
            now + random.nextLong(50 * MS, 5 * SECOND),
            () -> {
              if (life == killedIn) {
                start();
              }
            });
      }
    }
  }

  /** Returns the recorded text of a state, which stays the same when a constant is renamed. */
  private static String stateWord(Leadership.State state) {
    return switch (state) {
      case FOLLOWING -> "following";
      case ASKING -> "asking";
      case WAITING -> "waiting";
      case HOLDING -> "holding";
      case RESIGNED -> "resigned";
    };
  }

  // ---- Faults.

  private void fault() {
    Candidate process = processes.get(random.nextInt(processes.size()));
    switch (random.nextInt(busy() ? 8 : 2)) {
      case 0 -> {
        process.at(now, process::resigns);
        at(now + random.nextLong(2 * SECOND), process::kill);
      }
      case 1 ->
          process.at(now, () -> process.change(() -> process.leadership.release(process.clock())));
      case 2 -> process.kill();
      case 3 -> process.frozenUntil = now + random.nextLong(8 * SECOND);
      case 4 -> awayUntil = now + random.nextLong(6 * SECOND);
      case 5 -> restored();
      case 6 -> {
        long seen = term + random.nextLong(-3, 10);
        process.at(
            now,
            () -> process.change(() -> process.leadership.higherTermSeen(process.clock(), seen)));
      }
      default -> {
        long of = term - random.nextLong(3);
        process.at(
            now,
            () -> process.change(() -> process.leadership.predecessorStopped(process.clock(), of)));
      }
    }
    at(now + random.nextLong(4 * SECOND), this::fault);
  }

  /**
   * Restores the registry from a backup: it does not answer for one lease, and then may hold an
   * older term.
   */
  private void restored() {
    if (withProbability(0.5)) {
      return;
    }
    actions.record("restored");
    awayUntil = now + LEASE;
    at(
        now + LEASE,
        () -> {
          holder = null;
          term = Math.max(0, term - random.nextLong(6));
          processes.forEach(
              process ->
                  process.at(
                      now, () -> process.change(() -> process.leadership.registryRestored())));
          keyChanged();
        });
  }
}
