package amberpath;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Decides, for one gateway, where each GET is returned from, filled from and kept. {@link #round} is called once a
 * round with all that came in; it replays the {@link Arrivals} into the callbacks below, and these write straight
 * into the {@link Decisions}. {@link Site} says what the gateway was told at start. Nothing else is known here.
 *
 * The design (docs/design.md) is {@link #get}, top to bottom, with {@link #admitted} and {@link #first}. Beside it:
 * 1. standing: a cache or source that gives no sign of life is set aside, then gets a trickle that doubles;
 * 2. cold ramp: one that has just started gets a thin slice of the keys that widens, and a budget;
 * 3. further forwards: after an end that permits one, or when stuck at one set aside, a capped share of the GETs;
 * 4. detour of source: the next parent by hash, then the origin;
 * 5. limit: a cache holds no more GETs than come back in time; past its part it passes them to the next by hash,
 *    and where none has room they are shed, the least revenue for the work first;
 * 6. late rank: a first start is kept at the lowest rank until it is asked for again.
 */
public final class Control implements Arrivals.Events {
  private static final long MS = 1_000_000L;

  // The design's own values.
  private static final int KMIN = 3;
  private static final int TABLE = 96;
  private static final int RANK = 2;
  private static final int FIRST_RANK = 1;
  private static final int STARTS = 8192;

  // Standing.
  private static final long SWEEP = 20 * MS;
  private static final long SILENCE = 600 * MS;
  private static final int LATE = 2;
  private static final double TRICKLE = 1.0 / 16;
  private static final long STEP = 500 * MS;
  private static final long PAUSE = 250 * MS;
  private static final long LONGEST_PAUSE = 4000 * MS;

  // Cold ramp: parts of what the guarantee allows, left unused because others' traffic is not seen.
  private static final double SLICE = 0.9;
  private static final double BUDGET = 0.5;

  // Further forwards: share of GETs, and how many may be saved up.
  private static final double FURTHER_SHARE = 0.2;
  private static final double FURTHER_SAVED = 40;
  private static final long LEAST_LEFT = 20 * MS;

  // Limit: past CROWDED times its part (and some) a cache passes on; the rest follow answers in time and late.
  private static final double CROWDED = 1.75;
  private static final double CROWD = 4;
  private static final double LIMIT = 24;
  private static final double LEAST_LIMIT = 3;
  private static final double LATE_CUT = 0.85;
  private static final long CUT_EVERY = 200 * MS;
  private static final double DEAR = 1.5;
  private static final double UNKEPT = 0.8;

  private final Site site;
  private final Service[] services;
  private final String zone;
  private final boolean sized;
  private final double flow;
  private final SplittableRandom random;

  private final Map<Integer, Member> members = new HashMap<>();
  private Member[] caches = {};
  private Member[] parents = {};
  private Member origin;

  private final Map<Long, Get> gets = new HashMap<>();
  private final LinkedHashSet<Forward> open = new LinkedHashSet<>();
  private final Map<Long, long[]> starts = new LinkedHashMap<>();
  private final long[] tableObject = new long[TABLE];
  private final int[] tableSegment = new int[TABLE];
  private int tabled;
  private final Map<Long, Long> purgedObjects = new HashMap<>();
  private final Map<Integer, Long> purgedGroups = new HashMap<>();
  private final ArrayDeque<long[]> purges = new ArrayDeque<>();
  private final Limit fillLimit = new Limit();
  private final Limit originLimit = new Limit();
  private double fills;
  private double originFills;
  private double further = FURTHER_SAVED;
  private boolean sweeping;
  private boolean watching;

  private long now;
  private Decisions out;

  public Control(Site site) {
    this.site = site;
    zone = site.zone();
    sized = site.weighsSizes();
    flow = site.flowKbPerSecond();
    random = new SplittableRandom(site.seed());
    services = new Service[site.deliveryServices()];
    for (int ds = 0; ds < services.length; ds++) {
      services[ds] = new Service(site, ds);
    }
  }

  /** Takes in all that came since the last round and decides on it. */
  public void round(long time, Arrivals in, Decisions to) {
    now = time;
    out = to;
    if (!watching && site.listOnRequest()) {
      watching = true;
      out.watchList();
    }
    in.replay(this);
  }

  // ---- The ordinary path of a GET.

  @Override
  public void get(long id, int ds, long object, int group, int part, long timeLeft, double kb, boolean write) {
    Service service = services[ds];
    int segment = part == 0 ? 0 : Integer.SIZE - Integer.numberOfLeadingZeros(part);
    Get get = new Get(id, service, object, group, segment, now + timeLeft);
    get.work = kb > 0 && flow > 0 ? (long) (kb / flow * 1e9) : service.work();
    gets.put(id, get);
    further = Math.min(FURTHER_SAVED, further + FURTHER_SHARE);

    long previous = part == 0 ? started(object) : previousStart(object);
    if (write || service.neverKept) {
      get.write = true;
    } else if (segment < KMIN) {
      get.rank = previous == 0 ? FIRST_RANK : RANK;
    } else if (admitted(object, segment, previous)) {
      get.rank = RANK;
    }
    if (!place(get)) {
      giveUp(get);
    }
  }

  /** Picks source and edge cache and forwards; false where there is none. */
  private boolean place(Get get) {
    Member source = crowded(get, fillLimit, fills) ? null : source(get);
    Member cache = get.write && site.bypass() && source != null ? source : cache(get);
    if (cache != null) {
      forward(get, cache, source, source == null || crowded(get, originLimit, originFills));
    }
    return cache != null;
  }

  /**
   * Guards against a jammed fill path or origin of any cause: past the limit on fills a GET is returned only from
   * what its cache holds, past that on fills by way of the origin only from what its cache or the parent holds.
   */
  private boolean crowded(Get get, Limit limit, double out) {
    return !get.write && out >= limit.most * dear(get.service) * (get.rank == 0 ? UNKEPT : 1);
  }

  /** Notes a start; returns the object's start before it, or 0. */
  private long started(long object) {
    long[] stamps = starts.remove(object);
    long previous = stamps == null ? 0 : stamps[0];
    starts.put(object, new long[] {now, previous});
    if (starts.size() > STARTS) {
      starts.remove(starts.keySet().iterator().next());
    }
    return previous;
  }

  private long previousStart(long object) {
    long[] stamps = starts.get(object);
    return stamps == null ? 0 : stamps[1];
  }

  /** Whether a later segment is kept: contiguous, and worth more than the least in the table once that is full. */
  private boolean admitted(long object, int segment, long previous) {
    boolean contiguous = segment - 1 < KMIN;
    int lowest = -1;
    double least = Double.MAX_VALUE;
    for (int i = 0; i < tabled; i++) {
      if (tableObject[i] == object) {
        if (tableSegment[i] == segment) {
          return true;
        }
        contiguous |= tableSegment[i] == segment - 1;
      }
      double value = cachingValue(previousStart(tableObject[i]), tableSegment[i]);
      if (value < least) {
        least = value;
        lowest = i;
      }
    }
    double value = cachingValue(previous, segment);
    if (!contiguous || value <= 0 || tabled == TABLE && value <= least) {
      return false;
    }
    int place = tabled < TABLE ? tabled++ : lowest;
    tableObject[place] = object;
    tableSegment[place] = segment;
    return true;
  }

  private double cachingValue(long previous, int segment) {
    return previous == 0 ? 0 : 1.0 / (Math.max(1, now - previous) * (double) segment);
  }

  /** The edge cache: by hash of object and segment, over the caches of the zone that will take it. */
  private Member cache(Get get) {
    Member best = first(caches, get, get.segment, true, true);
    if (best != null) {
      return best;
    }
    best = first(caches, get, get.segment, true, false);
    best = best != null ? best : first(caches, get, get.segment, false, false);
    return best != null && best.open < best.limit.most * dear(get.service) ? best : null;
  }

  /** By how much a delivery service may pass the limit: those with the most revenue for the work come last. */
  private double dear(Service service) {
    for (Service other : services) {
      if (other.revenue / other.work() > 1.5 * service.revenue / service.work()) {
        return 1;
      }
    }
    return DEAR;
  }

  /** The source of a fill: by hash of the object over all listed parents; the origin when none will do. */
  private Member source(Get get) {
    Member best = first(parents, get, 0, true, false);
    if (best == null && origin != null && origin.up && !get.tried.contains(origin)) {
      best = origin;
    }
    return best != null ? best : first(parents, get, 0, false, false);
  }

  /**
   * The first by highest random weight, so that all gateways agree, also on the next, in whatever order they learned
   * of the members. Not standing: those set aside will do. Cold budgets bind always.
   */
  private Member first(Member[] among, Get get, int segment, boolean standing, boolean room) {
    Member best = null;
    double highest = -1;
    double crowd = room ? crowd(among) : 0;
    double dear = dear(get.service);
    for (Member member : among) {
      if (!member.up || get.tried.contains(member) || !get.permits(member, now)) {
        continue;
      }
      long key = mix(get.object * 31 + segment ^ member.hash);
      double score = (sized ? member.weight : 1) / -Math.log(unit(key));
      if (score > highest && (!standing || takes(member, unit(mix(key + 1))))
          && (!room || member.open <= crowd * (sized ? member.weight : 1) && member.open < member.limit.most * dear)
          && affords(member, get.service)) {
        best = member;
        highest = score;
      }
    }
    return best;
  }

  /** How many forwards out, for each unit of weight, are too many: guards against hot segments and slow caches. */
  private double crowd(Member[] among) {
    double held = 0;
    double weights = 0;
    for (Member member : among) {
      if (member.up) {
        held += member.open;
        weights += sized ? member.weight : 1;
      }
    }
    return weights == 0 ? 0 : (CROWDED * held + CROWD) / weights;
  }

  private void forward(Get get, Member cache, Member source, boolean heldOnly) {
    Member from = source == null ? cache : source;
    Service service = get.service;
    int switches = (site.joins() ? Decisions.JOIN : 0) + (heldOnly ? Decisions.HELD_ONLY : 0)
        + (service.fresh > 0 && !heldOnly ? Decisions.RENEW : 0);
    long age = age(get, service.fresh + (heldOnly ? service.grace : 0));
    out.forward(get.id, cache.index, get.due, from.index, age, get.rank, switches);
    Forward sent = new Forward(get, get.forwards.size(), cache, from, heldOnly, now);
    get.forwards.add(sent);
    get.out++;
    open.add(sent);
    if (cache.open++ == 0) {
      cache.heardAt = now;
    }
    charge(cache, service.work(), 1);
    if (from != cache) {
      fills += service.missShare();
      originFills += heldOnly ? 0 : service.missShare() * service.originShare();
      charge(from, service.work(), service.missShare());
    }
    if (!sweeping) {
      sweeping = true;
      out.wake(SWEEP, "sweep");
    }
  }

  /** The oldest copy that will do. Guards against purged copies until all caches have dropped theirs. */
  private long age(Get get, long oldest) {
    long purged = Math.max(purgedObjects.getOrDefault(get.object, 0L), purgedGroups.getOrDefault(get.group, 0L));
    if (purged == 0) {
      return oldest;
    }
    long bound = Math.max(MS, now - purged - MS);
    return oldest > 0 ? Math.min(oldest, bound) : bound;
  }

  @Override
  public void purged(long object, int group, long ago) {
    long at = now - ago;
    if (object != 0) {
      purgedObjects.merge(object, at, Math::max);
    } else {
      purgedGroups.merge(group, at, Math::max);
    }
    purges.add(new long[] {object, group, now + site.purgeTakes()});
  }

  // ---- How forwards end.

  @Override
  public void begun(long id, int copy) {
    Get get = gets.get(id);
    if (get != null) {
      get.streaming = true;
    }
  }

  @Override
  public void ended(long id, int copy, int cache, Arrivals.Outcome outcome, long took, boolean settled,
      Arrivals.Note note) {
    Get get = gets.get(id);
    if (get == null || copy >= get.forwards.size() || !open.remove(get.forwards.get(copy))) {
      return;
    }
    Forward forward = get.forwards.get(copy);
    get.out--;
    forward.cache.open--;
    learn(forward, outcome, took, note);
    if (!outcome.notRun) {
      get.mayHaveRun(forward);
    }
    if (settled) {
      finish(get);
    } else if (!get.done && get.out == 0) {
      tryFurther(get, forward, outcome, note);
    }
    if (get.done && get.out == 0) {
      gets.remove(id);
    }
  }

  private void learn(Forward forward, Arrivals.Outcome outcome, long took, Arrivals.Note note) {
    Service service = forward.get.service;
    switch (outcome) {
      case RETURNED:
        alive(forward.cache, forward.sentAt);
        if (note == Arrivals.Note.FILLED || note == Arrivals.Note.FILLED_BY_ORIGIN) {
          alive(forward.source, forward.sentAt);
        }
        service.returned(note, took);
        if (note == Arrivals.Note.HIT || note == Arrivals.Note.NOTHING) {
          forward.cache.limit.answered(now, took <= forward.patience, forward.cache.open);
        } else {
          boolean direct = note != Arrivals.Note.FILLED_BY_ORIGIN;
          (direct ? fillLimit : originLimit).answered(now, took <= forward.patience, direct ? fills : originFills);
        }
        break;
      case TURNED_AWAY:
      case NOT_STORED:
      case ERRORED:
        forward.cache.heardAt = now;
        forward.source.strikes += note == Arrivals.Note.SOURCE_UNREACHED ? 1 : 0;
        if (note == Arrivals.Note.ORIGIN_ERRORED
            || note == Arrivals.Note.SOURCE_TURNED_AWAY && forward.source == origin) {
          originLimit.answered(now, false, 0);
        }
        break;
      case NO_CONNECTION:
      case LOST:
        setAside(forward.cache);
        break;
      default:
    }
  }

  /** A further forward where the GET's kind, its time and the cap permit; else the final answer, at once. */
  private void tryFurther(Get get, Forward last, Arrivals.Outcome outcome, Arrivals.Note note) {
    boolean source = note == Arrivals.Note.SOURCE_TURNED_AWAY || note == Arrivals.Note.SOURCE_UNREACHED
        || note == Arrivals.Note.SOURCE_LACKS || note == Arrivals.Note.ORIGIN_ERRORED;
    if (last.heldOnly && outcome == Arrivals.Outcome.NOT_STORED) {
      if (crowded(get, fillLimit, fills) || crowded(get, originLimit, originFills)) {
        giveUp(get);
        return;
      }
      further++;
    } else {
      get.tried.add(source ? last.source : last.cache);
    }
    if (outcome == Arrivals.Outcome.NO_ANSWER || !again(get)) {
      giveUp(get);
    }
  }

  /** Sends the GET again, elsewhere; false where that may not be. */
  private boolean again(Get get) {
    if (get.streaming || get.due - now < LEAST_LEFT || get.forwards.size() >= site.maxForwards() || further < 1) {
      return false;
    }
    further--;
    return place(get);
  }

  /** The final answer of a GET that is not returned. A shed promises that nothing ran, an error nothing. */
  private void giveUp(Get get) {
    if (get.due - now >= LEAST_LEFT && get.shedable()) {
      long longest = site.retryAfter() ? site.maxRetryAfter() : 0;
      out.shed(get.id, longest == 0 ? 0 : longest / 2 + random.nextLong(longest / 2));
    } else {
      out.errored(get.id);
    }
    finish(get);
  }

  /** Nothing more is owed; a GET is held on only to learn from the forwards that are still out. */
  private void finish(Get get) {
    get.done = true;
    for (Forward forward : get.forwards) {
      if (site.callOff() && !get.streaming && open.contains(forward)) {
        out.callOff(get.id, forward.copy);
      }
    }
    if (get.out == 0) {
      gets.remove(get.id);
    }
  }

  @Override
  public void left(long id) {
    Get get = gets.get(id);
    if (get != null && !get.done) {
      finish(get);
    }
  }

  // ---- Standing, ramp and budget.

  private void alive(Member member, long sentAt) {
    member.heardAt = now;
    member.strikes = 0;
    if (member.share < 1 && sentAt >= member.setAsideAt && now - member.sharedAt >= STEP) {
      member.share = member.share == 0 ? TRICKLE : Math.min(1, member.share * 2);
      member.sharedAt = now;
      if (member.share == 1) {
        member.pause = PAUSE;
      }
    }
  }

  /** Guards against crashed, hung and cut-off caches and sources; the list tells of them seconds late. */
  private void setAside(Member member) {
    if (member == origin || member.share == 0 && now < member.trialAt) {
      return;
    }
    member.share = 0;
    member.strikes = 0;
    member.setAsideAt = now;
    member.sharedAt = now - STEP;
    member.trialAt = now + member.pause;
    member.pause = Math.min(LONGEST_PAUSE, 2 * member.pause);
  }

  /** Whether a member takes a key, by its place in the shared hash: the cold ramp's slice, then the trickle. */
  private boolean takes(Member member, double place) {
    if (member.share == 0) {
      return now >= member.trialAt && member.open == 0;
    }
    return place < member.share && (member.ramp(now) >= 1 || place < SLICE * member.ramp(now));
  }

  /** Whether this gateway's part of what a cold member can bear has room for one more. */
  private boolean affords(Member member, Service service) {
    double ramp = member.ramp(now);
    if (ramp >= 1) {
      return true;
    }
    double rate = rate(member, ramp);
    double spent = Math.max(0, member.spent - rate * (now - member.spentAt) / 1e9);
    return spent + service.work() / 1e9 <= rate * member.fallTime / 1e9;
  }

  private double rate(Member member, double ramp) {
    Member[] peers = member.mid ? parents : caches;
    double carried = 0;
    int others = 0;
    for (Member peer : peers) {
      if (peer != member && peer.up && peer.ramp(now) >= 1) {
        carried += peer.carried(now);
        others++;
      }
    }
    double part = sized ? member.weight / member.sharers : Math.max(1.0 / member.sharers, carried / Math.max(1, others));
    return BUDGET * member.fallMultiple * ramp * part;
  }

  private void charge(Member member, long work, double likely) {
    double ramp = member.ramp(now);
    member.carry(now, work / 1e9 * likely);
    if (ramp < 1) {
      double rate = rate(member, ramp);
      member.spent = Math.max(0, member.spent - rate * (now - member.spentAt) / 1e9) + work / 1e9 * likely;
    }
    member.spentAt = now;
  }

  @Override
  public void woken(String handle) {
    sweeping = !open.isEmpty();
    if (sweeping) {
      out.wake(SWEEP, "sweep");
    }
    while (!purges.isEmpty() && purges.peek()[2] <= now) {
      forget(purges.poll());
    }
    for (Member member : members.values()) {
      member.late = 0;
    }
    fills = 0;
    originFills = 0;
    for (Forward forward : open) {
      boolean late = now > forward.sentAt + forward.patience / 3;
      Service service = forward.get.service;
      fills += forward.source == forward.cache ? 0 : late ? 1 : service.missShare();
      originFills += forward.heldOnly ? 0 : late ? 1 : service.missShare() * service.originShare();
      if (!forward.get.done && now > forward.sentAt + forward.patience) {
        forward.cache.late++;
        if (forward.source != forward.cache && forward.cache.heardAt > forward.sentAt + forward.patience) {
          forward.source.late++;
        }
      }
    }
    judge(caches);
    judge(parents);
    for (Forward forward : new ArrayList<>(open)) {
      Get get = forward.get;
      boolean stuck = forward.cache.share == 0 || forward.source.share == 0 && forward.cache.late > 0;
      if (stuck && !get.done && get.out == 1 && now > forward.sentAt + forward.patience && site.secondCopies()
          && get.service.effect == Site.Effect.IDEMPOTENT) {
        get.tried.add(forward.cache.share == 0 ? forward.cache : forward.source);
        again(get);
      }
    }
  }

  /** Sets aside who keeps several GETs waiting and has given no sign of life, unless most of its peers do too. */
  private void judge(Member[] peers) {
    int well = 0;
    int up = 0;
    for (Member member : peers) {
      up += member.up ? 1 : 0;
      well += member.up && member.late + member.strikes < LATE && member.share > 0 ? 1 : 0;
    }
    for (Member member : peers) {
      if (member.up && member.late + member.strikes >= LATE && now - member.heardAt > SILENCE && 2 * well >= up) {
        setAside(member);
      }
    }
  }

  private void forget(long[] purge) {
    if (purge[0] != 0) {
      purgedObjects.computeIfPresent(purge[0], (key, at) -> at + site.purgeTakes() <= now ? null : at);
    } else {
      purgedGroups.computeIfPresent((int) purge[1], (key, at) -> at + site.purgeTakes() <= now ? null : at);
    }
  }

  // ---- The list of caches.

  @Override
  public void listing(Arrivals.Listing what) {
    if (what == Arrivals.Listing.FULL) {
      members.values().forEach(member -> member.up = false);
    }
    watching = what != Arrivals.Listing.NONE;
  }

  @Override
  public void member(int cache, String address, String where, String kind, int cell, Arrivals.State state,
      double weight, long startedAt) {
    Member member = members.computeIfAbsent(cache, index -> new Member(index, hash(address)));
    member.zone = where;
    member.cell = cell;
    member.up = state == Arrivals.State.UP;
    member.weight = Math.max(weight, 1e-3);
    if (startedAt > member.startedAt) {
      member.startedAt = startedAt;
      member.share = 1;
      member.pause = PAUSE;
    }
    member.mid = kind.equals(site.midKind());
    member.parent = member.mid || kind.equals(site.originKind());
    member.sharers = member.parent ? Math.max(1, site.gateways()) : Math.max(1, site.gatewaysHere());
    member.coldShare = member.parent ? site.parentColdShare() : site.coldShare();
    member.coldTime = member.parent ? site.parentColdTime() : site.coldTime();
    member.fallMultiple = member.parent ? site.parentFallMultiple() : site.fallMultiple();
    member.fallTime = site.fallTime();
  }

  @Override
  public void listed() {
    caches = pickMembers(member -> !member.parent && member.zone.equals(zone));
    parents = pickMembers(member -> member.mid);
    Member[] origins = pickMembers(member -> member.parent && !member.mid);
    origin = origins.length == 0 ? null : origins[0];
  }

  private Member[] pickMembers(java.util.function.Predicate<Member> which) {
    Member[] all = members.values().stream().filter(which).toArray(Member[]::new);
    Arrays.sort(all, Comparator.comparingLong(member -> member.hash));
    return all;
  }

  // ---- Hashes on stable ids, so that all gateways agree.

  private static long hash(String text) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
    }
    return mix(hash);
  }

  private static long mix(long value) {
    value = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    value = (value ^ (value >>> 27)) * 0x94d049bb133111ebL;
    return value ^ (value >>> 31);
  }

  private static double unit(long key) {
    return ((key >>> 11) + 0.5) * 0x1.0p-53;
  }

  // ---- What is kept of a service, a cache, a GET and a forward.

  private static final class Service {
    final Site.Effect effect;
    final Site.Group group;
    final long window, objective;
    final double stretch, revenue;
    final boolean neverKept;
    final long fresh, grace;
    final int[] took = new int[24];
    final int[] hits = new int[3];
    private int measured;
    private long work;

    Service(Site site, int ds) {
      effect = site.effect(ds);
      group = site.group(ds);
      window = site.window(ds);
      objective = site.latencyObjective(ds);
      stretch = site.stretch(ds);
      revenue = site.revenue(ds);
      neverKept = site.neverKept(ds);
      fresh = site.fresh(ds);
      grace = site.grace(ds);
      work = objective;
    }

    /** Mean time to send an answer: a coarse histogram of hits' times, two bins to a doubling. */
    long work() {
      return work;
    }

    double missShare() {
      return (hits[1] + 4.0) / (hits[0] + hits[1] + 8.0);
    }

    double originShare() {
      return (hits[2] + 1.0) / (hits[1] + 2.0);
    }

    void returned(Arrivals.Note note, long time) {
      int hit = note == Arrivals.Note.HIT || note == Arrivals.Note.PAST_FRESH ? 0 : 1;
      hits[hit]++;
      hits[2] += note == Arrivals.Note.FILLED_BY_ORIGIN ? 1 : 0;
      if (hits[0] + hits[1] > 512) {
        Arrays.setAll(hits, i -> hits[i] / 2);
      }
      if (hit == 1) {
        return;
      }
      took[(int) Math.max(0, Math.min(took.length - 1, 2 * Math.log(time / (4.0 * MS)) / Math.log(2)))]++;
      if (++measured % 64 == 0) {
        double sum = 0;
        int count = 0;
        for (int bin = 0; bin < took.length; bin++) {
          sum += took[bin] * 4.0 * MS * Math.pow(2, (bin + 0.5) / 2);
          count += took[bin];
          took[bin] /= measured >= 512 ? 2 : 1;
        }
        measured = measured >= 512 ? 256 : measured;
        work = (long) (sum / count);
      }
    }
  }

  /** How much may be out at once. Guards against overload of any cause: late answers cut it, others widen it. */
  private static final class Limit {
    double most = LIMIT;
    long cutAt;

    void answered(long now, boolean inTime, double out) {
      if (inTime) {
        most += 2 * out >= most ? 1 / most : 0;
      } else if (now - cutAt > CUT_EVERY) {
        most = Math.max(LEAST_LIMIT, most * LATE_CUT);
        cutAt = now;
      }
    }
  }

  private static final class Member {
    final int index;
    final long hash;
    String zone;
    int cell;
    boolean up, mid, parent;
    double weight;
    long startedAt;
    int sharers;
    double coldShare;
    long coldTime;
    double fallMultiple;
    long fallTime;
    int open, late, strikes;
    long heardAt;
    double share = 1;
    final Limit limit = new Limit();
    long sharedAt, setAsideAt, trialAt;
    long pause = PAUSE;
    double spent;
    long spentAt;
    double carried;
    long carriedAt;

    Member(int index, long hash) {
      this.index = index;
      this.hash = hash;
    }

    /** The part of its capacity that a member is sure to have. */
    double ramp(long now) {
      long since = now - startedAt;
      return startedAt == 0 || since >= coldTime ? 1
          : coldShare + (1 - coldShare) * Math.max(0, since) / (double) coldTime;
    }

    /** Work sent there in a second, over the last few. */
    double carried(long now) {
      return carried * Math.exp(-(now - carriedAt) / 4e9) / 4;
    }

    void carry(long now, double work) {
      carried = carried * Math.exp(-(now - carriedAt) / 4e9) + work;
      carriedAt = now;
    }
  }

  private static final class Get {
    final long id;
    final Service service;
    final long object;
    final int group, segment;
    final long due;
    final List<Forward> forwards = new ArrayList<>(2);
    final List<Member> tried = new ArrayList<>(2);
    long work;
    int rank, out;
    boolean write, streaming, done;
    Forward ran;

    Get(long id, Service service, long object, int group, int segment, long due) {
      this.id = id;
      this.service = service;
      this.object = object;
      this.group = group;
      this.segment = segment;
      this.due = due;
    }

    void mayHaveRun(Forward forward) {
      if (ran == null || forward.sentAt < ran.sentAt) {
        ran = forward;
      }
    }

    /** Guards against an effect twice: what may have run is repeated only where its repeats are dropped. */
    boolean permits(Member member, long now) {
      if (ran == null || service.effect == Site.Effect.IDEMPOTENT) {
        return true;
      }
      return service.effect == Site.Effect.TOKENED && now - ran.sentAt < service.window
          && (service.group == Site.Group.ALL || member.zone.equals(ran.cache.zone)
          && (service.group == Site.Group.ZONE || member.cell == ran.cache.cell));
    }

    boolean shedable() {
      return out == 0 && ran == null || service.effect == Site.Effect.IDEMPOTENT
          || service.effect == Site.Effect.TOKENED && service.group == Site.Group.ALL;
    }
  }

  private static final class Forward {
    final Get get;
    final int copy;
    final Member cache;
    final Member source;
    final boolean heldOnly;
    final long sentAt, patience;

    Forward(Get get, int copy, Member cache, Member source, boolean heldOnly, long sentAt) {
      this.get = get;
      this.copy = copy;
      this.cache = cache;
      this.source = source;
      this.heldOnly = heldOnly;
      this.sentAt = sentAt;
      patience = get.service.objective + (long) (get.service.stretch * get.work);
    }
  }
}
