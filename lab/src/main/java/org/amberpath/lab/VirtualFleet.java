package org.amberpath.lab;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.amberpath.leadership.CachePrefetch;
import org.amberpath.leadership.HealthCheckCoordinator;
import org.amberpath.recovery.RecoveryRamp;
import org.amberpath.routing.AttemptCommand;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.AttemptResult;
import org.amberpath.routing.EndpointDescription;
import org.amberpath.routing.EndpointHealthStatus;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.RecentRequests;
import org.amberpath.routing.RequestDetails;
import org.amberpath.routing.RequestRouter;
import org.amberpath.routing.ResponseDetail;
import org.amberpath.routing.RoutingActions;
import org.amberpath.routing.RoutingConfig;
import org.amberpath.routing.RoutingEventHandler;
import org.amberpath.routing.RoutingEvents;

/**
 * A fleet of real decisions on the virtual clock among simulated caches, hubs and an origin, and
 * viewers that ask on a schedule. Tasks of the fleet, if any, are owned by gateway 0 all the time:
 * whether tenure holds is another model's matter. A scenario is a class on it.
 *
 * <p>Bounds: the GETs of one day, at {@value #RATE} a second and gateway.
 */
public abstract class VirtualFleet {
  protected static final long MS = 1_000_000, SECOND = 1000 * MS, START = 1_700_000_000L * SECOND;
  protected static final int HUBS = 2, RATE = 10;
  protected static final double WORK = 0.05;
  private static final long LIMIT = 2 * SECOND,
      OBJECTIVE = 400 * MS,
      ACT = 500 * MS,
      STAGGER = 8 * SECOND;
  private static final double KB = 5000, BUSY = 0.55, SKEW = 0.9;
  private static final int OBJECTS = 3000,
      FIRST_PARTS = 4,
      NO_HINT_MS = 300,
      TENTHS = 10,
      RECENT = 256;

  /**
   * How a gateway opens after its start: all at once, at a time by its name, or by what comes back
   * in time.
   */
  public enum Opening {
    AT_ONCE,
    STAGGERED,
    BY_RETURNS
  }

  /** What is to be played. */
  public record Plan(
      long seed,
      int gateways,
      int caches,
      boolean probe,
      boolean warm,
      Opening opening,
      double origin) {
    /** One whose origin bears all, and whose gateways open at once. */
    public Plan(long seed, int gateways, int caches, boolean probe, boolean warm) {
      this(seed, gateways, caches, probe, warm, Opening.AT_ONCE, 1);
    }
  }

  protected final Plan plan;
  protected final SplittableRandom chance;
  protected final VirtualScheduler agenda = new VirtualScheduler(START);

  /** Edges, then hubs, then the origin. */
  protected final List<Cache> caches = new ArrayList<>();

  protected final List<One> gateways = new ArrayList<>();
  private final double[] popular = new double[OBJECTS];

  /** By second: GETs begun, returned within the objective, and what a scenario counts. */
  private final Map<String, long[]> seconds = new TreeMap<>();

  private final long end;
  private final int[] originTenths;
  protected long coldMost, coldFell;

  /** A fleet that plays for so many seconds. */
  protected VirtualFleet(Plan plan, int endS) throws IOException {
    this.plan = plan;
    end = endS * SECOND;
    originTenths = new int[(endS + 10) * TENTHS];
    chance = new SplittableRandom(plan.seed());
    double weight = plan.gateways() * RATE * WORK / plan.caches() / BUSY;
    double sum = 0;
    for (int one = 0; one < OBJECTS; one++) {
      sum += 1 / Math.pow(one + 1, SKEW);
      popular[one] = sum;
    }
    for (int one = 0; one < plan.caches(); one++) {
      caches.add(new Cache(one, LabSettings.EDGE, weight));
    }
    for (int one = 0; one < HUBS; one++) {
      caches.add(new Cache(caches.size(), LabSettings.HUB, weight * plan.caches()));
    }
    caches.add(
        new Cache(caches.size(), LabSettings.ORIGIN, weight * plan.caches() * plan.origin()));
    for (int one = 0; one < plan.gateways(); one++) {
      gateways.add(
          new One(
              one, LabSettings.options(chance.nextLong(), null, plan.gateways()).routingConfig()));
    }
  }

