package amberpath;

import amberpath.Arrivals.Note;
import amberpath.Arrivals.Outcome;
import amberpath.Decisions.Health;
import amberpath.Site.Effect;
import amberpath.Site.Group;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.TreeMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/**
 * Decides, for one gateway, where each GET is returned from, filled from and kept. {@link #round} is called
 * once a round with all that came in; it replays the {@link Arrivals} into the callbacks below, which write
 * straight into the {@link Decisions}. {@link Site} says what the gateway was told at start.
 * The design (docs/design.md) is {@link #get}, with {@link #admitted} and {@link #first}. Beside it stand:
 * 1. standing: a cache or source that gives no sign of life is set aside, then gets a trickle that doubles;
 * 2. cold ramp: one that has just started gets a thin slice of the keys that widens, and a budget;
 * 3. further forwards: after an end that permits one, when stuck or overtaken, for a share of the GETs;
 * 4. detour of source: the next parent by hash, then the origin;
 * 5. limits: this gateway's part of what comes back in time: GETs at a cache, fills through a source, into
 *    the zone and by way of the origin; past them the next cache by hash, what is held, ageing too, a shed;
 * 6. late rank: a first start is kept at the lowest rank until it is asked for again.
 * For the fleet, where one gateway is told to: trials of 1 that stand for all, a cache of 2 filled ahead.
 */
public final class Control implements Arrivals.Events {
  private static final long MS = 1_000_000L;

  // The design's own values.
  private static final int KMIN = 3, TABLE = 256, STARTS = 8192, RANK = 2, FIRST_RANK = 1;

  // Standing: how many late GETs and what silence set a member aside, and how it comes back.
  private static final long SWEEP = 20 * MS, SILENCE = 600 * MS, STEP = 500 * MS;
  private static final long PAUSE = 250 * MS, LONGEST_PAUSE = 4000 * MS, SUSPECT = 1000 * MS;
  private static final long LATER = 4 * LONGEST_PAUSE; // Between all others' trials, while one tries.
  private static final double TRICKLE = 1.0 / 16, LATE = 2;

  // Cold ramp: parts of what the guarantee allows; the rest is for what others do unseen. AHEAD: for all.
  private static final double SLICE = 0.9, BUDGET = 0.5, AHEAD = 0.25, WARM_PEERS = 0.25, CARRIED_OVER = 4e9;

  private static final double FURTHER_SHARE = 0.2, FURTHER_SAVED = 40, LEAST_LEFT = 20 * MS;

  // Limits, for a gateway with EACH caches to itself and SOURCES parents. CROWDED, CROWD: spread before them.
  private static final double EACH = 3, SOURCES = 2, CROWDED = 1.75, CROWD = 4;
  private static final double FIRST_LIMIT = 24, LEAST_LIMIT = 3, LATE_CUT = 0.8, USED_OVER = 2, REFUSED = 1;
  private static final double DEAR = 1.5, DEARER = 1.5, UNKEPT = 0.8, PROMPT = 0.75, CUT_EVERY = 200 * MS;

  private static final int BINS = 24, FULL = 512; // Histograms: two bins to a doubling, halved when full.

  private static final long[] NEVER = new long[4];

  private final Site site;
  private final Service[] services;
  private final Map<String, Cold> colds = new TreeMap<>();
  private int here, all;
  private boolean granted = true, forAll;
  private final SplittableRandom random;

  private final Map<Integer, Member> members = new TreeMap<>();
  private Member[] caches = {}, parents = {};
  private Member origin;

  private final Map<Long, Get> gets = new TreeMap<>();
  private final LinkedHashSet<Forward> open = new LinkedHashSet<>();
  /** By object: last start, the one before, shortest answer (for an untold size), and last part seen. */
  private final Map<Long, long[]> starts = new LinkedHashMap<>();
  private final long[] tableObject = new long[TABLE];
  private final int[] tableSegment = new int[TABLE];
  private int tabled;
  private final Map<Long, Long> purges = new TreeMap<>();
  private final Load originLoad = new Load(), link = new Load();
  private double further = FURTHER_SAVED;
  private boolean sweeping, watching, cachesWarm = true, parentsWarm = true;

  private long now, firstRoundAt = Long.MIN_VALUE;
  private Decisions out;

  public Control(Site site) {
    this.site = site;
    random = new SplittableRandom(site.seed());
    services = new Service[site.deliveryServices()];
    Arrays.setAll(services, Service::new);
    here = Math.max(1, site.gatewaysHere());
    all = Math.max(1, site.gateways());
  }

  public void round(long time, Arrivals in, Decisions to) {
    now = time;
    firstRoundAt = firstRoundAt == Long.MIN_VALUE ? time : firstRoundAt;
    out = to;
    if (!watching && site.listOnRequest()) {
      watching = true;
      out.watchList();
    }
    in.replay(this);
  }

