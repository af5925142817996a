package org.amberpath.leadership.runtime;

import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;
import org.amberpath.gateway.pipeline.FleetCallbacks;
import org.amberpath.leadership.CandidateOrder;
import org.amberpath.leadership.HealthCheckCoordinator;
import org.amberpath.leadership.HealthCheckCoordinator.HealthCheckOutcome;
import org.amberpath.leadership.HealthCheckCoordinator.HealthReport;
import org.amberpath.leadership.HealthCheckCoordinator.ReportRequest;
import org.amberpath.leadership.Leadership;
import org.amberpath.leadership.runtime.TaskMessage.Kind;
import org.amberpath.membership.runtime.MembershipService;
import org.amberpath.routing.EndpointHealthStatus;

/**
 * Sends the leader's health checks, and exchanges report requests and reports with other gateways.
 */
final class HealthCheckTask implements TaskRunner {
  private static final String TASK = HealthCheckCoordinator.TASK;

  private final MembershipService membership;
  private final HealthCheckCoordinator coordinator = new HealthCheckCoordinator();

  /**
   * The time-out of a health check, which is sent only if it ends before another gateway may lead.
   */
  private final long checkTimeoutNanos;

  private boolean centralized;
  private boolean draining;
  private long checksSent;
  private long checksAnswered;
  private long reportsAccepted;
  private long reportsRefused;

  HealthCheckTask(MembershipService membership, long checkTimeoutNanos) {
    this.membership = membership;
    this.checkTimeoutNanos = checkTimeoutNanos;
  }

  @Override
  public String task() {
    return TASK;
  }

  @Override
  public boolean isIdle() {
    return coordinator.isIdle();
  }

  /**
   * Handles a change of the router's health status of an endpoint, or a response of a suspect
   * endpoint.
   */
  void endpointHealthChanged(long nowNanos, String endpoint, EndpointHealthStatus status) {
    if (!HealthReportCodec.isValidName(endpoint)) {
      return;
    }
    if (status == EndpointHealthStatus.RESPONSIVE) {
      String leader = coordinator.endpointResponded(nowNanos, endpoint);
      if (!leader.isEmpty()) {
        Map<String, HealthReport> responsive = Map.of(endpoint, new HealthReport(true, 0));
        send(leader, new TaskMessage(Kind.RESPONSIVE, TASK, 0, 0, responsive));
      }
    }
    coordinator.healthChanged(nowNanos, endpoint, status != EndpointHealthStatus.SUSPECT);
  }

  @Override
  public void drainStarted() {
    draining = true;
  }

  @Override
  public void tick(long nowNanos, Leadership leadership) {
    boolean leading = leadership.isLeader(nowNanos);
    List<String> present = membership.presentNames();
    ReportRequest request =
        coordinator.nextReportRequest(nowNanos, present.size(), () -> candidates(present), leading);
    if (request != null) {
      send(
          request.recipient(),
          TaskMessage.request(TASK, request.requestedAtNanos(), request.endpoints()));
    }
    if (!leading) {
      coordinator.leadershipLost();
    } else if (!draining) {
      sendDueChecks(nowNanos, leadership);
      broadcast(nowNanos, present, leadership.term());
    }
    setCentralized(coordinator.isCentralized(nowNanos, leading));
  }

  private List<String> candidates(List<String> present) {
    return CandidateOrder.order(TASK, present).stream()
        .filter(name -> !name.equals(membership.name()))
        .toList();
  }

  private void broadcast(long nowNanos, List<String> present, long term) {
    Map<String, HealthReport> reports = coordinator.broadcastReport(nowNanos);
    if (reports.isEmpty()) {
      return;
    }
    byte[] message = HealthReportCodec.encode(new TaskMessage(Kind.REPORT, TASK, term, 0, reports));
    for (String recipient : coordinator.broadcastRecipients(nowNanos, present)) {
      if (recipient.equals(membership.name())) {
        reportToRouter(reports);
      } else {
        membership.sendMessage(recipient, message);
      }
    }
  }

