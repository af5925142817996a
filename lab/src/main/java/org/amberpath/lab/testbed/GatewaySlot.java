package org.amberpath.lab.testbed;

import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.amberpath.lab.LoadGenerator;

/**
 * The position of one gateway in a {@link ProcessTestbed}: its present or last process, its load
 * generators, the periods in which it could not serve, and the last view of the fleet that its
 * admin endpoint reported. Modified on the testbed's event loop.
 */
public final class GatewaySlot {
  /** How long after a pause a process may still respond late. */
  static final long RESUME_ALLOWANCE_NANOS = 1_000_000_000;

  /** How many load generators each process has: one per traffic class. */
  private static final int GENERATORS_PER_PROCESS = 2;

  /**
   * A period ({@link System#nanoTime}) in which the gateway could not serve; an end of 0 means that
   * the period has not ended.
   */
  private record UnavailablePeriod(long fromNanos, long toNanos) {
    private boolean isOpen() {
      return toNanos == 0;
    }
  }

  private final int index;
  private final String name;
  private final List<LoadGenerator> loadGenerators = new ArrayList<>();
  private final List<UnavailablePeriod> unavailablePeriods = new ArrayList<>();
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

  /** Returns the name of the gateway in its settings and in the views of other gateways. */
  public String name() {
    return name;
  }

  /**
   * Returns the last page {@code /fleet} of the gateway's admin endpoint; null while no process
   * serves or the endpoint has not answered yet.
   */
  public JsonObject view() {
    return view;
  }

  /** Returns whether a process runs and serves. */
  public boolean isRunning() {
    return runningSinceNanos != 0;
  }

  /**
   * Returns the time ({@link System#nanoTime}) of the last start of serving or end of a pause;
   * while a pause lasts, its planned end; 0 if no process serves.
   */
  public long runningSinceNanos() {
    return runningSinceNanos;
  }

  /** Returns the present or last process; null before the first. */
  GatewayProcess process() {
    return process;
  }

  void setProcess(GatewayProcess started) {
    process = started;
  }

  int adminPort() {
    return adminPort;
  }

  void setAdminPort(int port) {
    adminPort = port;
  }

  void setView(JsonObject received) {
    view = received;
  }

  /** Called when the process has started to serve. */
  void onServing() {
    runningSinceNanos = System.nanoTime();
  }

  /** Ends the last period in which the gateway could not serve. */
  void endUnavailability() {
    if (!unavailablePeriods.isEmpty()) {
      int last = unavailablePeriods.size() - 1;
      unavailablePeriods.set(
          last, new UnavailablePeriod(unavailablePeriods.get(last).fromNanos, System.nanoTime()));
    }
  }

  /** Starts a period in which the gateway cannot serve, unless one has already started. */
  void beginUnavailability() {
    if (unavailablePeriods.isEmpty()
        || !unavailablePeriods.get(unavailablePeriods.size() - 1).isOpen()) {
      unavailablePeriods.add(new UnavailablePeriod(System.nanoTime(), 0));
    }
  }

  /** Called when the process is paused from now on for the given time. */
  void onPaused(long durationNanos) {
    long nowNanos = System.nanoTime();
    unavailablePeriods.add(
        new UnavailablePeriod(nowNanos, nowNanos + durationNanos + RESUME_ALLOWANCE_NANOS / 2));
    runningSinceNanos = nowNanos + durationNanos;
  }

  /** Stops the load generators of the present process and marks the slot as not running. */
  void stopServing() {
    loadGenerators
        .subList(Math.max(0, loadGenerators.size() - GENERATORS_PER_PROCESS), loadGenerators.size())
        .forEach(LoadGenerator::stop);
    runningSinceNanos = 0;
    view = null;
  }

  /**
   * Returns whether the gateway could not serve at some time between two times ({@link
   * System#nanoTime}), including an allowance after each period.
   */
  boolean wasUnavailable(long fromNanos, long toNanos) {
    return unavailablePeriods.stream()
        .anyMatch(
            period ->
                period.fromNanos <= toNanos
                    && (period.isOpen() || fromNanos <= period.toNanos + RESUME_ALLOWANCE_NANOS));
  }

  /** Returns the load generators of all processes that this slot has had. */
  List<LoadGenerator> loadGenerators() {
    return loadGenerators;
  }
}
