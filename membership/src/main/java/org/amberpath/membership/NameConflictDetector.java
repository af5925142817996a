package org.amberpath.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Detects other processes that use this process's name, and reports each of them once. A conflict
 * is detected by a message from the other process, or by {@value #RISES} updates about the other
 * process that supersede this process's own update. A single such update proves no conflict: it may
 * be a delayed update about an earlier process with this name that has ended.
 *
 * <p>Bounds: {@value #MAX_CONFLICTS} processes.
 */
final class NameConflictDetector {
  private static final int MAX_CONFLICTS = 16;
  private static final int RISES = 4;

  private final LocalMember local;
  private final SwimProtocol.Output out;

  /** The instance ids of the reported processes. */
  private final Set<Long> reported = new HashSet<>();

  /** How many updates about each other process superseded the local update, by instance id. */
  private final Map<Long, Integer> riseCounts = new HashMap<>();

  NameConflictDetector(LocalMember local, SwimProtocol.Output out) {
    this.local = local;
    this.out = out;
  }

  /** Whether any conflict has been reported. */
  boolean anyReported() {
    return !reported.isEmpty();
  }

  /** Reports the process unless it is this process itself or was already reported. */
  void messageUnderOwnName(MemberUpdate from) {
    if (from.instanceId() != local.instanceId()
        && reported.size() < MAX_CONFLICTS
        && reported.add(from.instanceId())) {
      out.nameConflictDetected(from.address());
    }
  }

  /** Counts an update about another process with this name that supersedes the local update. */
  void roseAbove(MemberUpdate other) {
    boolean known = riseCounts.containsKey(other.instanceId());
    if ((known || riseCounts.size() < MAX_CONFLICTS)
        && riseCounts.merge(other.instanceId(), 1, Integer::sum) >= RISES
        && other.status() == MemberStatus.ALIVE) {
      messageUnderOwnName(other);
    }
  }
}
