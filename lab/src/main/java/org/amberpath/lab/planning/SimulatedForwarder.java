package org.amberpath.lab.planning;

import java.util.SplittableRandom;
import org.amberpath.lab.simulation.SimulatedProcess;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.planning.QuotaGrant;
import org.amberpath.planning.QuotaHolder;
import org.amberpath.planning.QuotaRequest;

/** Simulated forwarder, which requests its quota from all planners every 300 ms. */
final class SimulatedForwarder extends SimulatedProcess {
  private static final long REQUEST_INTERVAL_NANOS = 300 * Simulation.NANOS_PER_MILLI;
  private static final int LARGE_REQUEST_ONE_IN = 3;

  private final PlannersModel model;
  private final Simulation simulation;
  private final int index;
  private QuotaHolder quotaHolder;

  SimulatedForwarder(PlannersModel model, int index) {
    super(model.simulation());
    this.model = model;
    simulation = model.simulation();
    this.index = index;
  }

  /** Starts the process with an equal share of each resource. */
  void restart() {
    beginIncarnation();
    double[] bounds = model.bounds();
    double[] equalShare = new double[bounds.length];
    for (int resource = 0; resource < bounds.length; resource++) {
      equalShare[resource] = bounds[resource] / model.forwarderCount();
    }
    quotaHolder =
        new QuotaHolder(PlannersModel.TIMINGS, index, incarnation(), equalShare, localNanos());
    scheduleAfter(simulation.random().nextLong(REQUEST_INTERVAL_NANOS), this::sendRequest);
  }

  boolean isGranted() {
    return quotaHolder.isGranted(localNanos());
  }

  /** Returns the amount of a resource that the forwarder may use now; 0 while it is not running. */
  double usableAmount(int resource) {
    return isRunning() ? quotaHolder.share(resource, localNanos()) : 0;
  }

  private void sendRequest() {
    SplittableRandom random = simulation.random();
    double[] bounds = model.bounds();
    double[] wanted = new double[bounds.length];
    for (int resource = 0; resource < bounds.length; resource++) {
      wanted[resource] =
          random.nextInt(LARGE_REQUEST_ONE_IN) == 0
              ? bounds[resource] * random.nextDouble()
              : bounds[resource] / model.forwarderCount() * random.nextDouble();
    }
    QuotaRequest request = quotaHolder.nextRequest(localNanos(), wanted);
    model
        .planners()
        .forEach(
            planner ->
                model.messages().deliver(planner, () -> planner.requestReceived(this, request)));
    scheduleAfter(REQUEST_INTERVAL_NANOS, this::sendRequest);
  }

  void grantReceived(QuotaGrant grant) {
    QuotaHolder.GrantResult result = quotaHolder.apply(localNanos(), grant);
    if (result != QuotaHolder.GrantResult.APPLIED) {
      model.figures().grantRejected();
    }
    simulation.trace(
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