  /** What happens, and when. */
  protected abstract void script();

  protected abstract Map<String, Double> figures();

  /** A GET has come to a cache. */
  protected void came(Cache to, boolean own) {}

  /** Figures, by name. */
  public final Map<String, Double> run() {
    for (One one : gateways) {
      agenda.at(
          START + chance.nextLong(100 * MS),
          () -> {
            one.start(false);
            one.asks();
          });
    }
    script();
    while (agenda.step(START + end)) {
      // The condition does the work.
    }
    return figures();
  }

  /** Hubs have been there for long. */
  protected final void hubsHoldAll() {
    for (long key = FIRST_PARTS; key < (OBJECTS + 1L) * FIRST_PARTS; key++) {
      for (Cache hub : caches.subList(plan.caches(), plan.caches() + HUBS)) {
        hub.holds.add(key);
      }
    }
  }

  /** Of GETs begun in these seconds, the part that was returned within the objective. */
  protected final double share(int from, int to) {
    double asked = sum("asked", from, to);
    return asked == 0 ? 1 : sum("good", from, to) / asked;
  }

  protected final double sum(String what, int from, int to) {
    double sum = 0;
    for (int one = from; one < to; one++) {
      sum += seconds.getOrDefault(what, new long[(int) (end / SECOND) + 10])[one];
    }
    return sum;
  }

  /** The most fills that the origin was asked for in a tenth of a second, from a second on. */
  protected final int originPeak(int from) {
    return Arrays.stream(originTenths, from * TENTHS, originTenths.length).max().orElse(0);
  }

  /** How long from a second on until service stays at 0.95 of what it was before. */
  protected final double secondsBack(int from, int to, double before) {
    double back = to - from;
    for (int second = to - 1;
        second >= from && share(second, second + 1) >= 0.95 * before;
        second--) {
      back = second - from;
    }
    return back;
  }

  protected final void count(String what, long at) {
    long[] bins = seconds.computeIfAbsent(what, made -> new long[(int) (end / SECOND) + 10]);
    bins[(int) Math.min(bins.length - 1, (at - START) / SECOND)]++;
  }

  protected final void tell(int cache, EndpointState state, long startedAt) {
    for (One one : gateways) {
      agenda.at(
          agenda.now() + chance.nextLong(50 * MS),
          () ->
              one.tell(
                  to -> {
                    to.endpointListStarted(EndpointListKind.CHANGES);
                    one.member(to, caches.get(cache), state, startedAt);
                    to.endpointListCompleted();
                  }));
    }
  }

  // ---- Caches.

  /** What a gateway has asked of a cache. */
  private record Wanted(
      One by,
      long get,
      int copy,
      long key,
      boolean heldOnly,
      boolean keeps,
      Cache source,
      boolean own) {}

  /** An edge cache, a hub or the origin. */
  protected final class Cache {
    public final int index;
    final String kind;
    final double size;
    final Set<Long> holds = new HashSet<>();
    final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private final Map<Long, List<Runnable>> filling = new HashMap<>();
    final ArrayDeque<Long> lately = new ArrayDeque<>();
    public boolean hangs, down;
    public long startedAt;
    private long life;
    private double busy;

    Cache(int index, String kind, double size) {
      this.index = index;
      this.kind = kind;
      this.size = size;
    }

    public void dies() {
      down = true;
      life++;
      holds.clear();
      filling.clear();
      waiting.clear();
      busy = 0;
    }

    public void starts() {
      down = false;
      startedAt = agenda.now();
    }

    public void wakes() {
      hangs = false;
      waiting.clear();
      busy = 0;
      life++;
    }

    /** Work for one transfer; what finds no place waits. */
    private void work(Runnable done) {
      long of = life;
      Runnable begin =
          () -> {
            busy++;
            agenda.at(
                agenda.now() + (long) (WORK * SECOND * (0.8 + 0.4 * chance.nextDouble())),
                () -> {
                  if (life == of && !hangs) {
                    busy--;
                    if (!waiting.isEmpty()) {
                      waiting.poll().run();
                    }
                    done.run();
                  }
                });
          };
      if (busy < Math.max(1, size)) {
        begin.run();
      } else {
        waiting.add(begin);
      }
    }