  /** The ordinary path of a GET. */
  @Override public void get(long id, int ds, long object, int group, int part, long timeLeft, double kb,
      boolean write) {
    Get get = opened(id, services[ds], object, group, part, timeLeft, kb);
    get.write = write || site.neverKept(ds);
    further = Math.min(FURTHER_SAVED, further + FURTHER_SHARE);

    // Where gateways share the zone, a part that does not follow the last one seen is of another viewing.
    long[] seen = starts.getOrDefault(object, NEVER);
    boolean other = here > 1 && (seen == NEVER || part <= seen[3]);
    long previous = part == 0 || other ? started(object) : seen[1];
    starts.getOrDefault(object, new long[4])[3] = part;
    if (!get.write && (get.segment < KMIN || admitted(object, get.segment, previous))) {
      get.rank = get.segment < KMIN && previous == 0 ? FIRST_RANK : RANK;
    }
    if (!place(get)) {
      giveUp(get);
    }
  }

  private Get opened(long id, Service service, long object, int group, int part, long timeLeft, double kb) {
    long sending = kb > 0 && site.flowKbPerSecond() > 0 ? (long) (kb / site.flowKbPerSecond() * 1e9) : 0;
    Get get = new Get(id, service, object, group);
    get.segment = Integer.SIZE - Integer.numberOfLeadingZeros(part);
    get.due = now + timeLeft;
    long work = sending > 0 ? sending : starts.getOrDefault(object, NEVER)[2];
    get.sized = work > 0;
    get.patience = site.latencyObjective(service.ds) + (long) (site.stretch(service.ds)
        * (work > 0 ? work : service.work));
    gets.put(id, get);
    get.told = sending > 0;
    if (get.told) {
      service.measure(sending);
    }
    return get;
  }

  /** A trial keeps nothing, out of this gateway's part; what is filled ahead has a part of its own. */
  @Override public void own(long id, int ds, long object, int group, int part, long timeLeft, double kb,
      int cache) {
    Get get = opened(id, services[ds], object, group, part, timeLeft, kb);
    get.own = true;
    get.ahead = cache < 0;
    get.rank = !get.ahead ? 0 : starts.getOrDefault(object, NEVER)[1] == 0 ? FIRST_RANK : RANK;
    Member to = get.ahead ? first(caches, get, get.segment, false, false) : members.get(cache);
    Member source = get.ahead ? source(get) : null; // A trial asks for no more than what is held.
    boolean may = to != null && to.up && to.edge && site.effect(ds) == Effect.IDEMPOTENT && (get.ahead
        ? source != null && get.segment < KMIN && ahead(to, get.service)
        : affords(to, get.service) && (to.share(now) > 0 || now >= to.trialAt && to.held == 0));
    if (!may || !forward(get, to, source, !get.ahead || crowdedOrigin(get))) {
      giveUp(get);
    }
  }

  /** Whether a cold cache bears one more ahead of the viewers: over time, a part of what it is promised. */
  private boolean ahead(Member member, Service service) {
    boolean may = granted && member.ramp(now) < 1 && member.share(now) == 1 && now >= member.aheadAt;
    if (may) {
      double rate = Math.max(1e-6, AHEAD / BUDGET * rate(member, now) / member.cold.part);
      member.aheadAt = now + (long) (service.work / rate);
    }
    return may;
  }

  @Override public void tried(boolean once) {
    forAll = once;
  }

  /** Guards against word that what was seen here since belies, and against most caches set aside by it. */
  @Override public void vouched(int cache, boolean answers, long ago) {
    Member member = members.get(cache);
    if (member != null && member.up && answers && now >= member.trialAt) {
      proved(member, now - ago);
    } else if (member != null && member.up && !answers && member.share(now) > 0 && member.heardAt < now - ago
        && mostStand(caches)) {
      setAside(member);
    }
  }

  /** Notes a start; returns the object's start before it, or 0. */
  private long started(long object) {
    long[] stamps = starts.containsKey(object) ? starts.remove(object) : NEVER;
    starts.put(object, new long[] {now, stamps[0], stamps[2], 0});
    if (starts.size() > STARTS) {
      starts.remove(starts.keySet().iterator().next());
    }
    return stamps[0];
  }

  /** Whether a later segment is kept: contiguous and, the table full, worth more than the least in it. */
  private boolean admitted(long object, int segment, long previous) {
    boolean contiguous = segment - 1 < KMIN || here > 1 && admitted(object, segment - 1, previous);
    int lowest = -1;
    double least = Double.MAX_VALUE;
    for (int i = 0; i < tabled; i++) {
      if (tableObject[i] == object && tableSegment[i] == segment) {
        return true;
      }
      contiguous |= tableObject[i] == object && tableSegment[i] == segment - 1;
      double value = cachingValue(starts.getOrDefault(tableObject[i], NEVER)[1], tableSegment[i]);
      if (value < least) {
        least = value;
        lowest = i;
      }
    }
    double value = cachingValue(previous, segment);
    if (!contiguous || value <= 0 || tabled == TABLE && value <= least) {
      return false;
    }
    lowest = tabled < TABLE ? tabled++ : lowest;
    tableObject[lowest] = object;
    tableSegment[lowest] = segment;
    return true;
  }

