package org.amberpath.leadership.runtime;

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
 * Tenures by leases in the registry: a task's key that goes with its lease says that somebody has
 * it, another that stays holds the term. Both are looked at all the time, by one read for all
 * tasks.
 */
final class RegistryLeaseClient {
  private static final long SECOND = 1_000_000_000;
  private static final int LOOKS = 8;

  private final RegistryAdminClient registry;
  private final LeaseTimings rules;
  private final MembershipService company;
  private final Map<String, Mine> mine = new LinkedHashMap<>();
  private long nextLook;
  private boolean looking;

  /** How often something was seen, for word that is late. */
  private long looks;

  RegistryLeaseClient(
      Vertx vertx, RegistrySettings access, LeaseTimings rules, MembershipService company) {
    this.rules = rules;
    this.company = company;
    registry = new RegistryAdminClient(vertx, access);
  }

  /** One task at this gateway. */
  private final class Mine implements RegistryLeadership.Commands {
    final String task;
    final RegistryLeadership tenure;
    private long lease, revision, outSince;

    Mine(String task) {
      this.task = task;
      tenure = new RegistryLeadership(rules, this, company.seed() ^ task.hashCode());
    }

    @Override
    public void campaign(long term, long changed) {
      outSince = looks;
      registry
          .campaign(
              task,
              new RegistryRecord.Task(term, company.name()),
              changed,
              rules.leaseNanos() / SECOND)
          .onComplete(
              done -> {
                outSince = looks;
                if (done.failed() || done.result() == 0) {
                  tenure.leaseLost(company.nowNanos());
                } else {
                  lease = done.result();
                  tenure.campaignWon(company.nowNanos(), term);
                }
              });
    }

    @Override
    public void keepAlive(long askedAt) {
      registry
          .keepAlive(lease)
          .onComplete(
              done -> {
                if (done.failed()) {
                  tenure.renewalUnanswered(company.nowNanos());
                } else if (done.result()) {
                  tenure.leaseRenewed(company.nowNanos(), askedAt);
                } else {
                  tenure.leaseLost(company.nowNanos());
                }
              });
    }

    @Override
    public void resign() {
      if (lease != 0) {
        registry.revoke(lease);
        lease = 0;
      }
    }

    /**
     * What the registry says; what was read before this one's own try was answered is passed over.
     */
    void seen(long now, long readSince, RegistryEntry term, boolean held) {
      if (readSince <= outSince && outSince > 0) {
        return;
      }
      long changed = term == null ? 0 : term.modRevision();
      if (changed < revision) {
        tenure.registryRestored(); // The registry goes on from an older state of it.
      }
      revision = changed;
      tenure.keyObserved(
          now, term == null ? 0 : ((RegistryRecord.Task) term.value()).term(), held, changed);
    }
  }

  Leadership tenure(String task) {
    Mine one = mine.computeIfAbsent(task, Mine::new);
    return one.tenure;
  }

  /** Looks at the keys so often that a vacancy is seen within an eighth of a lease. */
  void tick(long now) {
    if (looking || now < nextLook) {
      return;
    }
    looking = true;
    long since = ++looks;
    nextLook = now + rules.leaseNanos() / LOOKS;
    registry
        .tasks()
        .onComplete(
            done -> {
              looking = false;
              if (done.succeeded()) {
                look(done.result(), since);
              }
            });
  }

  private void look(List<RegistryEntry> keys, long since) {
    for (Mine one : mine.values()) {
      RegistryEntry term = null;
      boolean held = false;
      for (RegistryEntry key : keys) {
        term = one.task.equals(registry.taskName(key, false)) ? key : term;
        held |= one.task.equals(registry.taskName(key, true));
      }
      one.seen(company.nowNanos(), since, term, held);
    }
  }

  void close() {
    registry.close();
  }
}
