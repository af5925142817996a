package org.amberpath.lab.planning;

import java.util.List;
import java.util.SplittableRandom;
import org.amberpath.lab.simulation.LeaseKey;
import org.amberpath.lab.simulation.LeaseKeyClient;
import org.amberpath.lab.simulation.SimulatedProcess;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.leadership.Leadership;
import org.amberpath.leadership.RegistryLeadership;
import org.amberpath.planning.MaxMinFairShare;
import org.amberpath.planning.QuotaGrant;
import org.amberpath.planning.QuotaLedger;
import org.amberpath.planning.QuotaRequest;

/** Simulated planner, which grants quotas while it holds the registry's lease. */
final class SimulatedPlanner extends SimulatedProcess {
  private static final int PAUSE_BEFORE_SEND_ONE_IN = 50;
  private static final long MAX_PAUSE_NANOS = 6 * Simulation.NANOS_PER_SECOND;

  private final PlannersModel model;
  private final Simulation simulation;
  private final int index;
  private final KeyClient keyClient;
  private RegistryLeadership leadership;
  private QuotaLedger ledger;
  private double[][] wantedByMember;
  private long ledgerTerm;

  SimulatedPlanner(PlannersModel model, int index) {
    super(model.simulation());
    this.model = model;
    simulation = model.simulation();
    this.index = index;
    keyClient = new KeyClient();
  }

  int index() {
    return index;
  }

  RegistryLeadership leadership() {
    return leadership;
  }

  boolean mayGrant() {
    return isRunning() && leadership.isLeader(localNanos());
  }

  /** Starts the process without any state of earlier incarnations. */
  void restart() {
    beginIncarnation();
    ledger = null;
    ledgerTerm = 0;
    leadership =
        new RegistryLeadership(
            PlannersModel.TIMINGS.leaseTimings(PlannersModel.LEASE_NANOS),
            keyClient,
            simulation.random().nextLong());
    wantedByMember = new double[model.forwarderCount()][];
    keyObserved(model.key().observe());
  }

  /** Handles the state of the registry's key: the one read at the start, or a change of it. */
  void keyObserved(LeaseKey.KeyState observed) {
    leadership.keyObserved(localNanos(), observed.term(), observed.held(), observed.modRevision());
    scheduleTick();
  }

  private void scheduleTick() {
    long dueNanos = leadership.nextTickNanos();
    if (dueNanos != Long.MAX_VALUE) {
      scheduleAfter(
          Math.max(Simulation.NANOS_PER_MILLI, dueNanos - localNanos()),
          () -> {
            leadership.tick(localNanos());
            scheduleTick();
          });
    }
  }

  /**
   * Requests the outstanding grants from all other planners; only the previous leader answers, and
   * only once it has resigned.
   */
  private void requestHandover(long ownTerm) {
    long requestedAtNanos = localNanos();
    for (SimulatedPlanner other : model.planners()) {
      if (other != this) {
        model
            .messages()
            .deliver(other, () -> other.handoverRequested(this, ownTerm, requestedAtNanos));
      }
    }
  }

  private void handoverRequested(SimulatedPlanner successor, long term, long requestedAtNanos) {
    if (leadership.state() == Leadership.State.RESIGNED
        && ledger != null
        && ledgerTerm == term - 1) {
      List<QuotaLedger.OutstandingGrant> outstanding = ledger.outstandingGrants(localNanos());
      model
          .messages()
          .deliver(
              successor, () -> successor.handoverReceived(term, outstanding, requestedAtNanos));
    }
  }

  private void handoverReceived(
      long term, List<QuotaLedger.OutstandingGrant> outstanding, long requestedAtNanos) {
    if (leadership.state() == Leadership.State.WAITING && leadership.term() == term) {
      ledger =
          QuotaLedger.succeeding(
              PlannersModel.TIMINGS,
              term,
              model.bounds(),
              model.forwarderCount(),
              new QuotaLedger.Handover(outstanding, requestedAtNanos, localNanos()));
      ledgerTerm = term;
      leadership.predecessorStopped(localNanos(), term - 1);
      model.figures().handedOver();
      scheduleTick();
    }
  }

  void requestReceived(SimulatedForwarder forwarder, QuotaRequest request) {
    wantedByMember[request.member()] = request.wanted();
    leadership.tick(localNanos());
    if (!leadership.isLeader(localNanos())) {
      return;
    }
    if (ledgerTerm != leadership.term()) {
      ledger =
          new QuotaLedger(
              PlannersModel.TIMINGS, leadership.term(), model.bounds(), model.forwarderCount());
      ledgerTerm = leadership.term();
    }
    if (!ledger.requestReceived(request)) {
      return;
    }
    QuotaGrant grant = ledger.grant(localNanos(), request, fairShares(request.member()));
    if (grant != null) {
      send(grant, forwarder);
    }
  }

  /**
   * Returns the max-min fair share of one member for each resource, given what all members want; a
   * member that has sent no request counts as wanting an equal share.
   */
  private double[] fairShares(int ofMember) {
    double[] bounds = model.bounds();
    double[] fairShares = new double[bounds.length];
    for (int resource = 0; resource < bounds.length; resource++) {
      double equalShare = bounds[resource] / wantedByMember.length;
      double[] wanted = new double[wantedByMember.length];
      for (int member = 0; member < wantedByMember.length; member++) {
        wanted[member] =
            wantedByMember[member] == null ? equalShare : wantedByMember[member][resource];
      }
      double minimum = equalShare * PlannersModel.TIMINGS.minimumFraction();
      fairShares[resource] = MaxMinFairShare.of(bounds[resource], wanted, minimum)[ofMember];
    }
    return fairShares;
  }

  private void send(QuotaGrant grant, SimulatedForwarder forwarder) {
    model.figures().granted();
    if (grant.amounts()[0] > model.bounds()[0] / wantedByMember.length) {
      model.figures().grantedAboveEqualShare();
    }
    // The planner may be paused between deciding and sending.
    SplittableRandom random = simulation.random();
    long pauseNanos =
        random.nextInt(PAUSE_BEFORE_SEND_ONE_IN) == 0 && simulation.faultsActive()
            ? random.nextLong(MAX_PAUSE_NANOS)
            : 0;
    simulation.after(
        pauseNanos,
        () -> model.messages().deliver(forwarder, () -> forwarder.grantReceived(grant)));
  }

  private final class KeyClient extends LeaseKeyClient {
    KeyClient() {
      super(simulation, model.key(), SimulatedPlanner.this, index);
    }

    @Override
    protected RegistryLeadership leadership() {
      return leadership;
    }

    @Override
    protected void runResponseHandler(Runnable answer) {
      answer.run();
      scheduleTick();
    }

    @Override
    protected void timerChanged() {
      scheduleTick();
    }

    @Override
    protected boolean answersLaterIncarnations() {
      return true;
    }

    @Override
    protected void keyGranted(long term) {
      model.figures().termStarted();
      simulation.trace("planner " + index + " holds the key with term " + term);
    }

    @Override
    protected void campaignWon(long term) {
      requestHandover(term);
    }
  }
}
