package org.amberpath.lab.planning;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.amberpath.lab.VirtualProcess;
import org.amberpath.lab.VirtualScheduler;
import org.amberpath.leadership.Leadership;
import org.amberpath.leadership.RegistryLeadership;
import org.amberpath.planning.MaxMinFairShare;
import org.amberpath.planning.QuotaGrant;
import org.amberpath.planning.QuotaHolder;
import org.amberpath.planning.QuotaLedger;
import org.amberpath.planning.QuotaRequest;
import org.amberpath.planning.QuotaTimings;

/**
 * One run of the pure halves of planners and forwarders on a virtual clock: messages lost, late and
 * doubled, planners killed, frozen and stopped, forwarders restarted, clocks that differ and drift.
 * After each step the sum of what all forwarders may use stays within the bound, and one planner at
 * most may grant.
 */
final class PlannersModel {
  private static final long MS = 1_000_000, SECOND = 1000 * MS, START = 1_700_000_000L * SECOND;
  private static final long BUSY = 60 * SECOND,
      CALM = 20 * SECOND,
      LEASE = 3 * SECOND,
      ASKS = 300 * MS;
  private static final QuotaTimings RULES = new QuotaTimings(2 * SECOND, 8 * SECOND, 1000, 0.125);
  private static final double SLACK = 1e-6;

  /** A bar that was missed. */
  static final class Missed extends RuntimeException {
    Missed(String what) {
      super(what);
    }
  }

  private final SplittableRandom chance;
  private final VirtualScheduler agenda = new VirtualScheduler(START);
  private final Consumer<String> story;
  private final List<Planner> planners = new ArrayList<>();
  private final List<Forwarder> forwarders = new ArrayList<>();
  private final double[] bounds = {100, 7};
  private final long busyUntil = START + BUSY;
  private long steps, grants, terms, above, handedOver, refused;
  // The registry's key: who holds it, under which term and revision, until when.
  private int holder = -1;
  private long term, changed, expiry;

  PlannersModel(long seed, Consumer<String> story) {
    chance = new SplittableRandom(seed);
    this.story = line -> story.accept((agenda.now() - START) / 1000 + " us: " + line);
    int many = 2 + chance.nextInt(2), served = 4 + chance.nextInt(8);
    for (int one = 0; one < many; one++) {
      planners.add(new Planner(one));
    }
    for (int one = 0; one < served; one++) {
      forwarders.add(new Forwarder(one));
    }
  }

  Map<String, Long> run() {
    planners.forEach(Planner::start);
    forwarders.forEach(Forwarder::start);
    agenda.at(START + chance.nextLong(SECOND), this::fault);
    while (agenda.step(busyUntil + CALM)) {
      steps++;
      check();
    }
    long granted = forwarders.stream().filter(one -> one.holding.isGranted(one.clock())).count();
    if (granted < forwarders.size()) {
      throw new Missed(
          "calm, and only "
              + granted
              + " of "
              + forwarders.size()
              + " are granted: "
              + planners.stream().map(one -> one.leadership.state()).toList());
    }
    return Map.of(
        "steps",
        steps,
        "grants",
        grants,
        "terms",
        terms,
        "above_usual",
        above,
        "handed_over",
        handedOver,
        "refused",
        refused);
  }

  private void check() {
    for (int resource = 0; resource < bounds.length; resource++) {
      double sum = 0;
      for (Forwarder one : forwarders) {
        sum += one.up ? one.holding.share(resource, one.clock()) : 0;
      }
      if (sum > bounds[resource] + SLACK) {
        throw new Missed(
            "resource " + resource + ": " + sum + " of " + bounds[resource] + " may be used");
      }
    }
    if (planners.stream().filter(one -> one.up && one.leadership.isLeader(one.clock())).count()
        > 1) {
      throw new Missed("two planners may grant");
    }
  }

  // ---- Clocks, messages, the registry.

  /** A process: with a clock of its own, and times at which it stands still. */
  private abstract class PlanningProcess extends VirtualProcess {
    PlanningProcess() {
      super(agenda, START, chance);
      up = true;
    }

    /** Has something arrive here: lost, late or twice, as it comes. */
    void arrive(Runnable what) {
      int kind = chance.nextInt(100);
      if (agenda.now() < busyUntil && kind < 5) {
        return;
      }
      long late =
          agenda.now() < busyUntil && kind < 12
              ? chance.nextLong(4 * SECOND)
              : chance.nextLong(MS, 20 * MS);
      at(agenda.now() + late, what);
      if (kind > 96) {
        at(agenda.now() + late + chance.nextLong(SECOND), what);
      }
    }