    void want(Wanted wanted) {
      long of = life;
      if (down) {
        wanted.by.back(wanted, AttemptOutcome.CONNECT_FAILED, ResponseDetail.NONE);
        return;
      }
      came(this, wanted.own);
      bound();
      if (hangs) {
        return;
      }
      boolean hit = holds.contains(wanted.key);
      if (startedAt > 0 && !wanted.own) {
        count(hit ? "cold_hit" : "cold_miss", agenda.now());
      }
      if (!hit && wanted.heldOnly) {
        wanted.by.back(wanted, AttemptOutcome.NOT_CACHED, ResponseDetail.NONE);
        return;
      }
      Runnable served =
          () ->
              work(
                  () -> {
                    if (life == of && wanted.keeps) {
                      holds.add(wanted.key);
                    }
                    wanted.by.back(
                        wanted,
                        AttemptOutcome.SUCCEEDED,
                        hit ? ResponseDetail.HIT : ResponseDetail.FILLED);
                  });
      if (hit) {
        served.run();
      } else {
        agenda.at(agenda.now() + MS, () -> wanted.source.fill(wanted.key, served));
      }
    }

    void fill(long key, Runnable filled) {
      if (down || hangs) {
        return;
      }
      Cache origin = caches.get(caches.size() - 1);
      if (holds.contains(key) || this == origin) {
        if (this == origin) {
          count("origin", agenda.now());
          originTenths[
              (int)
                  Math.min(originTenths.length - 1, (agenda.now() - START) / (SECOND / TENTHS))]++;
        }
        work(filled);
      } else if (filling.containsKey(key)) {
        filling.get(key).add(filled); // Joins the fill that is under way.
      } else {
        List<Runnable> all = new ArrayList<>(List.of(filled));
        filling.put(key, all);
        long of = life;
        agenda.at(
            agenda.now() + 20 * MS,
            () ->
                origin.fill(
                    key,
                    () -> {
                      if (life == of) {
                        holds.add(key);
                        filling.remove(key);
                        all.forEach(Runnable::run);
                      }
                    }));
      }
    }

    /**
     * How much of what it bears in the time that the site names it gets while cold, all gateways
     * together.
     */
    private void bound() {
      double ramp =
          startedAt == 0
              ? 1
              : Math.min(
                  1,
                  LabSettings.COLD_SHARE
                      + (1 - LabSettings.COLD_SHARE)
                          * (agenda.now() - startedAt)
                          / (LabSettings.COLD_S * SECOND));
      lately.add(agenda.now());
      while (lately.peek() < agenda.now() - (long) (LabSettings.FALL_S * SECOND)) {
        lately.poll();
      }
      if (startedAt > 0 && ramp < 1) {
        double may = LabSettings.FALL_MULTIPLE * ramp * size / WORK * LabSettings.FALL_S;
        coldMost =
            Math.max(coldMost, (long) (1000 * lately.size() / (may + 3 * Math.sqrt(may) + 3)));
        coldFell += lately.size() > may + 3 * Math.sqrt(may) + 3 ? 1 : 0;
      }
    }
  }

  // ---- Gateways.

  private record Viewer(long key, long began, int tries) {}

  private record Asked(long object, int part) {}

  /** A gateway: its decisions, its viewers, and what it does for the fleet. */
  protected final class One implements RoutingEvents, RoutingActions {
    final int index;
    private final RoutingConfig site;
    private RequestRouter router;
    private RecoveryRamp opening;
    private boolean up;
    private long life, openAt;
    private final List<Consumer<RoutingEventHandler>> came = new ArrayList<>();
    private List<Consumer<RoutingEventHandler>> round = List.of();
    private boolean due;
    private final Map<Long, Viewer> viewers = new HashMap<>();
    private final Map<Long, Consumer<HealthCheckCoordinator.HealthCheckOutcome>> own =
        new HashMap<>();
    private final Map<Long, Long> keys = new HashMap<>();
    private final Map<Long, Integer> copies = new HashMap<>();
    private final Set<String> open = new HashSet<>();
    private HealthCheckCoordinator trials = new HealthCheckCoordinator();
    private CachePrefetch ahead = new CachePrefetch();
    private RecentRequests<Asked, Asked> recent = new RecentRequests<>(RECENT);
    private boolean forAll;
    private long ids;

    /** Some gateways get several times the mean. */
    private final double share;

