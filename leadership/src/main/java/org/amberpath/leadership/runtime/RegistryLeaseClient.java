package org.amberpath.leadership.runtime;

import io.vertx.core.AsyncResult;
import io.vertx.core.Vertx;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.amberpath.leadership.Leadership;
import org.amberpath.leadership.LeaseTimings;
import org.amberpath.leadership.RegistryLeadership;
import org.amberpath.membership.runtime.MembershipService;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.runtime.RegistryAdminClient;
import org.amberpath.registry.runtime.RegistrySettings;

/**
 * Leader election by leases in the registry. Each task has two keys: one is attached to the
 * leader's lease and exists while the task has a leader; the other persists and holds the term.
 * Both are read periodically, for all tasks at once.
 */
final class RegistryLeaseClient {
  private static final long SECOND = 1_000_000_000;

  /** The number of times that the keys are read per lease duration. */
  private static final int READS_PER_LEASE = 8;

  private final RegistryAdminClient registry;
  private final LeaseTimings timings;
  private final MembershipService membership;
  private final Map<String, TaskLease> leases = new LinkedHashMap<>();
  private long nextReadNanos;
  private boolean reading;

  /** The number of reads started, by which reads and campaigns are ordered. */
  private long readsStarted;

  RegistryLeaseClient(
      Vertx vertx, RegistrySettings settings, LeaseTimings timings, MembershipService membership) {
    this.timings = timings;
    this.membership = membership;
    registry = new RegistryAdminClient(vertx, settings);
  }

  /** The leadership of one task at this gateway. */
  private final class TaskLease implements RegistryLeadership.Commands {
    private final String task;
    private final RegistryLeadership leadership;
    private long leaseId;
    private long revision;

    /** The number of the last read that was started before the last campaign was answered. */
    private long lastReadBeforeCampaign;

    TaskLease(String task) {
      this.task = task;
      leadership = new RegistryLeadership(timings, this, membership.seed() ^ task.hashCode());
    }

    @Override
    public void campaign(long term, long keyRevision, long requestedAtNanos) {
      lastReadBeforeCampaign = readsStarted;
      registry
          .campaign(
              task,
              new RegistryRecord.Task(term, membership.name()),
              keyRevision,
              timings.leaseNanos() / SECOND)
          .onComplete(granted -> campaignEnded(term, requestedAtNanos, granted));
    }

    private void campaignEnded(long term, long requestedAtNanos, AsyncResult<Long> granted) {
      lastReadBeforeCampaign = readsStarted;
      if (granted.failed() || granted.result() == 0) {
        leadership.campaignLost(membership.nowNanos(), requestedAtNanos);
        return;
      }
      long previousLeaseId = leaseId;
      leaseId = granted.result(); // A win may at once be followed by a renewal of this lease.
      if (!leadership.campaignWon(membership.nowNanos(), term, requestedAtNanos)) {
        registry.revoke(leaseId);
        leaseId = previousLeaseId;
      }
    }

    @Override
    public void keepAlive(long requestedAtNanos) {
      registry
          .keepAlive(leaseId)
          .onComplete(
              renewed -> {
                if (renewed.failed()) {
                  leadership.renewalUnanswered(membership.nowNanos());
                } else if (renewed.result()) {
                  leadership.leaseRenewed(membership.nowNanos(), requestedAtNanos);
                } else {
                  leadership.leaseLost(membership.nowNanos());
                }
              });
    }

    @Override
    public void resign() {
      if (leaseId != 0) {
        registry.revoke(leaseId);
        leaseId = 0;
      }
    }

    /**
     * Applies the result of a read, unless the read was started before the last campaign was
     * answered.
     */
    void keysRead(long nowNanos, long readNumber, RegistryEntry termKey, boolean held) {
      if (readNumber <= lastReadBeforeCampaign && lastReadBeforeCampaign > 0) {
        return;
      }
      long readRevision = termKey == null ? 0 : termKey.modRevision();
      if (readRevision < revision) {
        leadership.registryRestored();
      }
      revision = readRevision;
      long term = termKey == null ? 0 : ((RegistryRecord.Task) termKey.value()).term();
      leadership.keyObserved(nowNanos, term, held, readRevision);
    }
  }

  /** Returns the leadership of a task, for which this gateway is a candidate from now on. */
  Leadership leadership(String task) {
    return leases.computeIfAbsent(task, TaskLease::new).leadership;
  }

  /** Reads the keys if a read is due. */
  void tick(long nowNanos) {
    if (reading || nowNanos < nextReadNanos) {
      return;
    }
    reading = true;
    long readNumber = ++readsStarted;
    nextReadNanos = nowNanos + timings.leaseNanos() / READS_PER_LEASE;
    registry
        .tasks()
        .onComplete(
            keys -> {
              reading = false;
              if (keys.succeeded()) {
                keysRead(keys.result(), readNumber);
              }
            });
  }

  private void keysRead(List<RegistryEntry> keys, long readNumber) {
    for (TaskLease lease : leases.values()) {
      RegistryEntry termKey = null;
      boolean held = false;
      for (RegistryEntry key : keys) {
        termKey = lease.task.equals(registry.taskName(key, false)) ? key : termKey;
        held |= lease.task.equals(registry.taskName(key, true));
      }
      lease.keysRead(membership.nowNanos(), readNumber, termKey, held);
    }
  }

  void close() {
    registry.close();
  }
}
