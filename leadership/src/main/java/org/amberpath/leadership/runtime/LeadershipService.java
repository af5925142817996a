package org.amberpath.leadership.runtime;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amberpath.leadership.CandidateOrder;
import org.amberpath.leadership.Leadership;
import org.amberpath.leadership.LeaseMessage;
import org.amberpath.leadership.runtime.TaskMessage.Kind;
import org.amberpath.membership.runtime.FleetMessageHandler;
import org.amberpath.membership.runtime.MembershipService;
import org.amberpath.routing.EndpointHealthStatus;

/**
 * Stands for election to the configured tasks, by a quorum of voters ({@link QuorumVoting}) or by
 * leases in the registry ({@link RegistryLeaseClient}), and runs the tasks that this gateway leads.
 * There are at most three tasks. All methods are called on the gateway's event loop.
 */
public final class LeadershipService implements FleetMessageHandler {
  /** The number of candidates, the first in order, that a leader notifies when it has stopped. */
  private static final int MAX_SUCCESSORS = 4;

  /**
   * The longest travel time of a message. An action may take as long as a new leader waits, less
   * this.
   */
  private static final long MAX_MESSAGE_DELAY_NANOS = 100_000_000;

  private final Vertx vertx;
  private final LeadershipSettings settings;
  private final MembershipService membership;
  private final Map<String, OwnedTask> tasks = new LinkedHashMap<>();

  /** Set once membership has started, if a quorum of voters elects the leaders. */
  private Optional<QuorumVoting> voting = Optional.empty();

  /** Set once membership has started, if leases in the registry elect the leaders. */
  private Optional<RegistryLeaseClient> leases = Optional.empty();

  private Optional<HealthCheckTask> healthChecks = Optional.empty();
  private Optional<CachePrefetchTask> prefetch = Optional.empty();
  private boolean draining;

  /** Creates a service that starts its tasks in {@link #membershipStarted}. */
  public LeadershipService(Vertx vertx, LeadershipSettings settings, MembershipService membership) {
    this.vertx = vertx;
    this.settings = settings;
    this.membership = membership;
  }

  @Override
  public void membershipStarted(long nowNanos) {
    if (settings.voters() != null) {
      voting =
          Optional.of(new QuorumVoting(vertx, membership, settings, this::logTransition, nowNanos));
    }
    if (settings.leaseRegistry() != null) {
      leases =
          Optional.of(
              new RegistryLeaseClient(
                  vertx, settings.leaseRegistry(), settings.timings(), membership));
    }
    long maxActionNanos = settings.timings().settleNanos() - MAX_MESSAGE_DELAY_NANOS;
    if (settings.purgeRegistry() != null) {
      addTask(
          nowNanos,
          new PurgeRetentionTask(
              vertx, membership, settings.purgeRegistry(), settings.purgeSweepIntervalNanos()));
    }
    if (settings.healthChecks()) {
      healthChecks = Optional.of(new HealthCheckTask(membership, maxActionNanos));
      addTask(nowNanos, healthChecks.get());
    }
    if (settings.prefetch()) {
      prefetch = Optional.of(new CachePrefetchTask(membership, maxActionNanos));
      addTask(nowNanos, prefetch.get());
    }
  }

  private void addTask(long nowNanos, TaskRunner runner) {
    Leadership leadership =
        leases
            .map(client -> client.leadership(runner.task()))
            .orElseGet(() -> voting.orElseThrow().leadership(runner.task(), nowNanos));
    tasks.put(runner.task(), new OwnedTask(membership.name(), runner, leadership));
  }

  // ---- Messages.

  @Override
  public void messageReceived(long nowNanos, String from, byte[] body) {
    Optional<LeaseMessage> leaseMessage = LeaseMessageCodec.decode(body);
    if (leaseMessage.isPresent()) {
      voting.ifPresent(quorum -> quorum.messageReceived(nowNanos, from, leaseMessage.get()));
    } else {
      HealthReportCodec.decode(body)
          .ifPresent(message -> taskMessageReceived(nowNanos, from, message));
    }
  }

