package org.amberpath.registry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * * Decides what is asked of which endpoint, and when, so that the view stays what the registry
 * holds: told what came and when, it orders the next calls. It holds no socket, thread or clock.
 * Times are nanoseconds.
 *
 * <p>Two watches on two endpoints tell each change; what is told once is passed over the second
 * time. Beside them a pulse asks every tenth of a second what the last write was, so that watches
 * that fell silent are found out. Gaps are closed by what was written since or, where keys may have
 * been deleted or revisions given anew, by a whole list.
 *
 * <p>Bounds: endpoints as told; a list, two watches and one pulse an endpoint open at once;
 * connects a second.
 */
public final class WatchSession {
  /**
   * EMPTY: nothing known. CURRENT: as new as the last pulse. BEHIND: a gap is being closed.
   * CUT_OFF: nobody answers.
   */
  public enum Phase {
    EMPTY,
    CURRENT,
    BEHIND,
    CUT_OFF
  }

  /** What an answer tells of the one who gave it; revision 0 where it tells none. */
  public record Header(String cluster, long revision) {}

  private static final long MS = 1_000_000;

  /** All endpoints together are asked within one more pulse's time, whoever of them is silent. */
  private static final long HEARTBEAT_NANOS = 100 * MS, LONGEST_HOP = 50 * MS;

  private static final long HEARTBEAT_TIMEOUT_NANOS = 400 * MS, OPEN_TIME = 500 * MS;

  /**
   * A gap is read within so long or, at the next try, within twice that; a whole list has so many
   * times as long.
   */
  private static final long FIRST_LIST_TIME = 50 * MS, MOST_LIST_TIME = 800 * MS;

  private static final int WHOLE_TIMES = 6, TOOK_TIMES = 3;

  /** What a watch may still bring by itself before the gap is read instead. */
  private static final long SETTLE = 20 * MS;

  private static final long LAG = 150 * MS;

  /** How long a change may stay unheard that touched no tip, while all watches are silent. */
  private static final long AUDIT = 5000 * MS;

  /**
   * Without contact for this long the registry may have become another one under the same
   * revisions.
   */
  private static final long CONTACT_LOST_NANOS = 1000 * MS;

  private static final long FIRST_BACKOFF = 50 * MS,
      MOST_BACKOFF = 8000 * MS,
      MOST_CUT_OFF = 1000 * MS;
  private static final long OPERATOR_BACKOFF_NANOS = 5000 * MS, STEADY = 1000 * MS;
  private static final int CONNECTS = 10, WATCHES = 2, EXPLORATION_INTERVAL = 10;
  private static final int FIRST_PAGE = 1000, MOST_PAGE = 16_000;

  /** An endpoint this much slower than the quickest is left. */
  private static final long SLOWER = 25 * MS;

  private enum Kind {
    LIST,
    WATCH,
    PULSE
  }

  private final class Endpoint {
    final int index;
    final Backoff reach = new Backoff(random, FIRST_BACKOFF, MOST_BACKOFF);
    final Backoff watching = new Backoff(random, FIRST_BACKOFF, MOST_BACKOFF);
    Call watch, pulse;

    /** The registry that it showed last. */
    String shown = "";

    long took,
        lastTook,
        answeredAt = Long.MIN_VALUE / 2,
        heardAt = Long.MIN_VALUE / 2,
        triedAt = Long.MIN_VALUE / 2;
    boolean needsPeople;

    Endpoint(int index) {
      this.index = index;
    }

    /**
     * Guards against one that came back unseen, when it is all that is left: each may be tried once
     * in that time.
     */
    boolean allows(long now) {
      return reach.allows(now)
          || (now - answeredAt >= failoverNanos
              && now - triedAt >= CONTACT_LOST_NANOS
              && !needsPeople);
    }
  }

  private static final class Call {
    final long id, sentAt, applied, tip;
    final Kind kind;
    final Endpoint at;
    long deadline, revision, since, position, count, openedAt, askedAt;
    boolean open, whole;
    String cluster = "";
    int limit = FIRST_PAGE;
    final List<RegistryEntry> items = new ArrayList<>();
    final List<WatchEvent> parts = new ArrayList<>();

    Call(long id, Kind kind, Endpoint at, long now, long deadline, RegistryView view) {
      this.id = id;
      this.kind = kind;
      this.at = at;
      sentAt = askedAt = now;
      this.deadline = deadline;
      applied = view.appliedRevision();
      tip = view.tipRevision();
    }
  }

