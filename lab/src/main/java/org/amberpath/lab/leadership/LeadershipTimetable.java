package org.amberpath.lab.leadership;

import io.vertx.core.Vertx;
import java.util.SplittableRandom;
import org.amberpath.lab.EventLoopWaiter;
import org.amberpath.lab.registry.EndpointBehavior;
import org.amberpath.lab.registry.StandInRegistry;
import org.amberpath.lab.testbed.NetworkLinks.LinkCondition;
import org.amberpath.lab.testbed.ProcessTestbed;
import org.amberpath.lab.testbed.Timetable;

/**
 * Draws the faults of one leadership experiment. Half of the faults target the current leader,
 * which is determined when the fault begins. The drawn durations do not overlap, so that a majority
 * of voters keeps running.
 */
final class LeadershipTimetable {
  private static final long FIRST_MILLIS = 500;
  private static final long MIN_FAULT_MILLIS = 500;
  private static final long MAX_FAULT_MILLIS = 7000;
  private static final long MIN_TERMINATION_MILLIS = 3000;
  private static final long MIN_INTERVAL_MILLIS = 500;
  private static final long MAX_INTERVAL_MILLIS = 4000;
  private static final int FAULT_KINDS = 8;
  private static final int EDGE_CACHES = 8;
  private static final LinkCondition LOSSY_AND_SLOW = new LinkCondition(false, 0.2, 0.1, 3000);

  /**
   * Target of one fault.
   *
   * @param drawnGateway the index of the gateway that was drawn
   * @param endpoint the index of the registry endpoint that was drawn
   * @param targetsLeader whether the fault targets the current leader, if one is known, instead of
   *     the gateway that was drawn
   */
  private record Target(int drawnGateway, int endpoint, boolean targetsLeader) {
    @Override
    public String toString() {
      return targetsLeader ? "the leader" : "g" + drawnGateway;
    }
  }

  private final Timetable timetable = new Timetable();
  private final SplittableRandom random;
  private final ProcessTestbed testbed;
  private final Vertx vertx;
  private final StandInRegistry registry;
  private final PurgeFenceObserver observer;
  private final int gateways;
  private long callsToHungCaches;

  LeadershipTimetable(
      SplittableRandom random,
      ProcessTestbed testbed,
      Vertx vertx,
      StandInRegistry registry,
      PurgeFenceObserver observer) {
    this.random = random;
    this.testbed = testbed;
    this.vertx = vertx;
    this.registry = registry;
    this.observer = observer;
    gateways = testbed.slots().size();
  }

  Timetable timetable() {
    return timetable;
  }

  /** Returns how many requests caches received while they hung. */
  long callsToHungCaches() {
    return callsToHungCaches;
  }

  /**
   * Draws the faults that begin within the given number of seconds, and sorts them into the steps
   * that the timetable already has.
   */
  void drawFaults(int seconds) {
    long atMillis = FIRST_MILLIS;
    while (atMillis < seconds * 1000L) {
      int drawnGateway = random.nextInt(gateways);
      int endpoint = random.nextInt(gateways) % registry.endpoints().size();
      Target target = new Target(drawnGateway, endpoint, random.nextBoolean());
      long durationMillis = random.nextLong(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS);
      addFault(atMillis, durationMillis, target);
      atMillis += durationMillis + random.nextLong(MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS);
    }
    timetable.sort();
  }

  private void addFault(long atMillis, long durationMillis, Target target) {
    switch (random.nextInt(FAULT_KINDS)) {
      case 0 -> addKill(atMillis, durationMillis, target);
      case 1 ->
          timetable.addFault(
              atMillis,
              durationMillis,
              "pause " + target,
              () -> testbed.pause(resolveGateway(target), durationMillis),
              () -> {});
      case 2 -> addTermination(atMillis, Math.max(durationMillis, MIN_TERMINATION_MILLIS), target);
      case 3 ->
          timetable.addFault(
              atMillis,
              durationMillis,
              "cut off " + target,
              () -> cutOff(resolveGateway(target)),
              () -> testbed.setAllLinks(LinkCondition.HEALTHY));
      case 4 ->
          timetable.addFault(
              atMillis,
              durationMillis,
              "lossy, delays of up to 3 s",
              () -> testbed.setAllLinks(LOSSY_AND_SLOW),
              () -> testbed.setAllLinks(LinkCondition.HEALTHY));
      case 5, 6 -> addHang(atMillis, durationMillis, "e" + random.nextInt(EDGE_CACHES));
      default -> addSilence(atMillis, durationMillis, target.endpoint);
    }
  }

  private void addSilence(long atMillis, long durationMillis, int endpoint) {
    timetable.addFault(
        atMillis,
        durationMillis,
        "endpoint " + endpoint + " does not answer",
        () -> setBehavior(endpoint, EndpointBehavior.SILENT),
        () -> setBehavior(endpoint, EndpointBehavior.ANSWERS));
  }

  private int resolveGateway(Target target) {
    String leader = observer.leader();
    return target.targetsLeader && !leader.isEmpty()
        ? Integer.parseInt(leader.substring(1))
        : target.drawnGateway;
  }

  private void addKill(long atMillis, long durationMillis, Target target) {
    int[] killed = new int[1];
    timetable.addFault(
        atMillis,
        durationMillis,
        "kill " + target,
        () -> {
          killed[0] = resolveGateway(target);
          testbed.kill(killed[0]);
        },
        () -> testbed.start(killed[0]));
  }

  private void addTermination(long atMillis, long durationMillis, Target target) {
    int[] terminated = new int[1];
    timetable.addFault(
        atMillis,
        durationMillis,
        "terminate " + target,
        () -> {
          terminated[0] = resolveGateway(target);
          EventLoopWaiter.runOnLoop(
              vertx, () -> observer.terminationRequested("g" + terminated[0]));
          testbed.terminate(terminated[0]);
        },
        () -> {
          testbed.awaitExit(terminated[0]);
          testbed.start(terminated[0]);
        });
  }

  private void cutOff(int gateway) throws Exception {
    for (int other = 0; other < gateways; other++) {
      testbed.setLink(gateway, other, LinkCondition.CUT);
      if (other % 2 == 0 || random.nextBoolean()) {
        testbed.setLink(other, gateway, LinkCondition.CUT);
      }
    }
  }

  private void addHang(long atMillis, long durationMillis, String cache) {
    long[] callsBefore = new long[1];
    timetable.addFault(
        atMillis,
        durationMillis,
        cache + " hangs",
        () -> {
          testbed.hangCache(cache);
          callsBefore[0] = testbed.cacheRequestCount(cache);
        },
        () -> {
          callsToHungCaches += testbed.cacheRequestCount(cache) - callsBefore[0];
          testbed.resumeCache(cache);
        });
    if (random.nextBoolean()) {
      timetable.add(atMillis + durationMillis / 2, "change discovery", testbed::changeDiscovery);
    }
  }

  private void setBehavior(int endpoint, EndpointBehavior behavior) throws Exception {
    EventLoopWaiter.runOnLoop(
        vertx, () -> registry.endpoints().get(endpoint).setBehavior(behavior));
  }
}
