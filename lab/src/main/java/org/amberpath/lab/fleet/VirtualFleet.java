package org.amberpath.lab.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.amberpath.lab.LabSettings;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.lab.simulation.VirtualScheduler;
import org.amberpath.routing.EndpointState;

/**
 * A fleet of gateways with the real decisions, on the virtual clock, among simulated caches, hubs
 * and an origin, and clients that send on a schedule. Tasks of the fleet, if any, are led by
 * gateway 0 all the time: whether leadership holds is another model's matter. A scenario is a
 * subclass.
 *
 * <p>Bounds: the requests of one run, at {@value #REQUESTS_PER_SECOND} a second and gateway.
 */
public abstract class VirtualFleet {
  /** The mean rate of one gateway's clients. */
  static final int REQUESTS_PER_SECOND = 10;

  /** The mean work of one transfer at a cache. */
  static final double WORK_SECONDS = 0.05;

  static final double REQUEST_KILOBYTES = 5000;
  private static final int HUB_COUNT = 2;
  private static final double UTILIZATION = 0.55;
  private static final long MAX_START_NANOS = 100 * Simulation.NANOS_PER_MILLI;
  private static final long MAX_ANNOUNCE_NANOS = 50 * Simulation.NANOS_PER_MILLI;

  /**
   * What is to be simulated.
   *
   * @param ledTasks what gateway 0 does for all
   * @param openingPolicy how gateways open after a power loss
   * @param originCapacity what the origin bears, as a part of all edge caches
   */
  public record Plan(
      long seed,
      int gateways,
      int edgeCaches,
      LedTasks ledTasks,
      OpeningPolicy openingPolicy,
      double originCapacity) {
    /** A fleet whose origin bears all, and whose gateways open at once. */
    public Plan(long seed, int gateways, int edgeCaches, LedTasks ledTasks) {
      this(seed, gateways, edgeCaches, ledTasks, OpeningPolicy.AT_ONCE, 1);
    }
  }

  private final Plan plan;
  private final SplittableRandom random;
  private final VirtualScheduler scheduler = new VirtualScheduler(Simulation.EPOCH_NANOS);
  private final ObjectPopularity popularity = new ObjectPopularity();
  private final FleetFigures figures;
  private final List<FleetCache> caches = new ArrayList<>();
  private final List<FleetGateway> gateways = new ArrayList<>();
  private final long endNanos;

  /** A fleet that runs for so many seconds. */
  protected VirtualFleet(Plan plan, int endSeconds) throws IOException {
    this.plan = plan;
    endNanos = atSecond(endSeconds);
    figures = new FleetFigures(endSeconds);
    random = new SplittableRandom(plan.seed());
    double edgeCapacity =
        plan.gateways() * REQUESTS_PER_SECOND * WORK_SECONDS / plan.edgeCaches() / UTILIZATION;
    double allCapacity = edgeCapacity * plan.edgeCaches();
    for (int index = 0; index < plan.edgeCaches(); index++) {
      addCache(LabSettings.EDGE, edgeCapacity);
    }
    for (int index = 0; index < HUB_COUNT; index++) {
      addCache(LabSettings.HUB, allCapacity);
    }
    addCache(LabSettings.ORIGIN, allCapacity * plan.originCapacity());
    for (int index = 0; index < plan.gateways(); index++) {
      gateways.add(
          new FleetGateway(
              this,
              index,
              LabSettings.options(random.nextLong(), null, plan.gateways()).routingConfig()));
    }
  }

  private void addCache(String kind, double capacity) {
    caches.add(new FleetCache(this, caches.size(), kind, capacity));
  }

  /** Schedules what happens in the scenario. */
  protected abstract void scheduleScenario();

  /** What the scenario reports, by name. */
  protected abstract Map<String, Double> report();

  /** A request has come to a cache. */
  protected void requestArrived(FleetCache cache) {}

  /** Runs it, and gives what the scenario reports. */
  public final Map<String, Double> run() {
    for (FleetGateway gateway : gateways) {
      scheduler.scheduleAfter(
          random.nextLong(MAX_START_NANOS),
          () -> {
            gateway.start();
            gateway.traffic().scheduleArrivals();
          });
    }
    scheduleScenario();
    scheduler.runUntil(endNanos);
    return report();
  }

  /** A second of the run, by the virtual clock. */
  protected static long atSecond(int second) {
    return Simulation.EPOCH_NANOS + second * Simulation.NANOS_PER_SECOND;
  }

  /** What is simulated. */
  protected final Plan plan() {
    return plan;
  }

  /** The one source of random numbers. */
  protected final SplittableRandom random() {
    return random;
  }

  /** The virtual clock. */
  protected final VirtualScheduler scheduler() {
    return scheduler;
  }

  /** What has been counted. */
  protected final FleetFigures figures() {
    return figures;
  }

  /** Edge caches, then hubs, then the origin; not to be changed. */
  protected final List<FleetCache> caches() {
    return caches;
  }

  /** All gateways; not to be changed. */
  protected final List<FleetGateway> gateways() {
    return gateways;
  }

  final FleetCache origin() {
    return caches.get(caches.size() - 1);
  }

  final ObjectPopularity popularity() {
    return popularity;
  }

  final long endNanos() {
    return endNanos;
  }

  /** Fills the hubs with all that there is: they have been there for long. */
  protected final void fillHubs() {
    List<FleetCache> hubs = caches.subList(plan.edgeCaches(), plan.edgeCaches() + HUB_COUNT);
    long end = ObjectPopularity.key(ObjectPopularity.OBJECTS + 1L, 0);
    for (long key = ObjectPopularity.key(1, 0); key < end; key++) {
      for (FleetCache hub : hubs) {
        hub.store(key);
      }
    }
  }

  /** Has all gateways hear of a cache's state, each in its own time. */
  protected final void announceEndpoint(int cache, EndpointState state, long startedAtNanos) {
    for (FleetGateway gateway : gateways) {
      scheduler.scheduleAfter(
          random.nextLong(MAX_ANNOUNCE_NANOS),
          () -> gateway.endpointChanged(caches.get(cache), state, startedAtNanos));
    }
  }
}