  private final RegistryView view;
  private final WatchCommands commands;
  private final SplittableRandom random;
  private final Consumer<String> log;
  private final int maxKeys;
  private final boolean blocking;
  private final long blockingTime, failoverNanos;
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final Map<Long, Call> openCallCount = new LinkedHashMap<>();
  private Phase phase = Phase.EMPTY;
  private Call list;
  private long ticked,
      lastCall,
      nextPulse,
      lastPulse,
      heardAt,
      answeredAt,
      ownAt,
      listedAt,
      tokens,
      tokensAt;
  private long newestTipRevision, newestTipAtNanos, backwardsAt;
  private long listTime = FIRST_LIST_TIME;
  private int pulses, refusals, asked, pageReceived = FIRST_PAGE;
  private boolean started, allKeysNeeded = true, listNeeded = true, restored, backwards, compacted;

  /**
   * Makes a recovery that has asked for nothing yet.
   *
   * @param endpoints how many there are
   * @param maxKeys how many keys are taken at most
   * @param blockingTime how long a blocking read is held at most, for a source whose watches are
   *     reads that come back with all keys; 0 for one that tells changes
   * @param log takes a line for each change of phase and each endpoint that gave cause
   */
  public WatchSession(
      RegistryView view,
      WatchCommands orders,
      int endpoints,
      int mostKeys,
      long blockingTime,
      long seed,
      Consumer<String> notes) {
    this.view = view;
    this.commands = orders;
    this.log = notes;
    this.maxKeys = mostKeys;
    this.blockingTime = blockingTime;
    blocking = blockingTime > 0;
    random = new SplittableRandom(seed);
    for (int index = 0; index < endpoints; index++) {
      this.endpoints.add(new Endpoint(index));
    }
    // Guards endpoints against gateways that all begin with the first of their list.
    for (int left = endpoints; left > 1; left--) {
      this.endpoints.add(this.endpoints.remove(random.nextInt(left)));
    }
    failoverNanos =
        endpoints < 2 ? HEARTBEAT_NANOS : Math.min(LONGEST_HOP, HEARTBEAT_NANOS / (endpoints - 1));
  }

  public Phase phase() {
    return phase;
  }

  /** How many watches tell changes now. */
  public int watchCount() {
    return (int) endpoints.stream().filter(one -> one.watch != null && one.watch.open).count();
  }

  public int openCallCount() {
    return openCallCount.size();
  }

  public void start(long now) {
    started = true;
    tokens = CONNECTS;
    tokensAt = heardAt = answeredAt = ownAt = now;
    nextPulse = now + random.nextLong(HEARTBEAT_NANOS);
    tick(now);
  }

  /**
   * Asks all again from what is known: addresses, keys or tokens may be others now. Watches go on.
   */
  public void settingsReloaded(long now) {
    for (Endpoint one : endpoints) {
      one.needsPeople = false;
      one.reach.reset();
      one.watching.reset();
    }
    tick(now);
  }

  /** When {@link #tick} is due next. */
  public long nextTickNanos() {
    long due = nextPulse;
    // What is due already was tried in the last tick, and is tried again with the next pulse.
    if (lastPulse > answeredAt && lastPulse + failoverNanos > ticked) {
      due = Math.min(due, lastPulse + failoverNanos);
    }
    for (Call call : openCallCount.values()) {
      due = Math.min(due, call.deadline);
    }
    if (newestTipRevision > view.appliedRevision() && newestTipAtNanos + SETTLE > ticked) {
      due = Math.min(due, newestTipAtNanos + SETTLE);
    }
    return due;
  }

  /** Time has passed. */
  public void tick(long now) {
    if (!started) {
      return;
    }
    ticked = now;
    for (Call call : List.copyOf(openCallCount.values())) {
      if (now >= call.deadline && openCallCount.containsKey(call.id)) {
        commands.cancel(call.id);
        failed(now, call, RegistryFailure.TIMED_OUT, 0);
      }
    }
    if (now - heardAt > CONTACT_LOST_NANOS && phase != Phase.CUT_OFF) {
      allKeysNeeded = listNeeded = true;
      enter(Phase.CUT_OFF);
    }
    if (now - answeredAt > HEARTBEAT_NANOS) {
      endpoints.stream()
          .filter(one -> !one.needsPeople)
          .forEach(one -> one.reach.bringForward(now, MOST_CUT_OFF));
    }
    pulse(now);
    if (newestTipRevision > view.appliedRevision()
        && (now >= newestTipAtNanos + SETTLE || watchCount() == 0)) {
      listNeeded = true;
    }
    dropLate(now);
    leaveSilent(now);
    list(now);
    watch(now);
  }

