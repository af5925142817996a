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
    String owner = health == EndpointHealthStatus.RESPONSIVE ? trials.answers(now, cache) : "";
    if (!owner.isEmpty()) {
      Map<String, HealthCheckCoordinator.Said> said =
          Map.of(cache, new HealthCheckCoordinator.Said(true, 0));
      company.post(
          owner,
          HealthReportCodec.write(new Word(Kind.HEARD, HealthCheckCoordinator.TASK, 0, 0, said)));
    }
    trials.standing(now, cache, health != EndpointHealthStatus.SUSPECT);
  }

  void draining() {
    draining = true;
  }

  @Override
  public void tick(long now, Leadership tenure) {
    boolean own = tenure.holds(now);
    List<String> there = company.there();
    HealthCheckCoordinator.Ask ask =
        trials.due(
            now,
            there.size(),
            () ->
                CandidateOrder.order(HealthCheckCoordinator.TASK, there).stream()
                    .filter(one -> !one.equals(company.name()))
                    .toList(),
            own);
    if (ask != null) {
      company.post(
          ask.to(),
          HealthReportCodec.write(
              Word.ask(HealthCheckCoordinator.TASK, ask.stamp(), ask.caches())));
    }
    if (own && !draining) {
      trials.tries(now).forEach(cache -> attempt(cache, tenure));
      Map<String, HealthCheckCoordinator.Said> news = trials.news(now);
      if (!news.isEmpty()) {
        byte[] word =
            HealthReportCodec.write(
                new Word(Kind.WORD, HealthCheckCoordinator.TASK, tenure.term(), 0, news));
        trials.toldNow(now, there).forEach(one -> tellNews(one, word, news));
      }
    } else if (!own) {
      trials.ended();
    }
    tell(trials.forAll(now, own));
  }

  private void tellNews(String to, byte[] word, Map<String, HealthCheckCoordinator.Said> news) {
    if (to.equals(company.name())) {
      news.forEach(
          (cache, said) ->
              company.callbacks().healthCheckReported(cache, said.answers(), said.ago()));
    } else {
      company.post(to, word);
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
    if (!tenure.holdsFor(company.now(), act)
        || !company
            .callbacks()
            .sendSyntheticRequest(
                cache,
                act,
                what -> {
                  answered += what == FleetCallbacks.SyntheticOutcome.ANSWERED ? 1 : 0;
                  trials.tried(
                      company.now(), cache, HealthCheckCoordinator.End.valueOf(what.name()));
                })) {
      trials.tried(company.now(), cache, HealthCheckCoordinator.End.NOT_SENT);
    } else {
      made++;
    }
  }

  /** A letter from another gateway. */
  void letter(long now, String from, Word word, Leadership tenure) {
    switch (word.kind()) {
      case ASK -> {
        if (tenure.holds(now) && !draining) {
          Map<String, HealthCheckCoordinator.Said> said = trials.asked(now, from, word.names());
          company.post(
              from,
              HealthReportCodec.write(
                  new Word(
                      Kind.WORD, HealthCheckCoordinator.TASK, tenure.term(), word.stamp(), said)));
          trials.tries(now).forEach(cache -> attempt(cache, tenure));
        }
      }
      case HEARD -> {
        if (tenure.holds(now)) {
          trials.heard(now, word.names());
        }
      }
      case WORD -> {
        Map<String, HealthCheckCoordinator.Said> said =
            trials.word(now, from, word.term(), word.stamp(), word.caches());
        if (said == null) {
          refused++;
          company.post(
              from,
              HealthReportCodec.write(
                  Word.of(Kind.OUTRANKED, HealthCheckCoordinator.TASK, trials.seen())));
        } else {
          words++;
          tell(trials.forAll(now, tenure.holds(now)));
          said.forEach(
              (cache, one) ->
                  company.callbacks().healthCheckReported(cache, one.answers(), one.ago()));
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