  private double cachingValue(long previous, int segment) {
    return previous == 0 ? 0 : 1.0 / (Math.max(1, now - previous) * (double) segment);
  }

  private boolean place(Get get) {
    Member source = source(get);
    Member cache = get.write && site.bypass() && source != null ? source : cache(get);
    return cache != null && permits(get, cache) // The origin, too, may be another than where it may have run.
        && forward(get, cache, source, source == null || crowdedOrigin(get));
  }

  /** The edge cache: by hash of object and segment, over the caches of the zone that will take it. */
  private Member cache(Get get) {
    Member best = first(caches, get, get.segment, true, true);
    best = best != null ? best : first(caches, get, get.segment, true, false);
    best = best != null ? best : first(caches, get, get.segment, false, false);
    return best != null && best.hasRoom(now, dear(get.service)) ? best : null;
  }

  /** By hash of the object over all parents; the origin when none stands. None past a limit: guards hits. */
  private Member source(Get get) {
    if (!get.write && !link.hasRoom(now, unkept(get))) {
      return null;
    }
    Member best = first(parents, get, 0, true, !get.write);
    if (best != null) {
      return best;
    }
    best = origin != null && origin.up && !get.tried.contains(origin) ? origin
        : first(parents, get, 0, false, false);
    return best == origin && crowdedOrigin(get) ? null : best;
  }

  private double unkept(Get get) {
    return dear(get.service) * (get.rank == 0 ? UNKEPT : 1);
  }

  /** The first by highest random weight, so that all gateways agree, also on the next. Cold budgets bind. */
  private Member first(Member[] among, Get get, int segment, boolean standing, boolean room) {
    Member best = null;
    double highest = -1;
    double crowd = room ? crowd(among) : 0;
    double dear = dear(get.service);
    for (Member member : among) {
      if (!member.up || get.tried.contains(member) || !permits(get, member)) {
        continue;
      }
      long key = mix(get.object * 31 + segment ^ member.hash);
      double score = member.weight / -Math.log(unit(key));
      if (score > highest && (!standing || takes(member, unit(mix(key + 1))))
          && (!room || member.hasRoom(now, dear) // Where many gateways share, two out are chance.
          && member.held <= crowd * member.weight + 1 - member.cold.part)
          && (get.ahead && member.edge || affords(member, get.service))) {
        best = member;
        highest = score;
      }
    }
    return best;
  }

  private boolean forward(Get get, Member cache, Member source, boolean heldOnly) {
    Member from = source == null ? cache : source;
    long fresh = site.fresh(get.service.ds);
    int switches = (site.joins() ? Decisions.JOIN : 0)
        + (heldOnly ? Decisions.HELD_ONLY : fresh > 0 && from.ramp(now) >= 1 ? Decisions.RENEW : 0);
    long age = age(get, fresh + (heldOnly ? site.grace(get.service.ds) : 0));
    if (get.ran != null && site.effect(get.service.ds) == Effect.TOKENED) {
      out.sendBy(get.id, get.ran.sentAt + site.window(get.service.ds));
    }
    out.forward(get.id, cache.index, get.due, from.index, age, get.rank, switches);
    boolean askedIfMissed = from != cache && cache.ramp(now) >= 1 && from.ramp(now) < 1;
    Forward sent = new Forward(get, get.forwards.size(), cache, from, heldOnly, now,
        askedIfMissed ? get.service.work / 1e9 : 0);
    get.forwards.add(sent);
    get.out++;
    open.add(sent);
    if (cache.held++ == 0) {
      cache.heardAt = now;
    }
    charge(cache, get.ahead ? 0 : get.service.work / 1e9);
    if (from != cache) {
      count(sent, get.service.missShare());
      charge(from, get.service.work / 1e9);
    }
    if (!sweeping) {
      sweeping = true;
      out.wake(SWEEP, "sweep");
    }
    return true;
  }

  /** The oldest copy that will do. Guards against purged copies until all caches have dropped theirs. */
  private long age(Get get, long oldest) {
    long purged = Math.max(purges.getOrDefault(get.object, 0L), Math.max(purges.getOrDefault(
        ~(long) get.group, 0L), purges.getOrDefault(~(long) Membership.EVERYTHING, 0L)));
    long bound = Math.max(MS, now - purged - MS);
    return now - purged <= site.purgeTakes() && (oldest == 0 || bound < oldest) ? bound : oldest;
  }

  @Override public void purged(long object, int group, long ago) {
    purges.values().removeIf(at -> now - at > site.purgeTakes());
    purges.merge(object != 0 ? object : ~(long) group, now - ago, Math::max);
  }

  @Override public void begun(long id, int copy) {
    if (gets.containsKey(id)) {
      gets.get(id).streaming = true;
    }
  }

