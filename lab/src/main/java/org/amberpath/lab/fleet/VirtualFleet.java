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
 * A fleet of simulated gateways on a virtual clock, each with the real request router, among
 * simulated edge caches, hubs and an origin, with clients that send on a schedule. Gateway 0 leads
 * the fleet's tasks, if any, for the complete run; whether leader election is correct is the
 * subject of another model. Each scenario is a subclass.
 *
 * <p>Bounds: the requests of one run, on average {@value #REQUESTS_PER_SECOND} per second and
 * gateway.
 */
public abstract class VirtualFleet {
  /** The mean request rate of the clients of one gateway, per second. */
  static final int REQUESTS_PER_SECOND = 10;

  /** The mean duration of one transfer at a cache, in seconds. */
  static final double WORK_SECONDS = 0.05;

  static final double REQUEST_KILOBYTES = 5000;
  private static final int HUB_COUNT = 2;
  private static final double TARGET_UTILIZATION = 0.55;
  private static final long MAX_START_DELAY_NANOS = 100 * Simulation.NANOS_PER_MILLI;
  private static final long MAX_ANNOUNCEMENT_DELAY_NANOS = 50 * Simulation.NANOS_PER_MILLI;

  /**
   * The parameters of a run.
   *
   * @param gateways how many gateways there are
   * @param edgeCaches how many edge caches there are
   * @param ledTasks the tasks that gateway 0 carries out for the fleet
   * @param openingPolicy how gateways admit requests after a power loss
   * @param originCapacity the capacity of the origin, as a fraction of that of all edge caches
   */
  public record Plan(
      long seed,
      int gateways,
      int edgeCaches,
      LedTasks ledTasks,
      OpeningPolicy openingPolicy,
      double originCapacity) {
    /**
     * Creates the plan of a fleet whose origin has the capacity of all edge caches, and whose
     * gateways admit all requests immediately after a power loss.
     */
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

  /** Creates a fleet whose run ends after the given number of seconds. */
  protected VirtualFleet(Plan plan, int durationSeconds) throws IOException {
    this.plan = plan;
    endNanos = atSecond(durationSeconds);
    figures = new FleetFigures(durationSeconds);
    random = new SplittableRandom(plan.seed());
    double edgeCapacity =
        plan.gateways()
            * REQUESTS_PER_SECOND
            * WORK_SECONDS
            / plan.edgeCaches()
            / TARGET_UTILIZATION;
    double totalEdgeCapacity = edgeCapacity * plan.edgeCaches();
    for (int index = 0; index < plan.edgeCaches(); index++) {
      addCache(LabSettings.EDGE, edgeCapacity);
    }
    for (int index = 0; index < HUB_COUNT; index++) {
      addCache(LabSettings.HUB, totalEdgeCapacity);
    }
    addCache(LabSettings.ORIGIN, totalEdgeCapacity * plan.originCapacity());
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

  /** Schedules the events of the scenario. */
  protected abstract void scheduleScenario();

  /** Returns the figures of the scenario by name. */
  protected abstract Map<String, Double> report();

  /** Called when a request has arrived at a cache that is not down. */
  protected void requestArrived(FleetCache cache) {}

  /** Runs the scenario to its end and returns its figures by name. */
  public final Map<String, Double> run() {
    for (FleetGateway gateway : gateways) {
      scheduler.scheduleAfter(
          random.nextLong(MAX_START_DELAY_NANOS),
          () -> {
            gateway.start();
            gateway.traffic().scheduleArrivals();
          });
    }
    scheduleScenario();
    scheduler.runUntil(endNanos);
    return report();
  }

  /** Converts a second of the run to a time of the virtual clock, in nanoseconds. */
  protected static long atSecond(int second) {
    return Simulation.EPOCH_NANOS + second * Simulation.NANOS_PER_SECOND;
  }

  /** Returns the parameters of the run. */
  protected final Plan plan() {
    return plan;
  }

  /** Returns the only random number generator of the run. */
  protected final SplittableRandom random() {
    return random;
  }

  /** Returns the scheduler with the virtual clock. */
  protected final VirtualScheduler scheduler() {
    return scheduler;
  }

  /** Returns the counters of the run. */
  protected final FleetFigures figures() {
    return figures;
  }

  /** Returns the edge caches, then the hubs, then the origin. Callers must not modify the list. */
  protected final List<FleetCache> caches() {
    return caches;
  }

  /** Returns all gateways. Callers must not modify the list. */
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

  /** Stores all parts of all objects in the hubs, as if the hubs had run for a long time. */
  protected final void fillHubs() {
    List<FleetCache> hubs = caches.subList(plan.edgeCaches(), plan.edgeCaches() + HUB_COUNT);
    long end = ObjectPopularity.key(ObjectPopularity.OBJECT_COUNT + 1L, 0);
    for (long key = ObjectPopularity.key(1, 0); key < end; key++) {
      for (FleetCache hub : hubs) {
        hub.store(key);
      }
    }
  }

  /**
   * Announces the state of a cache to all gateways, each of which receives it after a random delay.
   */
  protected final void announceEndpoint(int cache, EndpointState state, long startedAtNanos) {
    for (FleetGateway gateway : gateways) {
      scheduler.scheduleAfter(
          random.nextLong(MAX_ANNOUNCEMENT_DELAY_NANOS),
          () -> gateway.endpointChanged(caches.get(cache), state, startedAtNanos));
    }
  }
}