  private void enter(Phase next) {
    if (phase != next) {
      log.accept(phase + " -> " + next);
      phase = next;
    }
  }

  // ---- What is asked.

  private void pulse(long now) {
    boolean due = now >= nextPulse;
    boolean unheard = lastPulse > answeredAt && now >= lastPulse + failoverNanos;
    // Guards the time to hear of a drain: who says no at once is no reason to wait for the next
    // one's turn.
    boolean refused = refusals > asked && refusals < endpoints.size();
    if (due) {
      refusals = asked = 0;
      nextPulse = now + (watchCount() == 0 ? HEARTBEAT_NANOS / 2 : HEARTBEAT_NANOS);
    }
    if (!due && !unheard && !refused) {
      return;
    }
    List<Endpoint> ready = ready(now);
    ready.removeIf(one -> one.pulse != null);
    if (ready.isEmpty()) {
      return;
    }
    asked = refusals;
    // Guards against a slow endpoint that is kept, or a quick one never found: now and then another
    // is asked.
    Endpoint aside =
        due && ++pulses % EXPLORATION_INTERVAL == 0
            ? ready.get(random.nextInt(ready.size()))
            : ready.get(0);
    ask(now, aside);
    ready.remove(aside);
    if (!ready.isEmpty()
        && (watchCount() == 0
            || endpoints.stream()
                .anyMatch(one -> one.pulse != null && now - one.pulse.sentAt >= failoverNanos))) {
      // While contact is unsure, two are asked.
      ask(now, ready.get(0));
    }
  }

  private void ask(long now, Endpoint at) {
    Call call = call(Kind.PULSE, at, now, HEARTBEAT_TIMEOUT_NANOS);
    if (call != null) {
      at.pulse = call;
      lastPulse = now;
      commands.heartbeat(call.id, at.index);
    }
  }

  private void list(long now) {
    if (list != null || (!listNeeded && view.hasData())) {
      return;
    }
    List<Endpoint> ready = ready(now);
    // Guards the time that a gap may last: who answered last is the likeliest to answer.
    ready.sort(
        Comparator.comparing((Endpoint one) -> one.lastTook > failoverNanos)
            .thenComparingLong(one -> -one.answeredAt));
    for (Endpoint at : ready) {
      boolean whole = allKeysNeeded || !view.hasData() || restored;
      // Guards against a registry that is far away: a read that takes its usual time is not given
      // up.
      long time = Math.max(listTime, TOOK_TIMES * at.lastTook);
      Call call = call(Kind.LIST, at, now, whole ? WHOLE_TIMES * time : time);
      if (call == null) {
        return;
      }
      if (view.hasData() && phase != Phase.CUT_OFF) {
        enter(Phase.BEHIND);
      }
      call.whole = whole;
      call.since = whole ? 0 : view.appliedRevision() + 1;
      call.limit = pageReceived;
      list = call;
      commands.list(call.id, at.index, 0, "", call.since, call.limit);
      return;
    }
  }

  private void watch(long now) {
    // Guards against a watch that takes up where another history of revisions left off, or where
    // none is kept any more.
    if (!view.hasData() || allKeysNeeded || compacted) {
      return;
    }
    long there = endpoints.stream().filter(one -> one.watch != null).count();
    for (Endpoint at : ready(now)) {
      if (there >= Math.min(WATCHES, endpoints.size())) {
        return;
      }
      if (at.watch == null && at.watching.allows(now)) {
        Call call = call(Kind.WATCH, at, now, blocking ? blockingTime + OPEN_TIME : OPEN_TIME);
        if (call == null) {
          return;
        }
        at.watch = call;
        call.open = blocking;
        call.position = view.appliedRevision();
        there++;
        commands.watch(call.id, at.index, view.appliedRevision() + 1);
      }
    }
  }