  @Override public void ended(long id, int copy, int cache, Outcome outcome, long took, boolean settled,
      Note note) {
    Get get = gets.get(id);
    if (get == null || copy >= get.forwards.size() || !open.remove(get.forwards.get(copy))) {
      return;
    }
    Forward forward = get.forwards.get(copy);
    get.out--;
    forward.cache.held--;
    learn(forward, outcome, took, note);
    if (!outcome.notRun && (get.ran == null || forward.sentAt < get.ran.sentAt)) {
      get.ran = forward;
    }
    if (settled) {
      finish(get);
    } else if (!get.done && get.out == 0) {
      tryFurther(get, forward, outcome, note);
    } else if (get.done && get.out == 0) {
      gets.remove(id);
    }
  }

  private void learn(Forward forward, Outcome outcome, long took, Note note) {
    Service service = forward.get.service;
    boolean inTime = took <= forward.get.patience * PROMPT;
    switch (outcome) {
      case RETURNED -> {
        service.counted(note);
        forward.cache.carried(now, service.work / 1e9);
        alive(forward.cache, forward.sentAt);
        long[] seen = starts.getOrDefault(forward.get.object, new long[4]);
        seen[2] = seen[2] == 0 ? took : Math.min(seen[2], took);
        boolean hit = note == Note.HIT || note == Note.NOTHING;
        boolean byOrigin = note == Note.FILLED_BY_ORIGIN;
        if (hit) {
          refund(forward.source, forward.refundable);
        }
        if (hit && !forward.get.told) {
          service.measure(took);
        } else if (!hit) {
          forward.source.carried(now, service.work / 1e9);
          alive(forward.source, forward.sentAt);
        }
        if (forward.get.sized) {
          Load whose = byOrigin ? originLoad : hit ? forward.cache : forward.source;
          whose.answered(now, inTime);
          whose.promptAt = inTime ? Math.max(whose.promptAt, forward.sentAt) : whose.promptAt;
          if (!hit && !byOrigin) {
            link.answered(now, inTime);
          }
        }
      }
      case TURNED_AWAY, NOT_STORED, ERRORED -> {
        forward.cache.heardAt = now;
        if (forward.get.own && outcome == Outcome.NOT_STORED) {
          alive(forward.cache, forward.sentAt);
        }
        if (note.compareTo(Note.SOURCE_TURNED_AWAY) >= 0 && note != Note.NO_PLACE) {
          service.counted(note);
        }
        if (note == Note.SOURCE_UNREACHED) {
          forward.source.strikes++;
          forward.source.answered(now, false);
        } else if (note == Note.ORIGIN_ERRORED || note == Note.SOURCE_TURNED_AWAY) {
          boolean origins = note == Note.ORIGIN_ERRORED || forward.source == origin;
          (origins ? originLoad : forward.source).refused(now);
        } else if (outcome == Outcome.TURNED_AWAY) {
          forward.cache.refused(now);
        }
      }
      case NO_ANSWER -> forward.source.answered(now, forward.source == forward.cache // Guards against blame
          || forward.source.heardAt > forward.sentAt + forward.get.patience); // for answers that got lost.
      case LOST -> forward.cache.strikes++; // Guards against resets of single answers: no outage.
      case NO_CONNECTION -> setAside(forward.cache);
      default -> { }
    }
  }

  /** A further forward where the GET's kind, its time and the cap permit; else the final answer, at once. */
  private void tryFurther(Get get, Forward last, Outcome outcome, Note note) {
    get.unfilled |= note == Note.ORIGIN_ERRORED; // Another parent would only ask the same origin again.
    boolean heldOnly = last.heldOnly && outcome == Outcome.NOT_STORED;
    boolean source = note.compareTo(Note.SOURCE_TURNED_AWAY) >= 0 && note != Note.NO_PLACE;
    boolean unsent = outcome == Outcome.HELD_BACK; // Guards its cache and the cap: it asked nothing.
    further += heldOnly || get.unfilled || unsent ? 1 : 0;
    if (!heldOnly && !get.unfilled && !unsent) {
      get.tried.add(source ? last.source : last.cache);
    }
    if (heldOnly && (source(get) == null || crowdedOrigin(get))
        || outcome == Outcome.NO_ANSWER || !again(get)) {
      giveUp(get);
    }
  }

  private boolean again(Get get) {
    return !get.streaming && !get.own && get.due - now >= LEAST_LEFT
        && get.forwards.size() < site.maxForwards() && further >= 1 && further-- >= 1 && place(get);
  }

  /** The final answer of a GET that is not returned. A shed promises that nothing ran, an error nothing. */
  private void giveUp(Get get) {
    boolean again = get.ran == null && get.out == 0 || site.effect(get.service.ds) == Effect.IDEMPOTENT
        || site.effect(get.service.ds) == Effect.TOKENED && site.group(get.service.ds) == Group.ALL;
    if (again && get.due - now >= LEAST_LEFT) {
      long longest = site.retryAfter() ? site.maxRetryAfter() / 2 : 0;
      out.shed(get.id, longest == 0 ? 0 : longest + random.nextLong(longest));
    } else {
      out.errored(get.id);
    }
    finish(get);
  }

  private void finish(Get get) {
    get.done = true;
    if (site.callOff() && !get.streaming) {
      get.forwards.stream().filter(open::contains).forEach(forward -> out.callOff(get.id, forward.copy));
    }
    if (get.out == 0) {
      gets.remove(get.id);
    }
  }

