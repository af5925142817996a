package org.amberpath.leadership.runtime;

import org.amberpath.routing.Decisions;
import org.amberpath.membership.runtime.FleetCompany;
import org.amberpath.gateway.Company;
import org.amberpath.leadership.Spread;
import org.amberpath.leadership.Tenure;
import org.amberpath.leadership.Trials;
import org.amberpath.leadership.runtime.WordForm.Kind;
import org.amberpath.leadership.runtime.WordForm.Word;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;

/** Caches that were set aside are tried by one gateway, by GETs of its own; the others are told. */
final class TrialWork implements Work {
  private final FleetCompany company;
  private final Trials trials = new Trials();
  /** How long a trial may take: it is over before another owner may begin. */
  private final long act;
  private boolean forAll, draining;
  private long made, answered, words, refused;

  TrialWork(FleetCompany company, long act) {
    this.company = company;
    this.act = act;
  }

  @Override public String task() {
    return Trials.TASK;
  }

  @Override public boolean isIdle() {
    return trials.isIdle();
  }

  void health(long now, String cache, Decisions.Health health) {
    if (!WordForm.fits(cache)) {
      return;
    }
    String owner = health == Decisions.Health.HEARD ? trials.answers(now, cache) : "";
    if (!owner.isEmpty()) {
      Map<String, Trials.Said> said = Map.of(cache, new Trials.Said(true, 0));
      company.post(owner, WordForm.write(new Word(Kind.HEARD, Trials.TASK, 0, 0, said)));
    }
    trials.standing(now, cache, health != Decisions.Health.DOUBTED);
  }

  void draining() {
    draining = true;
  }

  @Override public void tick(long now, Tenure tenure) {
    boolean own = tenure.holds(now);
    List<String> there = company.there();
    Trials.Ask ask = trials.due(now, there.size(), () -> Spread.order(Trials.TASK, there).stream()
        .filter(one -> !one.equals(company.name())).toList(), own);
    if (ask != null) {
      company.post(ask.to(), WordForm.write(Word.ask(Trials.TASK, ask.stamp(), ask.caches())));
    }
    if (own && !draining) {
      trials.tries(now).forEach(cache -> attempt(cache, tenure));
      Map<String, Trials.Said> news = trials.news(now);
      if (!news.isEmpty()) {
        byte[] word = WordForm.write(new Word(Kind.WORD, Trials.TASK, tenure.term(), 0, news));
        trials.toldNow(now, there).forEach(one -> tellNews(one, word, news));
      }
    } else if (!own) {
      trials.ended();
    }
    tell(trials.forAll(now, own));
  }

  private void tellNews(String to, byte[] word, Map<String, Trials.Said> news) {
    if (to.equals(company.name())) {
      news.forEach((cache, said) -> company.ways().vouched(cache, said.answers(), said.ago()));
    } else {
      company.post(to, word);
    }
  }

  private void tell(boolean now) {
    if (now != forAll) {
      forAll = now;
      company.ways().tried(now);
    }
  }

  private void attempt(String cache, Tenure tenure) {
    // Looked at in the moment of sending; what leaves is over, at the cache too, before another may own the task.
    if (!tenure.holdsFor(company.now(), act) || !company.ways().own(cache, act, what -> {
      answered += what == Company.Own.ANSWERED ? 1 : 0;
      trials.tried(company.now(), cache, Trials.End.valueOf(what.name()));
    })) {
      trials.tried(company.now(), cache, Trials.End.NOT_SENT);
    } else {
      made++;
    }
  }

  /** A letter from another gateway. */
  void letter(long now, String from, Word word, Tenure tenure) {
    switch (word.kind()) {
      case ASK -> {
        if (tenure.holds(now) && !draining) {
          Map<String, Trials.Said> said = trials.asked(now, from, word.names());
          company.post(from, WordForm.write(new Word(Kind.WORD, Trials.TASK, tenure.term(), word.stamp(), said)));
          trials.tries(now).forEach(cache -> attempt(cache, tenure));
        }
      }
      case HEARD -> {
        if (tenure.holds(now)) {
          trials.heard(now, word.names());
        }
      }
      case WORD -> {
        Map<String, Trials.Said> said = trials.word(now, from, word.term(), word.stamp(), word.caches());
        if (said == null) {
          refused++;
          company.post(from, WordForm.write(Word.of(Kind.OUTRANKED, Trials.TASK, trials.seen())));
        } else {
          words++;
          tell(trials.forAll(now, tenure.holds(now)));
          said.forEach((cache, one) -> company.ways().vouched(cache, one.answers(), one.ago()));
        }
      }
      default -> { }
    }
  }

  @Override public void page(JsonObject to) {
    to.put("done", made).put("answered", answered).put("words", words).put("refused", refused)
        .put("for_all", forAll);
  }
}
