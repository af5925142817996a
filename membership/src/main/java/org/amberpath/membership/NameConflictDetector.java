package org.amberpath.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Reports another process that uses this process's name to operators, once for each such process.
 * One is recognised by a message of its own, or by updates about it that rise above this process's
 * incarnation {@value #RISES} times: a process that has ended doesn't rise above what outlived it,
 * except for what is still on its way.
 *
 * <p>Bounds: {@value #MAX_CONFLICTS} processes.
 */
final class NameConflictDetector {
  private static final int MAX_CONFLICTS = 16;
  private static final int RISES = 4;

  private final LocalMember local;
  private final SwimProtocol.Output out;

  /** The instance ids of the processes that were reported. */
  private final Set<Long> reported = new HashSet<>();

  /** How often each other process under this name rose above this one, by its instance id. */
  private final Map<Long, Integer> riseCounts = new HashMap<>();

  NameConflictDetector(LocalMember local, SwimProtocol.Output out) {
    this.local = local;
    this.out = out;
  }

  /** Whether any conflict was reported. */
  boolean anyReported() {
    return !reported.isEmpty();
  }

  /** A message came from a process under this name; it may be one of this process itself. */
  void messageUnderOwnName(MemberUpdate from) {
    if (from.instanceId() != local.instanceId()
        && reported.size() < MAX_CONFLICTS
        && reported.add(from.instanceId())) {
      out.nameConflictDetected(from.address());
    }
  }

  /** An update about another process under this name takes precedence over this process. */
  void roseAbove(MemberUpdate other) {
    boolean known = riseCounts.containsKey(other.instanceId());
    if ((known || riseCounts.size() < MAX_CONFLICTS)
        && riseCounts.merge(other.instanceId(), 1, Integer::sum) >= RISES
        && other.status() == MemberStatus.ALIVE) {
      messageUnderOwnName(other);
    }
  }
}
