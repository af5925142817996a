package org.amberpath.leadership.runtime;

import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;
import org.amberpath.gateway.FleetCallbacks;
import org.amberpath.leadership.CandidateOrder;
import org.amberpath.leadership.HealthCheckCoordinator;
import org.amberpath.leadership.Leadership;
import org.amberpath.leadership.runtime.HealthReportCodec.Kind;
import org.amberpath.leadership.runtime.HealthReportCodec.Word;
import org.amberpath.membership.runtime.MembershipService;
import org.amberpath.routing.EndpointHealthStatus;

/** Caches that were set aside are tried by one gateway, by GETs of its own; the others are told. */
final class HealthCheckTask implements TaskRunner {
  private final MembershipService company;
  private final HealthCheckCoordinator trials = new HealthCheckCoordinator();

  /** How long a trial may take: it is over before another owner may begin. */
  private final long act;

  private boolean forAll, draining;
  private long made, answered, words, refused;

  HealthCheckTask(MembershipService company, long act) {
    this.company = company;
    this.act = act;
  }

  @Override
  public String task() {
    return HealthCheckCoordinator.TASK;
  }

  @Override
  public boolean isIdle() {
    return trials.isIdle();
  }

  void health(long now, String cache, EndpointHealthStatus health) {
    if (!HealthReportCodec.fits(cache)) {
      return;
    }
    String owner =
        health == EndpointHealthStatus.RESPONSIVE ? trials.endpointResponded(now, cache) : "";
    if (!owner.isEmpty()) {
      Map<String, HealthCheckCoordinator.HealthReport> said =
          Map.of(cache, new HealthCheckCoordinator.HealthReport(true, 0));
      company.sendMessage(
          owner,
          HealthReportCodec.write(new Word(Kind.HEARD, HealthCheckCoordinator.TASK, 0, 0, said)));
    }
    trials.healthChanged(now, cache, health != EndpointHealthStatus.SUSPECT);
  }

  void draining() {
    draining = true;
  }

  @Override
  public void tick(long now, Leadership tenure) {
    boolean own = tenure.isLeader(now);
    List<String> there = company.presentNames();
    HealthCheckCoordinator.ReportRequest ask =
        trials.nextReportRequest(
            now,
            there.size(),
            () ->
                CandidateOrder.order(HealthCheckCoordinator.TASK, there).stream()
                    .filter(one -> !one.equals(company.name()))
                    .toList(),
            own);
    if (ask != null) {
      company.sendMessage(
          ask.recipient(),
          HealthReportCodec.write(
              Word.ask(HealthCheckCoordinator.TASK, ask.requestedAtNanos(), ask.endpoints())));
    }
    if (own && !draining) {
      trials.dueHealthChecks(now).forEach(cache -> attempt(cache, tenure));
      Map<String, HealthCheckCoordinator.HealthReport> news = trials.broadcastReport(now);
      if (!news.isEmpty()) {
        byte[] word =
            HealthReportCodec.write(
                new Word(Kind.WORD, HealthCheckCoordinator.TASK, tenure.term(), 0, news));
        trials.broadcastRecipients(now, there).forEach(one -> tellNews(one, word, news));
      }
    } else if (!own) {
      trials.leadershipLost();
    }
    tell(trials.isCentralized(now, own));
  }

  private void tellNews(
      String to, byte[] word, Map<String, HealthCheckCoordinator.HealthReport> news) {
    if (to.equals(company.name())) {
      news.forEach(
          (cache, said) ->
              company.callbacks().healthCheckReported(cache, said.responded(), said.ageNanos()));
    } else {
      company.sendMessage(to, word);
    }
  }

  private void tell(boolean now) {
    if (now != forAll) {
      forAll = now;
      company.callbacks().healthChecksCentralized(now);
    }
  }

  private void attempt(String cache, Leadership tenure) {
    // Looked at in the moment of sending; what leaves is over, at the cache too, before another may
    // own the task.
    if (!tenure.isLeaderFor(company.nowNanos(), act)
        || !company
            .callbacks()
            .sendSyntheticRequest(
                cache,
                act,
                what -> {
                  answered += what == FleetCallbacks.SyntheticOutcome.ANSWERED ? 1 : 0;
                  trials.healthCheckEnded(
                      company.nowNanos(),
                      cache,
                      HealthCheckCoordinator.HealthCheckOutcome.valueOf(what.name()));
                })) {
      trials.healthCheckEnded(
          company.nowNanos(), cache, HealthCheckCoordinator.HealthCheckOutcome.NOT_SENT);
    } else {
      made++;
    }
  }

  /** A letter from another gateway. */
  void letter(long now, String from, Word word, Leadership tenure) {
    switch (word.kind()) {
      case ASK -> {
        if (tenure.isLeader(now) && !draining) {
          Map<String, HealthCheckCoordinator.HealthReport> said =
              trials.reportRequested(now, from, word.names());
          company.sendMessage(
              from,
              HealthReportCodec.write(
                  new Word(
                      Kind.WORD, HealthCheckCoordinator.TASK, tenure.term(), word.stamp(), said)));
          trials.dueHealthChecks(now).forEach(cache -> attempt(cache, tenure));
        }
      }
      case HEARD -> {
        if (tenure.isLeader(now)) {
          trials.endpointsResponsive(now, word.names());
        }
      }
      case WORD -> {
        Map<String, HealthCheckCoordinator.HealthReport> said =
            trials.reportReceived(now, from, word.term(), word.stamp(), word.caches());
        if (said == null) {
          refused++;
          company.sendMessage(
              from,
              HealthReportCodec.write(
                  Word.of(Kind.OUTRANKED, HealthCheckCoordinator.TASK, trials.highestTerm())));
        } else {
          words++;
          tell(trials.isCentralized(now, tenure.isLeader(now)));
          said.forEach(
              (cache, one) ->
                  company.callbacks().healthCheckReported(cache, one.responded(), one.ageNanos()));
        }
      }
      default -> {}
    }
  }

  @Override
  public void page(JsonObject to) {
    to.put("done", made)
        .put("answered", answered)
        .put("words", words)
        .put("refused", refused)
        .put("for_all", forAll);
  }
}