  @Override public void left(long id) {
    if (gets.containsKey(id) && !gets.get(id).done) {
      finish(gets.get(id));
    }
  }

  /** Guards against an effect twice: what may have run is repeated only where its repeats are dropped. */
  private boolean permits(Get get, Member member) {
    int ds = get.service.ds;
    Forward ran = get.ran;
    return ran == null || site.effect(ds) == Effect.IDEMPOTENT
        || site.effect(ds) == Effect.TOKENED && now - ran.sentAt < site.window(ds)
        && (site.group(ds) == Group.ALL || member.zone.equals(ran.cache.zone)
        && (site.group(ds) == Group.ZONE || member.cell == ran.cache.cell));
  }

  /** Guards against a slow origin: past the limit only what cache or parent hold is returned, ageing too. */
  private boolean crowdedOrigin(Get get) {
    return get.unfilled || !get.write && !originLoad.hasRoom(now, unkept(get));
  }

  /** By how much a delivery service may pass a limit: those with the most revenue for the work come last. */
  private double dear(Service service) {
    double rate = DEARER * site.revenue(service.ds) / service.work;
    return Arrays.stream(services).anyMatch(other -> site.revenue(other.ds) / other.work > rate) ? 1 : DEAR;
  }

  /** How many forwards out, a unit of weight, are too many: guards against hot segments and slow caches. */
  private double crowd(Member[] among) {
    double held = Arrays.stream(among).mapToDouble(member -> member.up ? member.held : 0).sum();
    double weights = Arrays.stream(among).mapToDouble(member -> member.up ? member.weight : 0).sum();
    return (CROWDED * held + CROWD) / Math.max(weights, 1e-3);
  }

  private boolean overtaken(Forward forward) { // Guards limits and GETs against answers that never come.
    return Math.min(forward.source.promptAt, originLoad.promptAt) > forward.sentAt + forward.get.patience;
  }

  /** What waits long is at the origin if that was late last: guards parents against a slow origin's blame. */
  private void count(Forward forward, double likely) {
    long known = Math.max(forward.source.cutAt, now - SUSPECT); // A slow origin is not the parents' fault.
    boolean late = originLoad.cutAt > known && now - forward.sentAt > forward.get.patience;
    double share = late || forward.source == origin ? 1 : forward.get.service.originShare();
    forward.source.held += likely;
    originLoad.held += forward.heldOnly ? 0 : likely * share;
  }

  private void alive(Member member, long sentAt) {
    member.heardAt = now;
    member.strikes = 0;
    if (member.doubted) {
      member.doubted = false;
      out.health(member.index, Health.HEARD);
    }
    if (member.share(now) == 1) {
      member.setAsideAt = 0;
      member.pause = PAUSE;
    } else {
      proved(member, sentAt);
    }
  }

  private void proved(Member member, long at) {
    if (member.setAsideAt > 0 && member.provedAt == 0 && at >= member.setAsideAt) {
      member.provedAt = now;
      out.health(member.index, Health.WELL);
    }
  }

  /** Guards against crashed, hung and cut-off caches and sources; the list tells of them seconds late. */
  private void setAside(Member member) {
    if (member != origin && (member.share(now) > 0 || now >= member.trialAt)) {
      member.strikes = 0;
      member.setAsideAt = now;
      member.provedAt = 0;
      member.trialAt = now + member.pause / 2 + random.nextLong(member.pause);
      member.pause = Math.min(LONGEST_PAUSE, 2 * member.pause);
      if (member.edge) {
        out.health(member.index, Health.DOUBTED);
        member.doubted = true;
      }
    }
  }

  /** Whether a member takes a key, by its place in the shared hash: cold ramp's slice, and trickle. */
  private boolean takes(Member member, double place) {
    double share = member.share(now);
    double later = forAll ? unit(mix(member.hash ^ site.seed())) * here * LATER : 0;
    return share == 0 ? now >= member.trialAt + later && member.held == 0
        : place < share && (member.ramp(now) >= 1 || place < SLICE * member.ramp(now));
  }

  /** Whether this gateway's part of what a cold member can bear has room for one more. A part under one GET
   * lets one through when nothing is owed, which is owed for after: the sum over all gateways is kept. */
  private boolean affords(Member member, Service service) {
    double work = service.work / 1e9, spare = borne(member, now) - work;
    return member.ramp(now) >= 1 || spent(member) <= Math.max(0, spare) && (spare >= 0 || inTurn(member, work));
  }

  /** Work that this gateway may send in a fall time. */
  private double borne(Member member, long time) {
    return rate(member, time) * site.fallTime() / 1e9;
  }

  /** Guards against all gateways that owe nothing at once, when demand sets in: where more than the endpoint bears
   * could, and its peers don't carry the most of it, what was not used in a fall time comes back a turn later. */
  private boolean inTurn(Member member, double work) {
    double together = borne(member, now) / BUDGET / work / Math.max(member.cold.part, 1e-9);
    boolean few = 1 / Math.max(member.cold.part, 1e-9) <= together + 2 * Math.sqrt(together) + 2;
    return few || (member.edge ? cachesWarm : parentsWarm) || -balance(member) % work <= borne(member, now);
  }