  private void reportToRouter(Map<String, HealthReport> reports) {
    FleetCallbacks callbacks = membership.callbacks();
    reports.forEach(
        (endpoint, report) ->
            callbacks.healthCheckReported(endpoint, report.responded(), report.ageNanos()));
  }

  private void setCentralized(boolean nowCentralized) {
    if (nowCentralized != centralized) {
      centralized = nowCentralized;
      membership.callbacks().healthChecksCentralized(nowCentralized);
    }
  }

  private void sendDueChecks(long nowNanos, Leadership leadership) {
    coordinator
        .dueHealthChecks(nowNanos)
        .forEach(
            endpoint -> {
              if (sendCheck(endpoint, leadership)) {
                checksSent++;
              } else {
                coordinator.healthCheckEnded(
                    membership.nowNanos(), endpoint, HealthCheckOutcome.NOT_SENT);
              }
            });
  }

  /**
   * Sends a health check; returns false if none was sent. Leadership is checked again here, so that
   * the check ends, also at the endpoint, before another gateway may lead.
   */
  private boolean sendCheck(String endpoint, Leadership leadership) {
    return leadership.isLeaderFor(membership.nowNanos(), checkTimeoutNanos)
        && membership
            .callbacks()
            .sendSyntheticRequest(
                endpoint, checkTimeoutNanos, outcome -> checkEnded(endpoint, outcome));
  }

  private void checkEnded(String endpoint, FleetCallbacks.SyntheticOutcome outcome) {
    checksAnswered += outcome == FleetCallbacks.SyntheticOutcome.ANSWERED ? 1 : 0;
    coordinator.healthCheckEnded(
        membership.nowNanos(),
        endpoint,
        switch (outcome) {
          case ANSWERED -> HealthCheckOutcome.ANSWERED;
          case SILENT -> HealthCheckOutcome.SILENT;
          case NOT_SENT -> HealthCheckOutcome.NOT_SENT;
        });
  }

  /** Handles a message of this task from another gateway. */
  void messageReceived(long nowNanos, String from, TaskMessage message, Leadership leadership) {
    switch (message.kind()) {
      case REQUEST -> {
        if (leadership.isLeader(nowNanos) && !draining) {
          Map<String, HealthReport> reports =
              coordinator.reportRequested(nowNanos, from, message.endpoints());
          send(
              from,
              new TaskMessage(
                  Kind.REPORT, TASK, leadership.term(), message.requestNanos(), reports));
          sendDueChecks(nowNanos, leadership);
        }
      }
      case RESPONSIVE -> {
        if (leadership.isLeader(nowNanos)) {
          coordinator.endpointsResponsive(nowNanos, message.endpoints());
        }
      }
      case REPORT -> reportReceived(nowNanos, from, message, leadership);
      default -> {}
    }
  }

  private void reportReceived(
      long nowNanos, String from, TaskMessage message, Leadership leadership) {
    Map<String, HealthReport> accepted =
        coordinator.reportReceived(
            nowNanos, from, message.term(), message.requestNanos(), message.reports());
    if (accepted == null) {
      reportsRefused++;
      send(from, TaskMessage.of(Kind.HIGHER_TERM_SEEN, TASK, coordinator.highestTerm()));
      return;
    }
    reportsAccepted++;
    setCentralized(coordinator.isCentralized(nowNanos, leadership.isLeader(nowNanos)));
    reportToRouter(accepted);
  }

  private void send(String recipient, TaskMessage message) {
    membership.sendMessage(recipient, HealthReportCodec.encode(message));
  }

  @Override
  public void addStatus(JsonObject status) {
    status
        .put("done", checksSent)
        .put("answered", checksAnswered)
        .put("words", reportsAccepted)
        .put("refused", reportsRefused)
        .put("for_all", centralized);
  }
}