    One(int index, RoutingConfig site) {
      this.index = index;
      this.site = site;
      share = 0.25 + 1.5 * chance.nextDouble();
    }

    /** Starts with nothing, and with all others or not. */
    public void start(boolean loss) {
      up = true;
      life++;
      router = new RequestRouter(site);
      trials = new HealthCheckCoordinator();
      ahead = new CachePrefetch();
      recent = new RecentRequests<>(RECENT);
      forAll = false;
      openAt =
          loss && plan.opening() == Opening.STAGGERED
              ? agenda.now() + chance.nextLong(STAGGER)
              : agenda.now();
      opening = new RecoveryRamp(chance.nextLong(), SECOND, agenda.now());
      tell(
          to -> {
            to.endpointListStarted(EndpointListKind.FULL);
            caches.forEach(
                cache ->
                    member(
                        to,
                        cache,
                        cache.down ? EndpointState.GONE : EndpointState.UP,
                        cache.startedAt));
            to.endpointListCompleted();
          });
      // Of what its part of the cold budgets bears it knows the caches that are there.
      double bears =
          caches.stream()
                  .filter(cache -> cache.kind.equals(LabSettings.EDGE))
                  .mapToDouble(cache -> cache.size)
                  .sum()
              / WORK
              * LabSettings.COLD_SHARE
              / plan.gateways();
      opening.startupCompleted(agenda.now(), loss && plan.opening() == Opening.BY_RETURNS, bears);
      tick();
    }

    /** Loses power: what it held is gone, its viewers ask again. */
    public void dies() {
      up = false;
      life++;
      open.clear();
      came.clear();
      due = false;
      own.clear();
      List<Viewer> all = List.copyOf(viewers.values());
      viewers.clear();
      all.forEach(viewer -> again(viewer, NO_HINT_MS * MS));
    }

    private void again(Viewer viewer, long wait) {
      if (agenda.now() + wait < viewer.began + LIMIT - 100 * MS) {
        agenda.at(
            agenda.now() + wait, () -> ask(new Viewer(viewer.key, viewer.began, viewer.tries + 1)));
      }
    }

    void member(RoutingEventHandler to, Cache cache, EndpointState state, long startedAt) {
      String address = "10.0.0." + cache.index + ":90";
      to.endpointListed(
          new EndpointDescription(
              cache.index, address, LabSettings.ZONE, cache.kind, 0, state, cache.size, startedAt));
    }

    void tell(Consumer<RoutingEventHandler> event) {
      if (!up) {
        return;
      }
      came.add(event);
      if (!due) {
        due = true;
        later(
            0,
            () -> {
              due = false;
              round = List.copyOf(came);
              came.clear();
              router.decide(agenda.now(), this, this);
            });
      }
    }

    /** Something of this life. */
    private void later(long wait, Runnable what) {
      long of = life;
      agenda.at(
          agenda.now() + wait,
          () -> {
            if (life == of) {
              what.run();
            }
          });
    }

    @Override
    public void replayTo(RoutingEventHandler to) {
      round.forEach(event -> event.accept(to));
    }

    private void asks() {
      agenda.at(
          agenda.now() + (long) (-Math.log(1 - chance.nextDouble()) / (RATE * share) * SECOND),
          () -> {
            if (agenda.now() < START + end - 3 * SECOND) {
              double at = chance.nextDouble() * popular[OBJECTS - 1];
              int found = Arrays.binarySearch(popular, at);
              long object = 1L + (found < 0 ? -found - 1 : found);
              ask(new Viewer(object * FIRST_PARTS + chance.nextInt(FIRST_PARTS), agenda.now(), 0));
              asks();
            }
          });
    }

    private void ask(Viewer viewer) {
      if (viewer.tries == 0) {
        count("asked", viewer.began);
      }
      if (!up) {
        again(viewer, NO_HINT_MS * MS);
        return;
      }
      long object = viewer.key / FIRST_PARTS;
      int part = (int) (viewer.key % FIRST_PARTS);
      if (agenda.now() < openAt || !opening.tryAdmit(agenda.now(), part > 0)) {
        count("turned_away", agenda.now());
        again(viewer, agenda.now() < openAt ? NO_HINT_MS * MS : opening.retryAfterNanos(part > 0));
        return;
      }
      long id = ++ids;
      viewers.put(id, viewer);
      recent.add(new Asked(object, part), new Asked(object, part));
      keys.put(id, viewer.key);
      tell(
          to ->
              to.requestReceived(
                  new RequestDetails(
                      id, 0, object, 0, part, viewer.began + LIMIT - agenda.now(), KB, false)));
      agenda.at(
          viewer.began + LIMIT,
          () -> {
            if (viewers.remove(id) != null) {
              tell(to -> to.clientDisconnected(id));
            }
          });
    }

