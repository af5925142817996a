package org.amberpath.leadership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * The task of trying caches that were set aside, once for the fleet. A gateway that has set one
 * aside asks whoever may own the task; the owner tries each cache that it is asked for, and says
 * how long ago each answered or did not. While such word comes, gateways leave trying to the owner.
 * Once a cache that several have set aside was silent in trials of the owner's too, all are told,
 * since where each sees little each would find it out by itself, late. What the word is worth
 * against what a gateway sees itself is decided by its own decisions.
 *
 * <p>Bounds: {@value #MOST} caches each way, {@value #MOST_NAMED} a letter, {@value #MOST_OUT}
 * trials out at a time; an owner is asked about {@value #ASKS_A_SECOND} times a second by the whole
 * fleet, whatever its size, and tells {@value #TOLD_A_TICK} a tick of what is silent, each once in
 * {@value #TOLD_EVERY_MS} ms.
 */
public final class HealthCheckCoordinator {
  public static final String TASK = "probe";

  /** How many caches are named in a letter. */
  public static final int MOST_NAMED = 10;

  private static final int MOST = 64,
      MOST_OUT = 8,
      ASKS_A_SECOND = 200,
      CANDIDATES = 3,
      TRUSTED = 3;
  private static final long MS = 1_000_000, EACH = 500 * MS, SOON = 50 * MS;
  private static final long PAUSE = 125 * MS,
      SHORTEST = 1000 * MS,
      LONGEST_PAUSE = 4000 * MS,
      AGAIN = 500 * MS;
  private static final long LONGEST_WAY = 1000 * MS, HEARD_LASTS = 30_000 * MS;
  private static final int WITNESSES = 2,
      SILENCES = 2,
      FEWER = 10,
      TOLD_A_TICK = 20,
      TOLD_EVERY_MS = 4000;

  /** A question of caches, under a stamp that its answer brings back. */
  public record ReportRequest(String recipient, long requestedAtNanos, List<String> endpoints) {}

  /**
   * What came of the last trial of a cache: whether it answered, and how long ago; none yet with
   * -1.
   */
  public record HealthReport(boolean responded, long ageNanos) {}

  /** How a trial ended: nothing was sent where the gateway's decisions let none go. */
  public enum HealthCheckOutcome {
    ANSWERED,
    SILENT,
    NOT_SENT
  }

  /** One cache that an owner may try. */
  private static final class Wanted {
    /** The first who have set it aside: two are enough to know. */
    final Set<String> by = new TreeSet<>();

    long askedAt, sentAt, nextTry, heardUntil, pause = PAUSE;

    /** Of the last trial that has ended, not of one that is out. */
    long endedAt, endedSentAt;

    int silences;
    boolean out, answers, wasSilent;

    HealthReport said(long now) {
      // Of silence, how long ago it was asked: what was heard elsewhere since belies it.
      return new HealthReport(answers, endedAt == 0 ? -1 : now - (answers ? endedAt : endedSentAt));
    }

    /** Whether all are to know of it: that it is silent, or that it was, and answers now. */
    boolean isNews() {
      wasSilent |= silences >= SILENCES && by.size() >= WITNESSES;
      return wasSilent;
    }
  }

  /**
   * Set aside by this gateway, or silent as far as it sees; what finds no room is tried alone, as
   * without an owner.
   */
  private final Map<String, Boolean> aside = new TreeMap<>();

  /** What the last word was of each cache, of {@value #MOST}. */
  private final Map<String, Boolean> silentByWord =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > MOST;
        }
      };

  private final Map<String, Wanted> wanted = new LinkedHashMap<>();
  private final FencingGuard fence = new FencingGuard();
  private String prober = "";
  private long askedAt = Long.MIN_VALUE / 2, nextAsk, wordAt = Long.MIN_VALUE / 2, interval = EACH;
  private int turn, out, next, round;
  private boolean answered = true;

  /** Who is still to be told. */
  private final ArrayDeque<String> toTell = new ArrayDeque<>();

  private long tellFrom;

  /**
   * Between two trials of one that is silent: by all together a tenth of what each would, alone.
   */
  private long longest = LONGEST_PAUSE;

  // ---- As any gateway.

  /**
   * A cache was set aside here, or is silent as far as is seen here; or need not be tried any more.
   */
  public void healthChanged(long now, String cache, boolean well) {
    if (well) {
      aside.remove(cache);
    } else if (aside.size() < MOST && aside.put(cache, true) == null) {
      nextAsk = Math.min(nextAsk, Math.max(now, askedAt + SOON));
    }
  }

  /**
   * A cache answers this gateway: to whom it has to be told, if to anybody. Guards against an owner
   * whose own link to it is cut, and that has told all that it is silent.
   */
  public String endpointResponded(long now, String cache) {
    boolean told = Boolean.TRUE.equals(silentByWord.remove(cache));
    return told && now - wordAt < TRUSTED * interval ? prober : "";
  }

  /** Whether anything is set aside here. */
  public boolean hasSuspects() {
    return !aside.isEmpty();
  }

  /**
   * The question that is due, or null. It goes to the one that answered last, else in turn to those
   * that would own the task first.
   *
   * @param many how many gateways there are
   * @param order those that are there, in the order in which they would own it; this one is none of
   *     them
   * @param own whether this gateway owns it, and so asks itself
   */
  public ReportRequest nextReportRequest(
      long now, int many, Supplier<List<String>> order, boolean own) {
    interval = Math.max(EACH, many * (1000 * MS / ASKS_A_SECOND));
    longest =
        Math.max(SHORTEST, Math.min(LONGEST_PAUSE, FEWER * LONGEST_PAUSE / Math.max(1, many)));
    if (aside.isEmpty() || now < nextAsk) {
      return null;
    }
    nextAsk = now + interval;
    if (own) {
      aside.keySet().forEach(cache -> want(now, cache, ""));
      return null;
    }
    List<String> others = order.get();
    if (others.isEmpty()) {
      return null;
    }
    if (!answered) {
      prober = "";
    }
    boolean known = others.contains(prober);
    String to = known ? prober : others.get(turn++ % Math.min(CANDIDATES, others.size()));
    askedAt = now;
    answered = false;
    if (!known) {
      nextAsk = now + EACH / CANDIDATES; // One of the others may be it.
    }
    List<String> all = List.copyOf(aside.keySet());
    List<String> named = new ArrayList<>();
    for (int at = 0; at < Math.min(MOST_NAMED, all.size()); at++) {
      named.add(all.get(next++ % all.size()));
    }
    return new ReportRequest(to, askedAt, named);
  }

  /**
   * Word of an owner. Guards: a term below one that was seen here, and that a cache answers as the
   * answer to another question than the last, are worth nothing. What was not asked for is older
   * than it says.
   *
   * @param stamp of the question that it answers; 0 for none
   * @return what it says of caches, by this clock: of answers how long ago at the longest; null
   *     where it is passed over
   */
  public Map<String, HealthReport> reportReceived(
      long now, String from, long term, long stamp, Map<String, HealthReport> said) {
    if (!fence.tryAdmit(TASK, term, from)) {
      return null;
    }
    boolean last = stamp == askedAt;
    if (last) {
      answered = true;
      nextAsk = Math.max(nextAsk, askedAt + interval);
    }
    if (last || stamp == 0) {
      prober = from;
      wordAt = now;
    }
    Map<String, HealthReport> taken = new TreeMap<>();
    said.forEach(
        (cache, one) -> {
          if (one.ageNanos >= 0
              && (!one.responded || ((last || stamp == 0) && aside.containsKey(cache)))) {
            // Guards against word of an answer that was long on its way: it is older than it says.
            silentByWord.put(cache, !one.responded);
            taken.put(
                cache,
                one.responded
                    ? new HealthReport(true, one.ageNanos + (last ? now - stamp : LONGEST_WAY))
                    : one);
          }
        });
    return taken;
  }

  /** The highest term that was seen here. */
  public long highestTerm() {
    return fence.highestTerm(TASK);
  }

  /**
   * Whether what is set aside here is tried for the fleet: by another that may be trusted to, or by
   * this one.
   */
  public boolean isCentralized(long now, boolean own) {
    return own || now - wordAt < TRUSTED * interval;
  }

  // ---- As the owner.

  /** Another gateway, or this one, has set a cache aside. */
  private Wanted want(long now, String cache, String by) {
    wanted.values().removeIf(one -> !one.out && now - one.askedAt > (TRUSTED + 1) * interval);
    Wanted one = wanted.get(cache);
    if (one == null && wanted.size() < MOST) {
      one = new Wanted();
      wanted.put(cache, one);
    }
    if (one != null) {
      one.askedAt = now;
      if (one.by.size() < WITNESSES) {
        one.by.add(by);
      }
    }
    return one;
  }

  /**
   * What came of the trials of each of these that another has set aside. They are tried from now
   * on.
   */
  public Map<String, HealthReport> reportRequested(long now, String by, List<String> caches) {
    Map<String, HealthReport> said = new TreeMap<>();
    for (String cache : caches.subList(0, Math.min(MOST_NAMED, caches.size()))) {
      Wanted one = want(now, cache, by);
      if (one != null) {
        said.put(cache, one.said(now));
      }
    }
    return said;
  }

  /** What is to be tried now, each until {@link #healthCheckEnded} says what came of it. */
  public List<String> dueHealthChecks(long now) {
    List<String> due = new ArrayList<>();
    for (Map.Entry<String, Wanted> each : wanted.entrySet()) {
      Wanted one = each.getValue();
      boolean asked = now - one.askedAt <= (TRUSTED + 1) * interval;
      if (asked && !one.out && now >= one.nextTry && out < MOST_OUT) {
        one.out = true;
        one.sentAt = now;
        out++;
        due.add(each.getKey());
      }
    }
    return due;
  }

  /**
   * Another gateway has an answer from these: what the owner can't reach itself is not silent for
   * all.
   */
  public void endpointsResponsive(long now, List<String> caches) {
    for (String cache : caches.subList(0, Math.min(MOST_NAMED, caches.size()))) {
      Wanted one = wanted.get(cache);
      if (one != null) {
        tellFrom = one.answers ? tellFrom : now;
        one.heardUntil = now + HEARD_LASTS;
        one.answers = true;
        one.endedAt = now;
        one.silences = 0;
      }
    }
  }

  /** How a trial ended. One that nobody answered is made again after a longer pause each time. */
  public void healthCheckEnded(long now, String cache, HealthCheckOutcome end) {
    Wanted one = wanted.get(cache);
    out = Math.max(0, out - 1);
    if (one != null) {
      one.out = false;
      if (end == HealthCheckOutcome.NOT_SENT) {
        one.nextTry = now + PAUSE;
        return;
      }
      if (end == HealthCheckOutcome.SILENT && now < one.heardUntil) {
        one.nextTry = now + longest;
        return;
      }
      boolean other = one.answers != (end == HealthCheckOutcome.ANSWERED) && one.endedAt > 0;
      one.answers = end == HealthCheckOutcome.ANSWERED;
      one.endedAt = now;
      one.endedSentAt = one.sentAt;
      one.silences = one.answers ? 0 : one.silences + 1;
      one.pause = one.answers ? PAUSE : Math.min(longest, 2 * one.pause);
      one.nextTry = now + (one.answers ? AGAIN : one.silences < SILENCES ? 0 : one.pause);
      if (other || one.silences == SILENCES) {
        tellFrom = now; // All are told anew once those are through that are being told.
      }
    }
  }

  /**
   * What all are to know, for those that {@link #broadcastRecipients} names: caches that are
   * silent, or were and answer now. More than fit into a letter take turns, from one time that all
   * are told to the next.
   */
  public Map<String, HealthReport> broadcastReport(long now) {
    List<String> all = new ArrayList<>();
    wanted.forEach(
        (cache, one) -> {
          if (one.isNews() && now - one.askedAt <= (TRUSTED + 1) * interval) {
            all.add(cache);
          }
        });
    Map<String, HealthReport> news = new TreeMap<>();
    for (int at = 0; at < Math.min(MOST_NAMED, all.size()); at++) {
      String cache = all.get((round * MOST_NAMED + at) % all.size());
      news.put(cache, wanted.get(cache).said(now));
    }
    return news;
  }

  /** To whom it is to be told in this tick, of all that are there. */
  public List<String> broadcastRecipients(long now, List<String> there) {
    if (toTell.isEmpty() && now >= tellFrom) {
      toTell.addAll(there);
      round = (round + 1) % MOST;
      tellFrom = now + TOLD_EVERY_MS * MS;
    }
    List<String> some = new ArrayList<>();
    while (!toTell.isEmpty() && some.size() < TOLD_A_TICK) {
      some.add(toTell.poll());
    }
    return some;
  }

  /** Whether nothing is out: the task may be handed over. */
  public boolean isIdle() {
    return out == 0;
  }

  /** The task was lost: what comes after begins anew. */
  public void leadershipLost() {
    wanted.values().removeIf(one -> !one.out);
    toTell.clear();
  }
}
