package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.lab.simulation.VirtualScheduler;

/** One endpoint of a {@link VirtualRegistry}. */
final class VirtualEndpoint {
  private static final long UNAUTHORISED_RETRY_NANOS = 14 * Simulation.NANOS_PER_SECOND;
  private static final long NEVER = Long.MAX_VALUE / 2;

  private final VirtualRegistry registry;
  private final VirtualScheduler scheduler;
  private final Set<PendingCall> pendingCalls = new LinkedHashSet<>();
  private final List<Runnable> heldTasks = new ArrayList<>();
  private EndpointBehavior behavior = EndpointBehavior.ANSWERS;
  private long lagNanos;
  private long slownessNanos;

  /** The time since which the endpoint has answered without delays; NEVER while it is delayed. */
  private long healthySinceNanos;

  /** The time until which clients whose credentials were rejected may wait before they retry. */
  private long unauthorisedRetryUntilNanos;

  private long callCount;

  VirtualEndpoint(VirtualRegistry registry) {
    this.registry = registry;
    scheduler = registry.scheduler();
    healthySinceNanos = scheduler.nowNanos();
  }

  EndpointBehavior behavior() {
    return behavior;
  }

  /** The delay of reads of the latest state and of watch events. */
  long lagNanos() {
    return lagNanos;
  }

  /** The delay of all responses, in addition to the lag. */
  long slownessNanos() {
    return slownessNanos;
  }

  /** Number of calls that clients have made to this endpoint. */
  long callCount() {
    return callCount;
  }

  void recordCall() {
    callCount++;
  }

  void addCall(PendingCall call) {
    pendingCalls.add(call);
  }

  void removeCall(PendingCall call) {
    pendingCalls.remove(call);
  }

  /** Holds a task until the endpoint answers again; a broken connection drops held tasks. */
  void hold(Runnable task) {
    heldTasks.add(task);
  }

  private int index() {
    return registry.endpoints().indexOf(this);
  }

  /** Sets the fault mode; modes other than ANSWERS and SILENT break all connections. */
  void setBehavior(EndpointBehavior newBehavior) {
    registry.trace("endpoint " + index() + ": behavior set to " + newBehavior);
    // A client whose credentials were rejected waits before it calls again.
    if (newBehavior == EndpointBehavior.UNAUTHORISED) {
      unauthorisedRetryUntilNanos = NEVER;
    } else if (behavior == EndpointBehavior.UNAUTHORISED) {
      unauthorisedRetryUntilNanos = scheduler.nowNanos() + UNAUTHORISED_RETRY_NANOS;
    }
    behavior = newBehavior;
    if (behavior == EndpointBehavior.ANSWERS) {
      healthySinceNanos =
          lagNanos + slownessNanos > 0
              ? NEVER
              : Math.max(scheduler.nowNanos(), unauthorisedRetryUntilNanos);
      List<Runnable> released = List.copyOf(heldTasks);
      heldTasks.clear();
      released.forEach(Runnable::run);
    } else if (behavior != EndpointBehavior.SILENT) {
      breakConnections();
    }
  }

  /** Sets the lag of reads and watch events, and the slowness of all responses. */
  void setDelays(long newLagNanos, long newSlownessNanos) {
    registry.trace(
        "endpoint "
            + index()
            + ": lag "
            + newLagNanos / Simulation.NANOS_PER_MILLI
            + " ms, extra response delay "
            + newSlownessNanos / Simulation.NANOS_PER_MILLI
            + " ms");
    lagNanos = newLagNanos;
    slownessNanos = newSlownessNanos;
    if (lagNanos + slownessNanos > 0) {
      healthySinceNanos = NEVER;
    } else if (healthySinceNanos == NEVER) {
      healthySinceNanos = Math.max(scheduler.nowNanos(), unauthorisedRetryUntilNanos);
    }
  }

  /** Clears the delays and the fault mode of this endpoint. */
  void heal() {
    setDelays(0, 0);
    setBehavior(EndpointBehavior.ANSWERS);
  }

  boolean isHealthyFor(long durationNanos) {
    return behavior == EndpointBehavior.ANSWERS
        && healthySinceNanos <= scheduler.nowNanos() - durationNanos;
  }

  /** Breaks all connections; clients can open new ones. */
  void breakConnections() {
    registry.trace("endpoint " + index() + ": connections broken");
    heldTasks.clear();
    for (PendingCall call : List.copyOf(pendingCalls)) {
      call.breakConnection();
    }
  }
}
