package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.lab.simulation.VirtualScheduler;

/** One endpoint of a registry on a virtual clock. */
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

  /** Since when it has answered well. */
  private long healthySinceNanos;

  /** Until when clients that it did not let in may stay away. */
  private long excusedUntilNanos;

  private long callCount;

  VirtualEndpoint(VirtualRegistry registry) {
    this.registry = registry;
    scheduler = registry.scheduler();
    healthySinceNanos = scheduler.nowNanos();
  }

  EndpointBehavior behavior() {
    return behavior;
  }

  /** By how much reads and changes are late. */
  long lagNanos() {
    return lagNanos;
  }

  /** By how much all answers are late. */
  long slownessNanos() {
    return slownessNanos;
  }

  /** How many calls have been made to it. */
  long callCount() {
    return callCount;
  }

  void callMade() {
    callCount++;
  }

  void opened(PendingCall call) {
    pendingCalls.add(call);
  }

  void closed(PendingCall call) {
    pendingCalls.remove(call);
  }

  /** Keeps a task until it is no longer silent; a broken connection drops it. */
  void hold(Runnable task) {
    heldTasks.add(task);
  }

  private int index() {
    return registry.endpoints().indexOf(this);
  }

  /** Changes how it treats what is asked. */
  void setBehavior(EndpointBehavior newBehavior) {
    registry.trace(index() + " becomes " + newBehavior);
    // A client that was not let in does not ask again soon.
    if (newBehavior == EndpointBehavior.UNAUTHORISED) {
      excusedUntilNanos = NEVER;
    } else if (behavior == EndpointBehavior.UNAUTHORISED) {
      excusedUntilNanos = scheduler.nowNanos() + UNAUTHORISED_RETRY_NANOS;
    }
    behavior = newBehavior;
    if (behavior == EndpointBehavior.ANSWERS) {
      healthySinceNanos =
          lagNanos + slownessNanos > 0 ? NEVER : Math.max(scheduler.nowNanos(), excusedUntilNanos);
      List<Runnable> released = List.copyOf(heldTasks);
      heldTasks.clear();
      released.forEach(Runnable::run);
    } else if (behavior != EndpointBehavior.SILENT) {
      breakConnections();
    }
  }

  /** Sets by how much it is late: reads and changes, and all answers. */
  void setDelays(long newLagNanos, long newSlownessNanos) {
    registry.trace(
        index()
            + " lags "
            + newLagNanos / Simulation.NANOS_PER_MILLI
            + " ms, is slower by "
            + newSlownessNanos / Simulation.NANOS_PER_MILLI
            + " ms");
    lagNanos = newLagNanos;
    slownessNanos = newSlownessNanos;
    if (lagNanos + slownessNanos > 0) {
      healthySinceNanos = NEVER;
    } else if (healthySinceNanos == NEVER) {
      healthySinceNanos = Math.max(scheduler.nowNanos(), excusedUntilNanos);
    }
  }

  /** Ends all faults of this endpoint. */
  void heal() {
    setDelays(0, 0);
    setBehavior(EndpointBehavior.ANSWERS);
  }

  boolean isHealthyFor(long durationNanos) {
    return behavior == EndpointBehavior.ANSWERS
        && healthySinceNanos <= scheduler.nowNanos() - durationNanos;
  }

  /** Breaks all connections; new ones come up. */
  void breakConnections() {
    registry.trace(index() + " is cut");
    heldTasks.clear();
    for (PendingCall call : List.copyOf(pendingCalls)) {
      call.breakConnection();
    }
  }
}