  /** Whether enough of these are warm that no flood of what they would take comes to those that are cold. */
  private boolean warm(Member[] among) {
    double all = 0, warm = 0;
    for (Member member : among) {
      all += member.up ? member.weight : 0;
      warm += member.up && member.share(now) > 0 && member.ramp(now) >= 1 ? member.weight : 0;
    }
    return warm >= WARM_PEERS * all;
  }

  /** Work a second that this gateway may send: by size where told, else by what warm peers usually return. */
  private double rate(Member member, long time) {
    double part = site.weighsSizes() ? member.weight * member.cold.part : member.cold.usual;
    return BUDGET * member.cold.fallMultiple * member.ramp(time) * part;
  }

  /** What is owed of the work sent: it is paid off at a rate that rises with the ramp. */
  private double spent(Member member) {
    return Math.max(0, balance(member));
  }

  /** The same, and below 0 for how long nothing has been owed. */
  private double balance(Member member) {
    double paid = (rate(member, member.spentAt) + rate(member, now)) / 2 * (now - member.spentAt) / 1e9;
    return (member.chance >= 0 ? firstDebt(member) : member.spent) - paid;
  }

  /** By chance, so that not all gateways send their first at once, and by the work as it is known by now. A gateway
   * that began after the endpoint follows one that may have sent all that it could: it has nothing saved up. */
  private double firstDebt(Member member) {
    double dearest = Arrays.stream(services).mapToDouble(one -> one.work).max().orElse(0) / 1e9;
    double borne = borne(member, member.spentAt);
    return member.chance * dearest + (member.startedAt < firstRoundAt ? Math.max(0, borne - dearest) : -borne);
  }

  private void charge(Member member, double work) {
    if (work > 0) {
      settle(member, spent(member) + work);
    }
  }

  private void settle(Member member, double owed) {
    member.spent = member.ramp(now) < 1 ? owed : 0;
    member.spentAt = now;
    member.chance = -1;
  }

  /** A source was not asked after all. */
  private void refund(Member member, double work) {
    if (work > 0 && member.ramp(now) < 1) {
      double owed = balance(member);
      settle(member, Math.max(Math.min(0, owed), owed - work));
    }
  }

  @Override public void woken(String handle) {
    sweeping = !open.isEmpty();
    if (sweeping) {
      out.wake(SWEEP, "sweep");
    }
    for (Member member : members.values()) {
      member.late = 0;
      member.settle(now);
      member.held = member.edge ? member.held : 0;
    }
    for (Load load : new Load[] {originLoad, link}) {
      load.settle(now);
      load.held = 0;
    }
    for (Forward forward : open) {
      Get get = forward.get;
      long waited = now - forward.sentAt;
      if (forward.source != forward.cache && !overtaken(forward)) {
        count(forward, waited > get.patience / 3 ? 1 : get.service.missShare());
      }
      if (!get.done && waited > get.patience) {
        forward.cache.late++;
        boolean cacheWell = forward.cache.heardAt > forward.sentAt + get.patience;
        forward.source.late += forward.source != forward.cache && cacheWell ? 1 : 0;
      }
    }
    // A source past its limit is stuck itself: what waits there does not use the link.
    members.values().forEach(one -> link.held += one.edge ? 0 : Math.min(one.held, one.most));
    judge(caches);
    judge(parents);
    cachesWarm = warm(caches);
    parentsWarm = warm(parents);
    for (Forward forward : new ArrayList<>(open)) {
      Get get = forward.get;
      boolean aside = forward.cache.share(now) == 0;
      boolean stuck = aside || forward.source.share(now) == 0 && forward.cache.late > 0 || overtaken(forward);
      if (stuck && !get.done && get.out == 1 && now - forward.sentAt > get.patience && site.secondCopies()
          && site.effect(get.service.ds) == Effect.IDEMPOTENT) {
        get.tried.add(aside ? forward.cache : forward.source);
        again(get);
      }
    }
  }

  private boolean mostStand(Member[] peers) {
    return Arrays.stream(peers).filter(one -> one.up)
        .mapToInt(one -> !one.waits(now) && one.share(now) > 0 ? 1 : -1).sum() >= 0;
  }

  /** Sets aside who keeps GETs waiting and gives no sign of life, unless most of its peers do too. */
  private void judge(Member[] peers) {
    boolean most = mostStand(peers);
    for (Member member : peers) {
      boolean silent = member.up && now - member.heardAt > SILENCE;
      if (silent && member.waits(now) && most) {
        setAside(member);
      } else if (member.edge && member.share(now) > 0 && member.doubted != (silent && member.late > 0)) {
        member.doubted = !member.doubted; // Too little to go by alone; others may have seen the same.
        out.health(member.index, member.doubted ? Health.DOUBTED : Health.WELL);
      }
    }
    // Guards against small caches that restarted together: the large ones left carry more than they can.
    for (Cold cold : colds.values()) {
      cold.usual = Arrays.stream(peers).filter(peer -> peer.cold == cold && peer.up && peer.share(now) > 0)
          .filter(peer -> peer.ramp(now) >= 1).mapToDouble(peer -> peer.carried(now, 0)).average()
          .orElse(cold.usual);
      cold.usual = granted ? Math.max(cold.part, cold.usual) : 0;
    }
  }