  /**
   * A call, or none while the budget of connects is used up. One to an endpoint that is in contact
   * costs nothing.
   */
  private Call call(Kind kind, Endpoint at, long now, long time) {
    if (now - at.heardAt > CONTACT_LOST_NANOS || (kind == Kind.WATCH && !blocking)) {
      long whole = (now - tokensAt) * CONNECTS / (1000 * MS);
      if (whole > 0) {
        tokens = Math.min(CONNECTS, tokens + whole);
        tokensAt = now;
      }
      if (tokens == 0) {
        return null;
      }
      tokens--;
    }
    at.triedAt = now;
    Call call = new Call(++lastCall, kind, at, now, now + time, view);
    openCallCount.put(call.id, call);
    return call;
  }

  /** Those that may be asked, best first: in contact, then quick, then by chance of the seed. */
  private List<Endpoint> ready(long now) {
    List<Endpoint> ready = new ArrayList<>(endpoints);
    ready.removeIf(one -> !one.allows(now));
    long quickest =
        ready.stream()
            .filter(one -> now - one.heardAt <= CONTACT_LOST_NANOS)
            .mapToLong(one -> one.took)
            .min()
            .orElse(0);
    ready.sort(
        Comparator.comparingInt(
            one ->
                (one.pulse != null && now - one.pulse.sentAt >= failoverNanos ? 8 : 0)
                    + (now - one.heardAt > CONTACT_LOST_NANOS ? 4 : 0)
                    + (one.reach.isFailing() ? 2 : 0)
                    + (one.took > quickest + SLOWER ? 1 : 0)));
    return ready;
  }

  /**
   * A watch that has not brought what a pulse told of is left: it is silent though open, or follows
   * one that lags.
   */
  private void dropLate(long now) {
    if (now < newestTipAtNanos + LAG) {
      return;
    }
    for (Endpoint at : endpoints) {
      if (at.watch != null
          && at.watch.open
          && at.watch.position < newestTipRevision
          && now >= Math.max(at.watch.openedAt, at.watch.sentAt) + LAG) {
        Call late = at.watch;
        commands.cancel(late.id);
        failed(now, late, RegistryFailure.LAGGING, 0);
      }
    }
  }

  /** A list at an endpoint that fell silent is read elsewhere, if anybody has answered since. */
  private void leaveSilent(long now) {
    if (list != null
        && now - list.askedAt >= 2 * failoverNanos
        && list.at.heardAt < list.askedAt
        && answeredAt > list.askedAt) {
      Call silent = list;
      commands.cancel(silent.id);
      failed(now, silent, RegistryFailure.TIMED_OUT, 0);
    }
  }

  // ---- What came.

  private Call take(long id, Kind... kinds) {
    Call call = openCallCount.get(id);
    if (call == null || !List.of(kinds).contains(call.kind)) {
      return null;
    }
    return call;
  }

  private void heardFrom(long now, Endpoint at) {
    at.heardAt = heardAt = now;
    at.needsPeople = false;
    at.reach.reset();
  }

  /** Whether the answer is of the registry that the view is of. */
  private boolean isOfOwnCluster(long now, Call call, Header header) {
    heardFrom(now, call.at);
    call.at.shown = header.cluster();
    if (!view.hasData()
        || restored
        || view.clusterId().isEmpty()
        || header.cluster().equals(view.clusterId())) {
      ownAt = now;
      return true;
    }
    long showing = endpoints.stream().filter(one -> one.shown.equals(header.cluster())).count();
    if (showing * 2 > endpoints.size() || now - ownAt > CONTACT_LOST_NANOS) {
      startNewHistory("the registry is another one");
      return false;
    }
    log.accept("endpoint " + call.at.index + " is of another registry");
    call.at.reach.recordFailure(now, LAG);
    return false;
  }

  /**
   * Whether an answer that a majority stands behind goes on from what was known when it was asked
   * for.
   */
  private boolean continuesFrom(long now, Call call, long revision, long tip) {
    if ((revision == 0 || revision >= call.applied) && (tip < 0 || tip >= call.tip)) {
      if (call.sentAt >= backwardsAt) {
        backwards = false;
      }
      return true;
    }
    if (!backwards) {
      // Guards against one that answers from an old state: asked once more before it is believed.
      backwards = true;
      backwardsAt = now;
      nextPulse = now;
    } else if (call.sentAt >= backwardsAt) {
      backwards = false;
      startNewHistory("revisions went back from " + call.applied + " to " + revision);
    }
    return false;
  }