    // ---- What the decisions say.

    @Override
    public void sendAttempt(AttemptCommand command) {
      int copy = copies.merge(command.requestId(), 1, Integer::sum) - 1;
      Wanted wanted =
          new Wanted(
              this,
              command.requestId(),
              copy,
              keys.get(command.requestId()),
              (command.options() & AttemptCommand.CACHED_ONLY) != 0,
              command.rank() > 0,
              caches.get(command.source()),
              own.containsKey(command.requestId()));
      open.add(command.requestId() + "/" + copy);
      agenda.at(
          agenda.now() + MS + chance.nextLong(MS),
          () -> caches.get(command.endpoint()).want(wanted));
      agenda.at(
          command.deadlineNanos(),
          () -> end(wanted, command.endpoint(), AttemptOutcome.TIMED_OUT, ResponseDetail.NONE));
    }

    void back(Wanted wanted, AttemptOutcome outcome, ResponseDetail note) {
      agenda.at(agenda.now() + MS + chance.nextLong(MS), () -> end(wanted, -1, outcome, note));
    }

    private void end(Wanted wanted, int cache, AttemptOutcome outcome, ResponseDetail note) {
      if (!open.remove(wanted.get + "/" + wanted.copy)) {
        return;
      }
      boolean returned = outcome == AttemptOutcome.SUCCEEDED;
      Viewer viewer = returned ? viewers.remove(wanted.get) : null;
      Consumer<HealthCheckCoordinator.HealthCheckOutcome> ends =
          returned || outcome == AttemptOutcome.NOT_CACHED ? own.remove(wanted.get) : null;
      if (viewer != null && agenda.now() - viewer.began <= OBJECTIVE) {
        count("good", viewer.began);
      }
      if (viewer != null) {
        opening.requestSucceeded();
      }
      if (ends != null) {
        ends.accept(HealthCheckCoordinator.HealthCheckOutcome.ANSWERED);
      }
      long took = LIMIT; // The decisions look at it for what was returned alone.
      tell(
          to ->
              to.attemptEnded(
                  new AttemptResult(
                      wanted.get,
                      wanted.copy,
                      cache,
                      outcome,
                      returned ? (long) (WORK * SECOND) : took,
                      returned
                          || (!viewers.containsKey(wanted.get) && !own.containsKey(wanted.get)),
                      note)));
    }

    @Override
    public void reject(long get, long wait) {
      Viewer viewer = viewers.remove(get);
      if (viewer != null) {
        count("shed", agenda.now());
        again(viewer, wait > 0 ? wait : NO_HINT_MS * MS);
      }
      fail(get);
    }

    @Override
    public void fail(long get) {
      viewers.remove(get);
      Consumer<HealthCheckCoordinator.HealthCheckOutcome> ends = own.remove(get);
      if (ends != null) {
        ends.accept(
            copies.containsKey(get)
                ? HealthCheckCoordinator.HealthCheckOutcome.SILENT
                : HealthCheckCoordinator.HealthCheckOutcome.NOT_SENT);
      }
    }

    @Override
    public void cancelAttempt(long get, int copy) {
      open.remove(get + "/" + copy);
      tell(
          to ->
              to.attemptEnded(
                  new AttemptResult(
                      get, copy, 0, AttemptOutcome.CANCELLED, 0, true, ResponseDetail.NONE)));
    }

    @Override
    public void scheduleTimer(long delay, String handle) {
      later(delay, () -> tell(to -> to.timerFired(handle)));
    }

    @Override
    public void subscribeEndpoints() {}

    // ---- What is done for the fleet, by gateway 0.

    private boolean owns(boolean task) {
      return task && index == 0;
    }