    /** Asks the registry, which does something; the answer may be lost on the way back. */
    void registry(Runnable there) {
      agenda.at(
          agenda.now() + chance.nextLong(MS, 10 * MS),
          () -> {
            if (chance.nextInt(20) > 0 || agenda.now() > busyUntil) {
              there.run();
            }
          });
    }
  }

  private void tell() {
    long ofTerm = term, at = changed;
    boolean held = holder >= 0;
    planners.forEach(
        one ->
            one.at(
                agenda.now() + chance.nextLong(MS, 50 * MS),
                () -> {
                  one.leadership.keyObserved(one.clock(), ofTerm, held, at);
                  one.arm();
                }));
  }

  private void expire(long of) {
    if (holder >= 0 && changed == of && agenda.now() >= expiry) {
      holder = -1;
      changed++;
      tell();
    }
  }

  private void lease() {
    expiry = agenda.now() + LEASE;
    long of = changed;
    agenda.at(expiry, () -> expire(of));
  }

  // ---- Processes.

  private final class Planner extends PlanningProcess implements RegistryLeadership.Commands {
    final int index;
    RegistryLeadership leadership;
    QuotaLedger ledger;
    double[][] wants;
    long ledgerTerm;

    Planner(int index) {
      this.index = index;
    }

    void start() {
      life++;
      up = true;
      ledger = null;
      ledgerTerm = 0;
      leadership = new RegistryLeadership(RULES.leaseTimings(LEASE), this, chance.nextLong());
      wants = new double[forwarders.size()][];
      long ofTerm = term, at = changed;
      boolean held = holder >= 0;
      leadership.keyObserved(clock(), ofTerm, held, at);
      arm();
    }

    void arm() {
      long due = leadership.nextTickNanos();
      if (due != Long.MAX_VALUE) {
        at(
            agenda.now() + Math.max(MS, due - clock()),
            () -> {
              leadership.tick(clock());
              arm();
            });
      }
    }

    @Override
    public void campaign(long asTerm, long seenChanged) {
      registry(
          () -> {
            boolean won = holder < 0 && changed == seenChanged && term + 1 == asTerm;
            if (won) {
              holder = index;
              term = asTerm;
              changed++;
              terms++;
              lease();
              story.accept("planner " + index + " holds the key under term " + term);
              tell();
            }
            at(
                agenda.now() + chance.nextLong(MS, 10 * MS),
                () -> {
                  if (won) {
                    leadership.campaignWon(clock(), asTerm);
                    askHandover(asTerm);
                  } else {
                    leadership.leaseLost(clock());
                  }
                  arm();
                });
          });
    }

    @Override
    public void keepAlive(long askedAt) {
      long of = leadership.term();
      boolean[] heard = {false};
      registry(
          () -> {
            boolean kept = holder == index && term == of;
            if (kept) {
              lease();
            }
            at(
                agenda.now() + chance.nextLong(MS, 10 * MS),
                () -> {
                  heard[0] = true;
                  if (kept) {
                    leadership.leaseRenewed(clock(), askedAt);
                  } else {
                    leadership.leaseLost(clock());
                  }
                  arm();
                });
          });
      at(
          agenda.now() + LEASE / 6,
          () -> {
            if (!heard[0] && leadership.term() == of) {
              leadership.renewalUnanswered(clock());
              arm();
            }
          });
    }

    @Override
    public void resign() {
      long of = leadership.term();
      registry(
          () -> {
            if (holder == index && term == of) {
              holder = -1;
              changed++;
              tell();
            }
          });
    }

    /** Asks the planner before for what it granted; it answers once it has stopped. */
    private void askHandover(long asTerm) {
      long askedAt = clock();
      for (Planner other : planners) {
        if (other != this) {
          other.arrive(
              () -> {
                if (other.leadership.state() == Leadership.State.RESIGNED
                    && other.ledger != null
                    && other.ledgerTerm == asTerm - 1) {
                  List<QuotaLedger.OutstandingGrant> left =
                      other.ledger.outstandingGrants(other.clock());
                  arrive(
                      () -> {
                        if (leadership.state() == Leadership.State.WAITING
                            && leadership.term() == asTerm) {
                          ledger =
                              QuotaLedger.succeeding(
                                  RULES, asTerm, bounds, forwarders.size(), left, askedAt, clock());
                          ledgerTerm = asTerm;
                          leadership.predecessorStopped(clock(), asTerm - 1);
                          handedOver++;
                          arm();
                        }
                      });
                }
              });
        }
      }
    }