  private void taskMessageReceived(long nowNanos, String from, TaskMessage message) {
    OwnedTask task = tasks.get(message.task());
    if (task == null) {
      return;
    }
    switch (message.kind()) {
      case HIGHER_TERM_SEEN -> task.leadership().higherTermSeen(nowNanos, message.term());
      case STOPPED -> task.leadership().predecessorStopped(nowNanos, message.term());
      default ->
          healthChecks.ifPresent(
              checks -> checks.messageReceived(nowNanos, from, message, task.leadership()));
    }
    task.logTransition();
  }

  private void logTransition(String task) {
    OwnedTask changed = tasks.get(task);
    if (changed != null) {
      changed.logTransition();
    }
  }

  // ---- Gateway events.

  @Override
  public void tick(long nowNanos) {
    for (OwnedTask task : tasks.values()) {
      if (leases.isEmpty()) {
        voting.ifPresent(quorum -> quorum.updateCandidate(task.name()));
      }
      task.tick(nowNanos);
      if (draining) {
        handOver(nowNanos, task);
      }
    }
    leases.ifPresent(client -> client.tick(nowNanos));
  }

  @Override
  public void endpointHealthChanged(
      long nowNanos, String endpoint, EndpointHealthStatus healthStatus) {
    healthChecks.ifPresent(
        checks -> checks.endpointHealthChanged(nowNanos, endpoint, healthStatus));
  }

  @Override
  public void endpointWarmingUp(long nowNanos, String endpoint, long untilNanos) {
    prefetch.ifPresent(task -> task.endpointWarmingUp(nowNanos, endpoint, untilNanos));
  }

  @Override
  public void settingsReloaded() {
    voting.ifPresent(QuorumVoting::reload);
  }

  @Override
  public void drainStarted(long nowNanos) {
    draining = true;
    for (OwnedTask task : tasks.values()) {
      task.runner().drainStarted();
    }
    tasks.values().forEach(task -> handOver(nowNanos, task));
  }

  /**
   * Resigns from a task once nothing of it is in flight, and notifies the next candidates in order.
   */
  private void handOver(long nowNanos, OwnedTask task) {
    Leadership leadership = task.leadership();
    if (leadership.state() == Leadership.State.RESIGNED || !task.runner().isIdle()) {
      return;
    }
    boolean led = leadership.isLeader(nowNanos);
    long term = leadership.term();
    leadership.resign(nowNanos);
    if (led) {
      byte[] stopped = HealthReportCodec.encode(TaskMessage.of(Kind.STOPPED, task.name(), term));
      CandidateOrder.order(task.name(), membership.presentNames()).stream()
          .filter(name -> !name.equals(membership.name()))
          .limit(MAX_SUCCESSORS)
          .forEach(successor -> membership.sendMessage(successor, stopped));
    }
    task.logTransition();
  }

  // ---- Admin requests.

  @Override
  public JsonObject status(long nowNanos) {
    JsonArray taskStatus = new JsonArray();
    tasks.values().forEach(task -> taskStatus.add(task.status(nowNanos)));
    return new JsonObject()
        .put("name", membership.name())
        .put("votes", voting.map(QuorumVoting::isVoter).orElse(false))
        .put(
            "voters",
            new JsonArray(voting.map(quorum -> List.copyOf(quorum.voterNames())).orElse(List.of())))
        .put("tasks", taskStatus);
  }

  @Override
  public boolean release(long nowNanos, String name) {
    OwnedTask task = tasks.get(name);
    boolean led = task != null && task.leadership().isLeader(nowNanos);
    if (led) {
      task.leadership().release(nowNanos);
      task.logTransition();
    }
    return led;
  }

  @Override
  public void close(long nowNanos) {
    for (OwnedTask task : tasks.values()) {
      task.leadership().resign(nowNanos);
      task.runner().close();
    }
    leases.ifPresent(RegistryLeaseClient::close);
  }
}
