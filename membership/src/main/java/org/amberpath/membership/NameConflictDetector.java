package org.amberpath.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Detects other processes that use this process's name, and reports each of them once. A conflict
 * is detected by a message from the other process, or by {@value #MIN_SUPERSEDING_UPDATES} updates
 * about the other process that supersede this process's own update, if the latest of them has the
 * status alive. Fewer updates prove no conflict: once this process has refuted an update about an
 * earlier process that has ended, only updates that are still in transit can supersede its own.
 *
 * <p>Bounds: {@value #MAX_CONFLICTS} processes.
 */
final class NameConflictDetector {
  private static final int MAX_CONFLICTS = 16;
  private static final int MIN_SUPERSEDING_UPDATES = 4;

  private final LocalMember local;
  private final SwimProtocol.Output output;

  /** The instance ids of the reported processes. */
  private final Set<Long> reportedInstanceIds = new HashSet<>();

  /** How many updates about each other process superseded the local update, by instance id. */
  private final Map<Long, Integer> supersedingUpdateCounts = new HashMap<>();

  NameConflictDetector(LocalMember local, SwimProtocol.Output output) {
    this.local = local;
    this.output = output;
  }

  /** Whether any conflict has been reported. */
  boolean anyReported() {
    return !reportedInstanceIds.isEmpty();
  }

  /** Reports the process unless it is this process itself or was already reported. */
  void ownNameUsedBy(MemberUpdate process) {
    if (process.instanceId() != local.instanceId()
        && reportedInstanceIds.size() < MAX_CONFLICTS
        && reportedInstanceIds.add(process.instanceId())) {
      output.nameConflictDetected(process.address());
    }
  }

  /** Counts an update about another process with this name that supersedes the local update. */
  void localUpdateSuperseded(MemberUpdate other) {
    boolean alreadyCounted = supersedingUpdateCounts.containsKey(other.instanceId());
    if ((alreadyCounted || supersedingUpdateCounts.size() < MAX_CONFLICTS)
        && supersedingUpdateCounts.merge(other.instanceId(), 1, Integer::sum)
            >= MIN_SUPERSEDING_UPDATES
        && other.status() == MemberStatus.ALIVE) {
      ownNameUsedBy(other);
    }
  }
}
