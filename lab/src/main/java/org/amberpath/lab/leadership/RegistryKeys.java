package org.amberpath.lab.leadership;

import java.util.List;
import java.util.stream.IntStream;
import org.amberpath.lab.simulation.LeaseKey;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.leadership.RegistryLeadership;

/**
 * The lease keys of all tasks in a simulated registry, which can be made unavailable and restored
 * from a backup.
 */
final class RegistryKeys {
  private static final long MAX_LOST_TERMS = 8;

  private final Simulation simulation;
  private final List<SimulatedCandidate> candidates;
  private final List<LeaseKey<SimulatedCandidate>> keys;
  private boolean available = true;

  RegistryKeys(Simulation simulation, List<SimulatedCandidate> candidates) {
    this.simulation = simulation;
    this.candidates = candidates;
    keys = IntStream.range(0, LeadershipModel.TASKS.size()).mapToObj(this::newKey).toList();
  }

  private LeaseKey<SimulatedCandidate> newKey(int task) {
    return new LeaseKey<>(
        simulation,
        LeadershipModel.LEASE_NANOS,
        LeaseKey.TermRule.ANY_HIGHER,
        candidates,
        (candidate, observed) -> {
          ((RegistryLeadership) candidate.leadership(task))
              .keyObserved(
                  candidate.localNanos(), observed.term(), observed.held(), observed.modRevision());
          candidate.scheduleTick(task);
        });
  }

  LeaseKey<SimulatedCandidate> key(int task) {
    return keys.get(task);
  }

  boolean isAvailable() {
    return available;
  }

  /** Makes the registry unavailable to all clients for a time. */
  void makeUnavailableFor(long durationNanos) {
    available = false;
    simulation.after(durationNanos, () -> available = true);
  }

  /**
   * Restores the registry from a backup: it starts with an older term, and answers no client until
   * the leases granted before have expired.
   */
  void restoreFromBackup() {
    available = false;
    long lostTerms = simulation.random().nextLong(MAX_LOST_TERMS);
    simulation.trace("the registry is restored from a backup, " + lostTerms + " terms lost");
    simulation.after(
        LeadershipModel.TIMINGS.longestNanos(LeadershipModel.LEASE_NANOS)
            + simulation.random().nextLong(Simulation.NANOS_PER_SECOND),
        () -> {
          available = true;
          for (int task = 0; task < keys.size(); task++) {
            keys.get(task).restoreFromBackup(lostTerms);
            int restored = task;
            candidates.forEach(
                candidate ->
                    candidate.scheduleAfter(
                        0,
                        () ->
                            ((RegistryLeadership) candidate.leadership(restored))
                                .registryRestored()));
            keys.get(task).notifyWatchers();
          }
        });
  }
}
