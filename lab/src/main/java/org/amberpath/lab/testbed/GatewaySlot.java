package org.amberpath.lab.testbed;

import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.amberpath.lab.LoadGenerator;

/**
 * One gateway's place in a {@link ProcessTestbed}: its process, if one runs, its clients, and what
 * it said last. Changed on the testbed's event loop.
 */
public final class GatewaySlot {
  /** How long after a pause its process may still be late. */
  static final long WAKE_ALLOWANCE_NANOS = 1_000_000_000;

  /** How many load generators a process has: one of each traffic class. */
  private static final int GENERATORS_PER_PROCESS = 2;

  /** A time by nanoTime in which it could answer nobody; an end of 0 is not known yet. */
  private record AwayPeriod(long fromNanos, long toNanos) {
    private boolean isOpen() {
      return toNanos == 0;
    }
  }

  private final int index;
  private final String name;
  private final List<LoadGenerator> loadGenerators = new ArrayList<>();
  private final List<AwayPeriod> awayPeriods = new ArrayList<>();
  private GatewayProcess process;
  private volatile JsonObject view;
  private volatile long runningSinceNanos;
  private int adminPort;

  GatewaySlot(int index) {
    this.index = index;
    name = "g" + index;
  }

  int index() {
    return index;
  }

  /** The gateway's name in settings and views. */
  public String name() {
    return name;
  }

  /**
   * What the gateway's admin endpoint said last of the fleet; null while it does not run, or has
   * not answered yet.
   */
  public JsonObject view() {
    return view;
  }

  /** Whether a process runs and serves. */
  public boolean isRunning() {
    return runningSinceNanos != 0;
  }

  /** Since when it has been there after having been away, by nanoTime. */
  public long runningSinceNanos() {
    return runningSinceNanos;
  }

  /** Its process, or the last one; null before the first. */
  GatewayProcess process() {
    return process;
  }

  void launched(GatewayProcess started) {
    process = started;
  }

  int adminPort() {
    return adminPort;
  }

  void setAdminPort(int port) {
    adminPort = port;
  }

  void viewReceived(JsonObject received) {
    view = received;
  }

  /** The process serves. */
  void serving() {
    runningSinceNanos = System.nanoTime();
  }

  /** Ends the last time in which it was away. */
  void endAway() {
    if (!awayPeriods.isEmpty()) {
      int last = awayPeriods.size() - 1;
      awayPeriods.set(last, new AwayPeriod(awayPeriods.get(last).fromNanos, System.nanoTime()));
    }
  }

  /** It is away from now on; nothing changes if it is already. */
  void beginAway() {
    if (awayPeriods.isEmpty() || !awayPeriods.get(awayPeriods.size() - 1).isOpen()) {
      awayPeriods.add(new AwayPeriod(System.nanoTime(), 0));
    }
  }

  /** The process is paused for so long from now on. */
  void paused(long durationNanos) {
    long nowNanos = System.nanoTime();
    awayPeriods.add(new AwayPeriod(nowNanos, nowNanos + durationNanos + WAKE_ALLOWANCE_NANOS / 2));
    runningSinceNanos = nowNanos + durationNanos;
  }

  /** Its clients send nothing more, and it counts as not running. */
  void stopServing() {
    loadGenerators
        .subList(Math.max(0, loadGenerators.size() - GENERATORS_PER_PROCESS), loadGenerators.size())
        .forEach(LoadGenerator::stop);
    runningSinceNanos = 0;
    view = null;
  }

  /** Whether it was away at some time between two. */
  boolean wasAway(long fromNanos, long toNanos) {
    return awayPeriods.stream()
        .anyMatch(
            period ->
                period.fromNanos <= toNanos
                    && (period.isOpen() || fromNanos <= period.toNanos + WAKE_ALLOWANCE_NANOS));
  }

  /** The clients of all its processes. */
  List<LoadGenerator> loadGenerators() {
    return loadGenerators;
  }
}