  @Override public void listing(Arrivals.Listing what) {
    members.values().forEach(member -> member.up &= !(member.gone |= what == Arrivals.Listing.FULL));
    watching = what != Arrivals.Listing.NONE;
  }

  @Override public void member(int cache, String address, String zone, String kind, int cell,
      Arrivals.State state, double weight, long startedAt) {
    Member member = members.computeIfAbsent(cache, index -> new Member(index, address));
    member.zone = zone;
    member.cell = cell;
    member.up = state == Arrivals.State.UP;
    member.gone = state == Arrivals.State.GONE;
    member.weight = site.weighsSizes() ? Math.max(weight, 1e-3) : 1;
    member.mid = kind.equals(site.midKind());
    member.origin = kind.equals(site.originKind());
    member.edge = !member.mid && !member.origin;
    member.cold = colds.computeIfAbsent(kind, name -> member.edge
        ? new Cold(site.coldShare(), site.coldTime(), site.fallMultiple(), granted ? 1.0 / here : 0)
        : new Cold(site.parentColdShare(), site.parentColdTime(), site.parentFallMultiple(),
            granted ? 1.0 / all : 0));
    if (startedAt > member.startedAt) {
      member.startedAt = startedAt;
      member.most = 0;
      member.chance = random.nextDouble();
      member.spentAt = now;
      member.setAsideAt = 0;
      if (member.edge && member.ramp(now) < 1 && zone.equals(site.zone())) {
        out.cold(cache, startedAt + member.cold.time);
      }
    }
    if (member.edge) {
      out.health(cache, member.up && member.share(now) == 0 ? Health.DOUBTED : Health.WELL);
    }
  }

  @Override public void listed() {
    members.values().removeIf(member -> member.gone); // Guards against ids that come and go for ever.
    caches = members(member -> member.edge && member.zone.equals(site.zone()));
    parents = members(member -> member.mid);
    origin = members.values().stream().filter(member -> member.origin).findFirst().orElse(null);
    cachesWarm = warm(caches);
    parentsWarm = warm(parents);
    double ofAll = members(member -> member.edge && member.up).length / EACH / all * (granted ? 1 : 0);
    double first = FIRST_LIMIT * (1 + 1.0 / here) / 2; // Where many share, each learns more slowly.
    originLoad.part(ofAll, first);
    link.part(caches.length / EACH / here, first);
    double ofParent = ofAll * SOURCES / Math.max(SOURCES, parents.length);
    members.values().forEach(member ->
        member.part(member.edge ? 1.0 / here : ofParent, member.edge ? FIRST_LIMIT : first));
  }

  /** Guards rule 4 against more gateways than were told: what all share shrinks at once, grows by answers.
   * All that came beyond the told number may be in this zone. */
  @Override public void sharers(int many, double part) {
    int more = Math.max(0, many - Math.max(1, site.gateways()));
    double everywhere = granted ? 1.0 / all : 0, inZone = granted ? 1.0 / here : 0;
    granted = part > 0;
    all = Math.max(1, site.gateways()) + more;
    here = Math.max(1, site.gatewaysHere()) + more;
    originLoad.scale(everywhere, granted ? 1.0 / all : 0);
    for (Member member : members.values()) {
      member.scale(member.edge ? inZone : everywhere, (granted ? 1.0 : 0) / (member.edge ? here : all));
      member.cold.part = (granted ? 1.0 : 0) / (member.edge ? here : all);
      member.cold.usual = granted ? Math.max(member.cold.part, member.cold.usual) : 0;
    }
    listed();
  }

  private Member[] members(Predicate<Member> which) {
    return members.values().stream().filter(which).toArray(Member[]::new);
  }

  /** Hashes are on stable ids, so that all gateways agree. */
  private static long mix(long value) {
    value = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    value = (value ^ (value >>> 27)) * 0x94d049bb133111ebL;
    return value ^ (value >>> 31);
  }

  private static double unit(long key) {
    return ((key >>> 11) + 0.5) * 0x1.0p-53;
  }

  private final class Service {
    final int ds;
    long work; // The mean, kept: it is asked for many times a GET.
    final int[] took = new int[BINS];
    final int[] ways = new int[3]; // Returned from a cache, from a parent, from the origin.

    Service(int ds) {
      this.ds = ds;
      work = site.latencyObjective(ds);
    }