  private void startNewHistory(String why) {
    if (!restored) {
      log.accept(why + ": all is read anew");
    }
    restored = allKeysNeeded = listNeeded = true;
    newestTipRevision = 0;
    for (Endpoint one : endpoints) {
      if (one.watch != null) {
        commands.cancel(one.watch.id);
        end(one.watch);
      }
    }
    if (list != null) {
      commands.cancel(list.id);
      end(list);
    }
  }

  private void end(Call call) {
    openCallCount.remove(call.id);
    if (call.at.watch == call) {
      call.at.watch = null;
    }
    if (call.at.pulse == call) {
      call.at.pulse = null;
    }
    if (list == call) {
      list = null;
    }
  }

  /**
   * An answer to a pulse.
   *
   * @param tip the revision at which the tip was written; 0 where there is none
   */
  public void heartbeatReceived(long now, long id, Header header, long tip) {
    Call call = take(id, Kind.PULSE);
    if (call == null) {
      return;
    }
    end(call);
    answeredAt = call.at.answeredAt = now;
    call.at.lastTook = now - call.sentAt;
    call.at.took = call.at.took == 0 ? call.at.lastTook : (3 * call.at.took + call.at.lastTook) / 4;
    if (isOfOwnCluster(now, call, header)
        && continuesFrom(now, call, header.revision(), tip)
        && view.hasData()) {
      if (header.revision() > view.appliedRevision() && now - listedAt > AUDIT) {
        listNeeded = true;
      }
      if (tip > view.appliedRevision()) {
        if (tip > newestTipRevision) {
          newestTipRevision = tip;
          newestTipAtNanos = now;
        }
      } else if (!allKeysNeeded && !listNeeded) {
        if (tip > newestTipRevision) {
          newestTipRevision = tip;
          newestTipAtNanos = now;
        }
        view.confirm(call.sentAt);
        enter(Phase.CURRENT);
      }
    }
    tick(now);
  }

  /**
   * A part of a list or, for a blocking read, all of it.
   *
   * @param count how many keys there are in all; negative where the answer tells all keys whatever
   *     was asked for
   */
  public void pageReceived(
      long now, long id, Header header, List<RegistryEntry> items, boolean more, long count) {
    Call call = take(id, Kind.LIST, Kind.WATCH);
    if (call == null) {
      return;
    }
    if (call.kind == Kind.WATCH) {
      read(now, call, header, items);
      return;
    }
    if (call.revision == 0) {
      if (!isOfOwnCluster(now, call, header)
          || (!restored && !continuesFrom(now, call, header.revision(), -1))) {
        end(call);
        tick(now);
        return;
      }
      call.revision = header.revision();
      call.cluster = header.cluster();
      call.count = count;
    }
    heardFrom(now, call.at);
    call.items.addAll(items);
    if (call.items.size() > maxKeys + (long) call.limit) {
      commands.cancel(call.id);
      failed(now, call, RegistryFailure.UNREADABLE, 0);
    } else if (more && !items.isEmpty()) {
      call.askedAt = now;
      call.deadline = now + WHOLE_TIMES * listTime;
      commands.list(
          call.id,
          call.at.index,
          call.revision,
          items.get(items.size() - 1).key(),
          call.since,
          call.limit);
    } else {
      end(call);
      listed(now, call);
    }
    tick(now);
  }

  private void listed(long now, Call call) {
    pageReceived = FIRST_PAGE;
    listedAt = now;
    listTime = FIRST_LIST_TIME;
    if (!restored && !call.whole && call.count >= 0) {
      if (call.revision > view.appliedRevision()
          && !view.applyWrites(now, call.items, call.count, call.revision, call.sentAt)) {
        // Something was deleted as well, and only a whole list tells what.
        allKeysNeeded = true;
        return;
      }
    } else if (restored || !view.hasData() || call.revision >= view.appliedRevision()) {
      view.applySnapshot(now, call.items, call.cluster, call.revision, call.sentAt, restored);
    }
    allKeysNeeded = listNeeded = restored = compacted = false;
    listNeeded = newestTipRevision > view.appliedRevision();
    if (!listNeeded) {
      enter(Phase.CURRENT);
    }
  }