    void asked(Forwarder from, QuotaRequest ask) {
      wants[ask.member()] = ask.wanted();
      leadership.tick(clock());
      if (!leadership.isLeader(clock())) {
        return;
      }
      if (ledgerTerm != leadership.term()) {
        ledger = new QuotaLedger(RULES, leadership.term(), bounds, forwarders.size());
        ledgerTerm = leadership.term();
      }
      if (!ledger.requestReceived(ask)) {
        return;
      }
      double[] wished = new double[bounds.length];
      for (int resource = 0; resource < bounds.length; resource++) {
        double usual = bounds[resource] / wants.length;
        double[] wanted = new double[wants.length];
        for (int member = 0; member < wants.length; member++) {
          wanted[member] = wants[member] == null ? usual : wants[member][resource];
        }
        wished[resource] =
            MaxMinFairShare.of(bounds[resource], wanted, usual * RULES.minimumFraction())[
                ask.member()];
      }
      QuotaGrant grant = ledger.grant(clock(), ask, wished);
      if (grant != null) {
        grants++;
        above += grant.amounts()[0] > bounds[0] / wants.length ? 1 : 0;
        // It may stand still between deciding and sending.
        long still =
            chance.nextInt(50) == 0 && agenda.now() < busyUntil ? chance.nextLong(6 * SECOND) : 0;
        agenda.at(agenda.now() + still, () -> from.arrive(() -> from.granted(grant)));
      }
    }
  }

  private final class Forwarder extends PlanningProcess {
    final int index;
    QuotaHolder holding;

    Forwarder(int index) {
      this.index = index;
    }

    void start() {
      life++;
      up = true;
      double[] usual = new double[bounds.length];
      for (int resource = 0; resource < bounds.length; resource++) {
        usual[resource] = bounds[resource] / forwarders.size();
      }
      holding = new QuotaHolder(RULES, index, life, usual, clock());
      at(agenda.now() + chance.nextLong(ASKS), this::ask);
    }

    private void ask() {
      double[] wanted = new double[bounds.length];
      for (int resource = 0; resource < bounds.length; resource++) {
        wanted[resource] =
            chance.nextInt(3) == 0
                ? bounds[resource] * chance.nextDouble()
                : bounds[resource] / forwarders.size() * chance.nextDouble();
      }
      QuotaRequest ask = holding.nextRequest(clock(), wanted);
      planners.forEach(planner -> planner.arrive(() -> planner.asked(this, ask)));
      at(agenda.now() + ASKS, this::ask);
    }

    void granted(QuotaGrant grant) {
      QuotaHolder.GrantResult refusal = holding.apply(clock(), grant);
      refused += refusal == QuotaHolder.GrantResult.APPLIED ? 0 : 1;
      story.accept(
          "forwarder "
              + index
              + ": grant "
              + grant.term()
              + "/"
              + grant.number()
              + " "
              + grant.amounts()[0]
              + " "
              + refusal);
    }
  }

  // ---- What goes wrong.

  private void fault() {
    if (agenda.now() >= busyUntil) {
      return;
    }
    Planner planner = planners.get(chance.nextInt(planners.size()));
    Forwarder forwarder = forwarders.get(chance.nextInt(forwarders.size()));
    switch (chance.nextInt(6)) {
      case 0 -> {
        story.accept("planner " + planner.index + " is killed");
        planner.up = false;
        restart(planner, planner::start);
      }
      case 1, 2 -> {
        planner.frozenUntil = agenda.now() + chance.nextLong(8 * SECOND);
        story.accept(
            "planner "
                + planner.index
                + " stands still until "
                + (planner.frozenUntil - START) / 1000);
      }
      case 3 -> {
        if (planner.up && agenda.now() >= planner.frozenUntil) {
          story.accept("planner " + planner.index + " is told to stop");
          planner.leadership.resign(planner.clock());
          restart(
              planner,
              () -> {
                planner.up = false;
                planner.start();
              });
        }
      }
      case 4 -> {
        forwarder.up = false;
        restart(forwarder, forwarder::start);
      }
      default -> forwarder.frozenUntil = agenda.now() + chance.nextLong(3 * SECOND);
    }
    agenda.at(agenda.now() + chance.nextLong(4 * SECOND), this::fault);
  }

  private void restart(PlanningProcess process, Runnable start) {
    long of = process.life;
    agenda.at(
        agenda.now() + chance.nextLong(50 * MS, 5 * SECOND),
        () -> {
          if (process.life == of) {
            start.run();
          }
        });
  }
}