    @Override
    public void endpointHealthChanged(int cache, EndpointHealthStatus health) {
      String name = Integer.toString(cache);
      String owner =
          health == EndpointHealthStatus.RESPONSIVE
              ? trials.endpointResponded(agenda.now(), name)
              : "";
      if (!owner.isEmpty()) {
        post(
            Integer.parseInt(owner),
            to -> to.trials.endpointsResponsive(agenda.now(), List.of(name)));
      }
      trials.healthChanged(agenda.now(), name, health != EndpointHealthStatus.SUSPECT);
    }

    @Override
    public void endpointWarmingUp(int cache, long until) {
      ahead.endpointWarmingUp(agenda.now(), Integer.toString(cache), until);
    }

    private void tick() {
      long now = agenda.now();
      if (plan.probe()) {
        HealthCheckCoordinator.ReportRequest ask =
            trials.nextReportRequest(
                now,
                gateways.size(),
                () ->
                    gateways.stream()
                        .filter(one -> one != this)
                        .map(one -> Integer.toString(one.index))
                        .toList(),
                owns(true));
        if (ask != null) {
          post(Integer.parseInt(ask.recipient()), to -> to.asked(this, ask));
        }
        if (owns(true)) {
          attempt();
          Map<String, HealthCheckCoordinator.HealthReport> news = trials.broadcastReport(now);
          if (!news.isEmpty()) {
            List<String> there = gateways.stream().map(one -> Integer.toString(one.index)).toList();
            trials
                .broadcastRecipients(now, there)
                .forEach(one -> post(Integer.parseInt(one), to -> to.word(0, news)));
          }
        }
        trust();
      }
      if (owns(plan.warm())) {
        ahead.tick();
        fill();
      }
      opening.tick(now);
      later(100 * MS, this::tick);
    }

    private void post(int to, Consumer<One> letter) {
      agenda.at(agenda.now() + MS + chance.nextLong(4 * MS), () -> letter.accept(gateways.get(to)));
    }

    private void trust() {
      boolean another = trials.isCentralized(agenda.now(), owns(true));
      if (another != forAll) {
        forAll = another;
        tell(to -> to.healthChecksDelegated(another));
      }
    }

    private void asked(One by, HealthCheckCoordinator.ReportRequest ask) {
      if (owns(plan.probe())) {
        Map<String, HealthCheckCoordinator.HealthReport> said =
            trials.reportRequested(agenda.now(), Integer.toString(by.index), ask.endpoints());
        attempt();
        post(by.index, to -> to.word(ask.requestedAtNanos(), said));
      }
    }

    private void word(long stamp, Map<String, HealthCheckCoordinator.HealthReport> said) {
      Map<String, HealthCheckCoordinator.HealthReport> taken =
          trials.reportReceived(agenda.now(), "0", 1, stamp, said);
      trust();
      taken.forEach(
          (cache, one) ->
              tell(
                  to ->
                      to.healthReported(Integer.parseInt(cache), one.responded(), one.ageNanos())));
    }

    private void attempt() {
      for (String cache : trials.dueHealthChecks(agenda.now())) {
        Asked like = recent.latest();
        own(
            like,
            Integer.parseInt(cache),
            end -> trials.healthCheckEnded(agenda.now(), cache, end));
      }
    }

    private void fill() {
      while (ahead.tryStartRequest(agenda.now())) {
        Asked like = recent.nextInPass();
        if (like == null) {
          recent.startPass();
          ahead.passEnded(agenda.now());
          return;
        }
        own(
            like,
            -1,
            end -> {
              ahead.requestEnded();
              fill();
            });
      }
    }

    private void own(
        Asked like, int cache, Consumer<HealthCheckCoordinator.HealthCheckOutcome> ends) {
      long id = ++ids;
      own.put(id, ends);
      keys.put(id, like.object * FIRST_PARTS + like.part);
      tell(
          to ->
              to.syntheticRequestReceived(
                  new RequestDetails(id, 0, like.object, 0, like.part, ACT, KB, false), cache));
      agenda.at(
          agenda.now() + ACT,
          () -> {
            Consumer<HealthCheckCoordinator.HealthCheckOutcome> late = own.remove(id);
            if (late != null) {
              late.accept(HealthCheckCoordinator.HealthCheckOutcome.SILENT);
              tell(to -> to.clientDisconnected(id));
            }
          });
    }
  }
}