  /** A blocking read came back: all keys, and an index that is to be reset when it went back. */
  private void read(long now, Call call, Header header, List<RegistryEntry> items) {
    end(call);
    if (isOfOwnCluster(now, call, header)
        && continuesFrom(now, call, header.revision(), -1)
        && !restored
        && !allKeysNeeded) {
      if (header.revision() > view.appliedRevision()) {
        view.applySnapshot(now, items, header.cluster(), header.revision(), call.sentAt, false);
      }
      // Guards against a server that comes back at once for ever.
      if (now - call.sentAt < SETTLE) {
        call.at.watching.recordFailure(now, 0);
      } else {
        call.at.watching.reset();
      }
    }
    tick(now);
  }

  /** A watch is open. */
  public void watchOpened(long now, long id, Header header) {
    Call call = take(id, Kind.WATCH);
    if (call != null && isOfOwnCluster(now, call, header)) {
      call.open = true;
      call.openedAt = now;
      call.deadline = Long.MAX_VALUE;
    } else if (call != null && openCallCount.containsKey(id)) {
      commands.cancel(id);
      end(call);
    }
    tick(now);
  }

  /**
   * A frame of a watch. Without events it tells that all up to the header's revision has been told.
   *
   * @param partial whether more of the same revisions follows
   */
  public void eventsReceived(
      long now, long id, Header header, List<WatchEvent> changes, boolean partial) {
    Call call = take(id, Kind.WATCH);
    if (call == null || !call.open) {
      return;
    }
    if (!isOfOwnCluster(now, call, header)) {
      if (openCallCount.containsKey(id)) {
        commands.cancel(id);
        end(call);
      }
      tick(now);
      return;
    }
    if (now - call.openedAt > STEADY) {
      call.at.watching.reset();
    }
    call.parts.addAll(changes);
    if (call.parts.size() > maxKeys) {
      commands.cancel(id);
      failed(now, call, RegistryFailure.UNREADABLE, 0);
    } else if (!partial) {
      if (call.parts.isEmpty()) {
        call.position = Math.max(call.position, header.revision());
        view.advanceTo(header.revision());
      } else {
        call.position = Math.max(call.position, call.parts.get(call.parts.size() - 1).revision());
        view.applyEvents(now, List.copyOf(call.parts));
        call.parts.clear();
      }
    }
    tick(now);
  }

  /**
   * What was asked for is no longer kept: a watch's start, or the revision at which a list is read.
   */
  public void compacted(long now, long id) {
    Call call = take(id, Kind.LIST, Kind.WATCH);
    if (call != null) {
      end(call);
      listNeeded = compacted = true;
      heardFrom(now, call.at);
      if (call.kind == Kind.LIST) {
        // Guards against a list that is never read to its end while the registry compacts: larger
        // parts.
        pageReceived = Math.min(MOST_PAGE, call.limit * 2);
      }
    }
    tick(now);
  }

  /** A call ended without what it was for. */
  public void callFailed(long now, long id, RegistryFailure why, long retryAfter) {
    Call call = openCallCount.get(id);
    if (call != null) {
      failed(now, call, why, retryAfter);
    }
    tick(now);
  }

  private void failed(long now, Call call, RegistryFailure why, long retryAfter) {
    end(call);
    Endpoint at = call.at;
    if (call.kind == Kind.WATCH) {
      at.watching.recordFailure(now, retryAfter);
    }
    if (why != RegistryFailure.LAGGING
        && !(call.kind == Kind.WATCH && why == RegistryFailure.BROKEN)) {
      at.reach.recordFailure(
          now, Math.max(retryAfter, why.needsOperator() ? OPERATOR_BACKOFF_NANOS : 0));
    }
    if (call.kind == Kind.LIST && why == RegistryFailure.TIMED_OUT) {
      listTime = Math.min(MOST_LIST_TIME, listTime * 2);
    }
    if (call.kind == Kind.PULSE && why == RegistryFailure.TIMED_OUT) {
      at.took = at.lastTook = Math.max(at.took, HEARTBEAT_TIMEOUT_NANOS);
    } else if (call.kind == Kind.PULSE) {
      refusals++;
    }
    if ((why.needsOperator() && !at.needsPeople)
        || why == RegistryFailure.UNREADABLE
        || why == RegistryFailure.LAGGING) {
      log.accept("endpoint " + at.index + ": " + call.kind + " " + why);
    }
    at.needsPeople = why.needsOperator();
  }
}
