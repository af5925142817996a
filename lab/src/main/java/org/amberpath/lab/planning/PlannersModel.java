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
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
  private static final long EPOCH_NANOS = 1_700_000_000L * NANOS_PER_SECOND;
  private static final long FAULT_PERIOD_NANOS = 60 * NANOS_PER_SECOND;
  private static final long CALM_PERIOD_NANOS = 20 * NANOS_PER_SECOND;
  private static final long LEASE_NANOS = 3 * NANOS_PER_SECOND;
  private static final long REQUEST_INTERVAL_NANOS = 300 * NANOS_PER_MILLI;
  private static final QuotaTimings TIMINGS =
      new QuotaTimings(2 * NANOS_PER_SECOND, 8 * NANOS_PER_SECOND, 1000, 0.125);
  private static final double ROUNDING = 1e-6;

  /** A bar that was missed. */
  static final class InvariantViolation extends RuntimeException {
    InvariantViolation(String message) {
      super(message);
    }
  }

  private final SplittableRandom random;
  private final VirtualScheduler scheduler = new VirtualScheduler(EPOCH_NANOS);
  private final Consumer<String> trace;
  private final List<Planner> planners = new ArrayList<>();
  private final List<Forwarder> forwarders = new ArrayList<>();
  private final double[] bounds = {100, 7};
  private final long faultsUntilNanos = EPOCH_NANOS + FAULT_PERIOD_NANOS;
  private long steps;
  private long grants;
  private long terms;
  private long grantsAboveEqualShare;
  private long handovers;
  private long rejectedGrants;
  // The registry's key: who holds it, under which term and revision, until when.
  private int keyHolder = -1;
  private long keyTerm;
  private long keyModRevision;
  private long leaseExpiresAtNanos;

  PlannersModel(long seed, Consumer<String> trace) {
    random = new SplittableRandom(seed);
    this.trace = line -> trace.accept((scheduler.nowNanos() - EPOCH_NANOS) / 1000 + " us: " + line);
    int plannerCount = 2 + random.nextInt(2);
    int forwarderCount = 4 + random.nextInt(8);
    for (int index = 0; index < plannerCount; index++) {
      planners.add(new Planner(index));
    }
    for (int index = 0; index < forwarderCount; index++) {
      forwarders.add(new Forwarder(index));
    }
  }

  Map<String, Long> run() {
    planners.forEach(Planner::restart);
    forwarders.forEach(Forwarder::restart);
    scheduler.schedule(EPOCH_NANOS + random.nextLong(NANOS_PER_SECOND), this::injectFault);
    while (scheduler.runNext(faultsUntilNanos + CALM_PERIOD_NANOS)) {
      steps++;
      checkInvariants();
    }
    long granted =
        forwarders.stream()
            .filter(process -> process.quotaHolder.isGranted(process.localNanos()))
            .count();
    if (granted < forwarders.size()) {
      throw new InvariantViolation(
          "calm, and only "
              + granted
              + " of "
              + forwarders.size()
              + " are granted: "
              + planners.stream().map(process -> process.leadership.state()).toList());
    }
    return Map.of(
        "steps",
        steps,
        "grants",
        grants,
        "terms",
        terms,
        "above_usual",
        grantsAboveEqualShare,
        "handed_over",
        handovers,
        "refused",
        rejectedGrants);
  }

  private void checkInvariants() {
    for (int resource = 0; resource < bounds.length; resource++) {
      double sum = 0;
      for (Forwarder forwarder : forwarders) {
        sum +=
            forwarder.running ? forwarder.quotaHolder.share(resource, forwarder.localNanos()) : 0;
      }
      if (sum > bounds[resource] + ROUNDING) {
        throw new InvariantViolation(
            "resource " + resource + ": " + sum + " of " + bounds[resource] + " may be used");
      }
    }
    if (planners.stream()
            .filter(
                forwarder ->
                    forwarder.running && forwarder.leadership.isLeader(forwarder.localNanos()))
            .count()
        > 1) {
      throw new InvariantViolation("two planners may grant");
    }
  }

  // ---- Clocks, messages, the registry.

  /** A process: with a clock of its own, and times at which it stands still. */
  private abstract class PlanningProcess extends VirtualProcess {
    PlanningProcess() {
      super(scheduler, EPOCH_NANOS, random);
      running = true;
    }

    /** Has something arrive here: lost, late or twice, as it comes. */
    void deliver(Runnable task) {
      int draw = random.nextInt(100);
      if (scheduler.nowNanos() < faultsUntilNanos && draw < 5) {
        return;
      }
      long arrivesAfterNanos =
          scheduler.nowNanos() < faultsUntilNanos && draw < 12
              ? random.nextLong(4 * NANOS_PER_SECOND)
              : random.nextLong(NANOS_PER_MILLI, 20 * NANOS_PER_MILLI);
      schedule(scheduler.nowNanos() + arrivesAfterNanos, task);
      if (draw > 96) {
        schedule(
            scheduler.nowNanos() + arrivesAfterNanos + random.nextLong(NANOS_PER_SECOND), task);
      }
    }

    /** Asks the registry, which does something; the answer may be lost on the way back. */
    void atRegistry(Runnable request) {
      scheduler.schedule(
          scheduler.nowNanos() + random.nextLong(NANOS_PER_MILLI, 10 * NANOS_PER_MILLI),
          () -> {
            if (random.nextInt(20) > 0 || scheduler.nowNanos() > faultsUntilNanos) {
              request.run();
            }
          });
    }
  }

  private void notifyPlanners() {
    long term = keyTerm;
    long modRevision = keyModRevision;
    boolean isHeld = keyHolder >= 0;
    planners.forEach(
        planner ->
            planner.schedule(
                scheduler.nowNanos() + random.nextLong(NANOS_PER_MILLI, 50 * NANOS_PER_MILLI),
                () -> {
                  planner.leadership.keyObserved(planner.localNanos(), term, isHeld, modRevision);
                  planner.scheduleTick();
                }));
  }

  private void expireLease(long modRevision) {
    if (keyHolder >= 0
        && keyModRevision == modRevision
        && scheduler.nowNanos() >= leaseExpiresAtNanos) {
      keyHolder = -1;
      keyModRevision++;
      notifyPlanners();
    }
  }

  private void extendLease() {
    leaseExpiresAtNanos = scheduler.nowNanos() + LEASE_NANOS;
    long modRevision = keyModRevision;
    scheduler.schedule(leaseExpiresAtNanos, () -> expireLease(modRevision));
  }

  // ---- Processes.

  private final class Planner extends PlanningProcess implements RegistryLeadership.Commands {
    final int index;
    RegistryLeadership leadership;
    QuotaLedger ledger;
    double[][] wantedByMember;
    long ledgerTerm;

    Planner(int index) {
      this.index = index;
    }

    void restart() {
      incarnation++;
      running = true;
      ledger = null;
      ledgerTerm = 0;
      leadership =
          new RegistryLeadership(TIMINGS.leaseTimings(LEASE_NANOS), this, random.nextLong());
      wantedByMember = new double[forwarders.size()][];
      long term = keyTerm;
      long modRevision = keyModRevision;
      boolean isHeld = keyHolder >= 0;
      leadership.keyObserved(localNanos(), term, isHeld, modRevision);
      scheduleTick();
    }

    void scheduleTick() {
      long dueNanos = leadership.nextTickNanos();
      if (dueNanos != Long.MAX_VALUE) {
        schedule(
            scheduler.nowNanos() + Math.max(NANOS_PER_MILLI, dueNanos - localNanos()),
            () -> {
              leadership.tick(localNanos());
              scheduleTick();
            });
      }
    }

    @Override
    public void campaign(long candidateTerm, long seenModRevision) {
      atRegistry(
          () -> {
            boolean granted =
                keyHolder < 0 && keyModRevision == seenModRevision && keyTerm + 1 == candidateTerm;
            if (granted) {
              keyHolder = index;
              keyTerm = candidateTerm;
              keyModRevision++;
              terms++;
              extendLease();
              trace.accept("planner " + index + " holds the key under term " + keyTerm);
              notifyPlanners();
            }
            schedule(
                scheduler.nowNanos() + random.nextLong(NANOS_PER_MILLI, 10 * NANOS_PER_MILLI),
                () -> {
                  if (granted) {
                    leadership.campaignWon(localNanos(), candidateTerm);
                    requestHandover(candidateTerm);
                  } else {
                    leadership.leaseLost(localNanos());
                  }
                  scheduleTick();
                });
          });
    }

    @Override
    public void keepAlive(long requestedAtNanos) {
      long term = leadership.term();
      boolean[] answered = {false};
      atRegistry(
          () -> {
            boolean renewed = keyHolder == index && keyTerm == term;
            if (renewed) {
              extendLease();
            }
            schedule(
                scheduler.nowNanos() + random.nextLong(NANOS_PER_MILLI, 10 * NANOS_PER_MILLI),
                () -> {
                  answered[0] = true;
                  if (renewed) {
                    leadership.leaseRenewed(localNanos(), requestedAtNanos);
                  } else {
                    leadership.leaseLost(localNanos());
                  }
                  scheduleTick();
                });
          });
      schedule(
          scheduler.nowNanos() + LEASE_NANOS / 6,
          () -> {
            if (!answered[0] && leadership.term() == term) {
              leadership.renewalUnanswered(localNanos());
              scheduleTick();
            }
          });
    }

    @Override
    public void resign() {
      long term = leadership.term();
      atRegistry(
          () -> {
            if (keyHolder == index && keyTerm == term) {
              keyHolder = -1;
              keyModRevision++;
              notifyPlanners();
            }
          });
    }

    /** Asks the planner before for what it granted; it answers once it has stopped. */
    private void requestHandover(long candidateTerm) {
      long requestedAtNanos = localNanos();
      for (Planner other : planners) {
        if (other != this) {
          other.deliver(
              () -> {
                if (other.leadership.state() == Leadership.State.RESIGNED
                    && other.ledger != null
                    && other.ledgerTerm == candidateTerm - 1) {
                  List<QuotaLedger.OutstandingGrant> outstanding =
                      other.ledger.outstandingGrants(other.localNanos());
                  deliver(
                      () -> {
                        if (leadership.state() == Leadership.State.WAITING
                            && leadership.term() == candidateTerm) {
                          ledger =
                              QuotaLedger.succeeding(
                                  TIMINGS,
                                  candidateTerm,
                                  bounds,
                                  forwarders.size(),
                                  outstanding,
                                  requestedAtNanos,
                                  localNanos());
                          ledgerTerm = candidateTerm;
                          leadership.predecessorStopped(localNanos(), candidateTerm - 1);
                          handovers++;
                          scheduleTick();
                        }
                      });
                }
              });
        }
      }
    }

    void requestReceived(Forwarder forwarder, QuotaRequest request) {
      wantedByMember[request.member()] = request.wanted();
      leadership.tick(localNanos());
      if (!leadership.isLeader(localNanos())) {
        return;
      }
      if (ledgerTerm != leadership.term()) {
        ledger = new QuotaLedger(TIMINGS, leadership.term(), bounds, forwarders.size());
        ledgerTerm = leadership.term();
      }
      if (!ledger.requestReceived(request)) {
        return;
      }
      double[] fairShares = new double[bounds.length];
      for (int resource = 0; resource < bounds.length; resource++) {
        double equalShare = bounds[resource] / wantedByMember.length;
        double[] wanted = new double[wantedByMember.length];
        for (int member = 0; member < wantedByMember.length; member++) {
          wanted[member] =
              wantedByMember[member] == null ? equalShare : wantedByMember[member][resource];
        }
        fairShares[resource] =
            MaxMinFairShare.of(bounds[resource], wanted, equalShare * TIMINGS.minimumFraction())[
                request.member()];
      }
      QuotaGrant grant = ledger.grant(localNanos(), request, fairShares);
      if (grant != null) {
        grants++;
        grantsAboveEqualShare += grant.amounts()[0] > bounds[0] / wantedByMember.length ? 1 : 0;
        // It may stand still between deciding and sending.
        long pauseNanos =
            random.nextInt(50) == 0 && scheduler.nowNanos() < faultsUntilNanos
                ? random.nextLong(6 * NANOS_PER_SECOND)
                : 0;
        scheduler.schedule(
            scheduler.nowNanos() + pauseNanos,
            () -> forwarder.deliver(() -> forwarder.grantReceived(grant)));
      }
    }
  }

  private final class Forwarder extends PlanningProcess {
    final int index;
    QuotaHolder quotaHolder;

    Forwarder(int index) {
      this.index = index;
    }

    void restart() {
      incarnation++;
      running = true;
      double[] equalShare = new double[bounds.length];
      for (int resource = 0; resource < bounds.length; resource++) {
        equalShare[resource] = bounds[resource] / forwarders.size();
      }
      quotaHolder = new QuotaHolder(TIMINGS, index, incarnation, equalShare, localNanos());
      schedule(scheduler.nowNanos() + random.nextLong(REQUEST_INTERVAL_NANOS), this::sendRequest);
    }

    private void sendRequest() {
      double[] wanted = new double[bounds.length];
      for (int resource = 0; resource < bounds.length; resource++) {
        wanted[resource] =
            random.nextInt(3) == 0
                ? bounds[resource] * random.nextDouble()
                : bounds[resource] / forwarders.size() * random.nextDouble();
      }
      QuotaRequest request = quotaHolder.nextRequest(localNanos(), wanted);
      planners.forEach(planner -> planner.deliver(() -> planner.requestReceived(this, request)));
      schedule(scheduler.nowNanos() + REQUEST_INTERVAL_NANOS, this::sendRequest);
    }

    void grantReceived(QuotaGrant grant) {
      QuotaHolder.GrantResult result = quotaHolder.apply(localNanos(), grant);
      rejectedGrants += result == QuotaHolder.GrantResult.APPLIED ? 0 : 1;
      trace.accept(
          "forwarder "
              + index
              + ": grant "
              + grant.term()
              + "/"
              + grant.number()
              + " "
              + grant.amounts()[0]
              + " "
              + result);
    }
  }

  // ---- What goes wrong.

  private void injectFault() {
    if (scheduler.nowNanos() >= faultsUntilNanos) {
      return;
    }
    Planner planner = planners.get(random.nextInt(planners.size()));
    Forwarder forwarder = forwarders.get(random.nextInt(forwarders.size()));
    switch (random.nextInt(6)) {
      case 0 -> {
        trace.accept("planner " + planner.index + " is killed");
        planner.running = false;
        restartLater(planner, planner::restart);
      }
      case 1, 2 -> {
        planner.pausedUntilNanos = scheduler.nowNanos() + random.nextLong(8 * NANOS_PER_SECOND);
        trace.accept(
            "planner "
                + planner.index
                + " stands still until "
                + (planner.pausedUntilNanos - EPOCH_NANOS) / 1000);
      }
      case 3 -> {
        if (planner.running && scheduler.nowNanos() >= planner.pausedUntilNanos) {
          trace.accept("planner " + planner.index + " is told to stop");
          planner.leadership.resign(planner.localNanos());
          restartLater(
              planner,
              () -> {
                planner.running = false;
                planner.restart();
              });
        }
      }
      case 4 -> {
        forwarder.running = false;
        restartLater(forwarder, forwarder::restart);
      }
      default ->
          forwarder.pausedUntilNanos = scheduler.nowNanos() + random.nextLong(3 * NANOS_PER_SECOND);
    }
    scheduler.schedule(
        scheduler.nowNanos() + random.nextLong(4 * NANOS_PER_SECOND), this::injectFault);
  }

  private void restartLater(PlanningProcess process, Runnable start) {
    long modRevision = process.incarnation;
    scheduler.schedule(
        scheduler.nowNanos() + random.nextLong(50 * NANOS_PER_MILLI, 5 * NANOS_PER_SECOND),
        () -> {
          if (process.incarnation == modRevision) {
            start.run();
          }
        });
  }
}