    void measure(long time) {
      took[(int) Math.max(0, Math.min(BINS - 1, 2 * Math.log(time / (4.0 * MS)) / Math.log(2)))]++;
      if (Arrays.stream(took).sum() >= FULL) {
        Arrays.setAll(took, bin -> took[bin] / 2);
      }
      work = (long) (4.0 * MS * IntStream.range(0, BINS).mapToDouble(bin -> took[bin]
          * Math.pow(2, (bin + 0.5) / 2)).sum() / Arrays.stream(took).sum());
    }

    void counted(Note note) {
      ways[note == Note.HIT || note == Note.PAST_FRESH ? 0 : note == Note.FILLED_BY_ORIGIN ? 2 : 1]++;
      if (Arrays.stream(ways).sum() >= FULL) {
        Arrays.setAll(ways, way -> ways[way] / 2);
      }
    }

    double missShare() {
      return (ways[1] + ways[2] + 4.0) / (Arrays.stream(ways).sum() + 8.0);
    }

    double originShare() {
      return (ways[2] + 1.0) / (ways[1] + ways[2] + 2.0);
    }
  }

  /** How much is out and may be out at once. Guards against overload: late answers cut it, others widen it. A
   * limit under one GET is kept over time: what was out beyond it is owed before the next may go. */
  private static class Load {
    double part, most, held, used, owed;
    long settledAt, cutAt, promptAt;

    double ramp(long now) {
      return 1;
    }

    /** Guards against the sum of many gateways' limits: this gateway's part follows from what is told. */
    void part(double told, double first) {
      part = Math.max(told, 1e-3);
      most = most == 0 ? first * part : most;
    }

    /** A part that came back begins anew; one that shrank takes the limit along. */
    void scale(double from, double to) {
      most = from == 0 ? 0 : Math.max(1e-3, most * Math.min(1, to / from));
    }

    void settle(long now) {
      double passed = (now - settledAt) / 1e9;
      used += (held - used) * passed / (passed + USED_OVER);
      owed = Math.max(0, owed + (held - most * ramp(now)) * passed);
      settledAt = now;
    }

    boolean hasRoom(long now, double dear) {
      settle(now);
      double room = most * ramp(now);
      return held < room * dear && (held + 1 <= room * dear || owed <= room * Math.max(0, dear - UNKEPT));
    }

    /** Counted as long out: a quick refusal would leave the limit free to ask again at once. */
    void refused(long now) {
      answered(now, false);
      owed += REFUSED;
    }

    /** A late answer cuts from what is used, so that a limit that never bound binds at once. */
    void answered(long now, boolean inTime) {
      settle(now);
      if (inTime) {
        most += owed > 0 || 2 * held >= most ? part / most : 0;
      } else if (now - cutAt > CUT_EVERY) {
        most = Math.max(LEAST_LIMIT * part, Math.min(most, 2 * used + part) * LATE_CUT);
        cutAt = now;
      }
    }
  }

  private static final class Cold {
    final double share, fallMultiple;
    final long time;
    double part, usual;

    Cold(double share, long time, double fallMultiple, double part) {
      this.share = share;
      this.time = time;
      this.fallMultiple = fallMultiple;
      this.part = part;
      usual = part;
    }
  }

  private static final class Member extends Load {
    final int index;
    final long hash;
    String zone;
    int cell, late, strikes;
    boolean up, gone, mid, origin, edge, doubted;
    Cold cold;
    long startedAt, heardAt, setAsideAt, trialAt, provedAt, spentAt, aheadAt, carriedAt, pause = PAUSE;
    double weight, spent, chance = -1, carried;

    Member(int index, String address) {
      this.index = index;
      hash = mix(address.hashCode());
    }

    /** Its part of the keys. A trickle doubles with time: a thin slice would bring no answers for long. */
    double share(long now) {
      return setAsideAt == 0 ? 1 : provedAt == 0 ? 0 : Math.min(1, TRICKLE * (1L << (now - provedAt) / STEP));
    }

    /** The part of its capacity that a member is sure to have. */
    @Override double ramp(long now) {
      long since = Math.max(0, now - startedAt);
      return startedAt == 0 || since >= cold.time ? 1 : cold.share + (1 - cold.share) * since / cold.time;
    }

    boolean waits(long now) {
      return late + strikes >= (share(now) == 0 ? 1 : LATE);
    }

    /** Work returned a second, over the last few: what is only sent tells nothing of what can be carried. */
    double carried(long now, double more) {
      carried = carried * Math.exp(-(now - carriedAt) / CARRIED_OVER) + more * 1e9 / CARRIED_OVER;
      carriedAt = now;
      return carried;
    }
  }

  private static final class Get {
    final Service service;
    final long id, object;
    final int group;
    final ArrayList<Forward> forwards = new ArrayList<>(2);
    final ArrayList<Member> tried = new ArrayList<>(2);
    long due, patience;
    int segment, rank, out;
    boolean write, told, sized, unfilled, streaming, done, own, ahead;
    Forward ran;

    Get(long id, Service service, long object, int group) {
      this.id = id;
      this.service = service;
      this.object = object;
      this.group = group;
    }
  }

  private record Forward(Get get, int copy, Member cache, Member source, boolean heldOnly, long sentAt,
      double refundable) { }
}
