package org.amberpath.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.amberpath.membership.GossipMessage.Kind;

/**
 * One gateway's view of its fleet: told datagrams and the time, it answers with datagrams and with
 * news of who is there. Probes, indirect probes, suspicion, incarnations and rumours that ride on
 * probes are those of SWIM (Das, Gupta, Motivala 2002); from Lifeguard (Dadgar, Phillips, Currey
 * 2017) come a gateway's doubt in itself, suspicions that shorten as others confirm them, and that
 * a suspect is told first. Lists both ways mend what rumours missed.
 *
 * <p>{@link #quotaShare} is what shared bounds are multiplied by; docs/design/fleet-view.md has the
 * proof that the shares of all running gateways never sum to more than one.
 *
 * <p>Bounds: {@value #MOST} gateways; a rumour a gateway; one own probe and {@value #MOST_HELP} for
 * others at a time; answers a period by their number. Times are nanoseconds of this gateway's own
 * clock.
 */
public final class SwimProtocol {
  /** The view as a whole. */
  public enum Phase {
    JOINING,
    ALONE,
    SETTLING,
    SETTLED,
    CUT_OFF,
    LEAVING
  }

  /** Where datagrams and news go. */
  public interface Output {
    void send(String address, GossipMessage message);

    /** A gateway's standing has changed. */
    void memberStatusChanged(String name, MemberStatus standing);

    void phaseChanged(Phase from, Phase to);

    /** Another process goes by this gateway's name: told once for each such process. */
    void nameConflictDetected(String address);
  }

  private static final int MOST = 2000, MOST_HELP = 64, HELPERS = 3, MOST_DOUBT = 6, CONFIRMED = 3;

  /** Probes go so often as a rumour is sent: times the doublings of the fleet's size. */
  private static final int SPREAD = 3;

  /** In periods: a suspicion's least and greatest length, for ten gateways. */
  private static final int LEAST = 4, GREATEST = 12;

  private static final int STOOD = 3,
      ALONE_AFTER = 8,
      QUIET = 4,
      SYNC_EVERY = 8,
      TRY_LOST = 3,
      MOST_ANSWERS = 40;

  /**
   * For how long one that left is remembered, and counted: the time to refute word that was not its
   * own.
   */
  private static final int REMEMBERED = 240, STILL_COUNTED = 24;

  /**
   * Incarnations begin with the clock's seconds: one this far ahead of this gateway's clock is
   * nobody's.
   */
  private static final long SECOND = 1_000_000_000, AHEAD = 2 * 86_400;

  /** Answers a period to one asker, of those to all. */
  private static final int MOST_TO_ONE = 8;

  private static final int MOST_TWINS = 16, RISES = 4, SEEDS_ONE_IN = 4, SEED_ASKERS = 8;

  private final SwimTimings rules;
  private final List<String> seeds;
  private final SplittableRandom chance;
  private final Output out;
  private final NavigableMap<String, Peer> peers = new TreeMap<>();

  /** What is still to be sent, by name, with how often it was. */
  private final Map<String, Integer> spreading = new LinkedHashMap<>();

  private final List<Peer> order = new ArrayList<>();

  /** Probes on behalf of others: own number to who asked, under which number, and until when. */
  private final Map<Long, Help> helping = new LinkedHashMap<>();

  private final Set<Long> twins = new HashSet<>();

  /** How often another birth under this name rose above this one. */
  private final Map<Long, Integer> risen = new HashMap<>();

  private MemberUpdate self;
  private Probe probe;
  private Phase phase = Phase.JOINING;
  private long now,
      startedAt,
      tickedAt,
      probeDue,
      syncDue,
      tryDue,
      changedAt,
      number,
      refutedAt = Long.MIN_VALUE;
  private long answersSince, serial, digest, presentNames, chain;
  private int doubt, at, answers, names = 1, presentCount = 1;
  private boolean synced, admitted, differs, chainWhole = true;

  /** The name after which the list that is being asked for goes on. */
  private String cursor;

  private static final class Peer {
    MemberUpdate said;
    final long mixed;
    long until, changedAt, names, answeredSince;
    int answered;
    final Set<String> accusers = new HashSet<>();

    Peer(MemberUpdate said) {
      this.said = said;
      mixed = mix(said.name());
    }

    boolean isThere() {
      return said.status() == MemberStatus.ALIVE || said.status() == MemberStatus.SUSPECTED;
    }
  }

  private static final class Probe {
    final Peer of;
    final long number, sentAt;
    boolean asked;
    int owing;

    Probe(Peer of, long number, long sentAt) {
      this.of = of;
      this.number = number;
      this.sentAt = sentAt;
    }
  }

  private record Help(MemberUpdate asker, long number, long until) {}

  /** What is held of one gateway, and since when. */
  public record ObservedMember(MemberUpdate update, long sinceNanos) {}

  /**
   * A view that knows of nobody.
   *
   * @param self this process: its incarnation is above that of its starts before, as far as its
   *     clock can tell
   * @param seeds addresses of which any may answer; its own is passed over
   */
  public SwimProtocol(
      SwimTimings rules, MemberUpdate self, List<String> seeds, long seed, long now, Output out) {
    this.rules = rules;
    this.self = self;
    this.seeds = seeds.stream().filter(one -> !one.equals(self.address())).toList();
    this.out = out;
    chance = new SplittableRandom(seed);
    this.now = now;
    startedAt = now;
    tickedAt = now;
    changedAt = now;
    answersSince = now;
    probeDue = now + chance.nextLong(rules.probeIntervalNanos());
    syncDue = now;
    tryDue = now + TRY_LOST * rules.probeIntervalNanos();
    count();
  }

  public Phase phase() {
    return phase;
  }

  /** What this gateway says of itself. */
  public MemberUpdate self() {
    return self;
  }

  /**
   * All others that it has heard of, by name: those that are there, and for a while those that
   * left.
   */
  public List<ObservedMember> otherMembers() {
    return peers.values().stream().map(one -> new ObservedMember(one.said, one.changedAt)).toList();
  }

  /** All that are there as far as this gateway knows, itself among them. */
  public List<String> presentNames() {
    List<String> names = new ArrayList<>(List.of(self.name()));
    peers.values().stream().filter(Peer::isThere).forEach(one -> names.add(one.said.name()));
    names.sort(Comparator.naturalOrder());
    return names;
  }

  /** What is held of a gateway that is there; null otherwise. */
  public MemberUpdate find(String name) {
    Peer peer = peers.get(name);
    return peer != null && peer.isThere() ? peer.said : null;
  }

  /** The next serial, for something that is sent beside this view's own messages. */
  public long nextSequenceNumber() {
    return ++serial;
  }

  /** How many are there, itself among them. */
  public int presentCount() {
    return presentCount;
  }

  /** What is held of another gateway; null if it was never heard of. */
  public MemberStatus statusOf(String name) {
    Peer peer = peers.get(name);
    return name.equals(self.name()) ? MemberStatus.ALIVE : peer == null ? null : peer.said.status();
  }

  /**
   * By how many shared bounds are divided: rises when a name is heard of, falls when one left,
   * never by a loss.
   */
  public int countedMembers() {
    return Math.max(rules.maxMembers(), names);
  }

  /**
   * This gateway's part of what all share, 0 to 1. A gateway beyond the told number has none until
   * all count it.
   */
  public double quotaShare() {
    boolean few = names <= rules.maxMembers() && (synced || phase == Phase.ALONE);
    return phase != Phase.LEAVING && (admitted || few) ? 1.0 / countedMembers() : 0;
  }

  private boolean counts(Peer peer) {
    return peer.said.status() != MemberStatus.LEFT
        || now - peer.changedAt < STILL_COUNTED * rules.probeIntervalNanos();
  }

  /**
   * Guards against a liar's word that another left: for a while it counts on, and may say otherwise
   * itself.
   */
  private void count() {
    names = 1;
    digest = mix(self.name());
    presentNames = digest;
    presentCount = 1;
    for (Peer peer : peers.values()) {
      if (peer.isThere()) {
        presentNames += peer.mixed;
        presentCount++;
      }
      if (counts(peer)) {
        names++;
        digest += peer.mixed;
      }
    }
  }

  private static long mix(String name) {
    long value = 0x9e3779b97f4a7c15L;
    for (int i = 0; i < name.length(); i++) {
      value = (value ^ name.charAt(i)) * 0xbf58476d1ce4e5b9L;
      value ^= value >>> 29;
    }
    return value;
  }

  // ---- What comes.

  /** Another's datagram, checked and decoded. */
  public void messageReceived(long time, GossipMessage message) {
    now = time;
    MemberUpdate from = message.sender();
    if (phase == Phase.LEAVING || from.name().equals(self.name())) {
      twin(from);
      return;
    }
    if (now - answersSince > rules.probeIntervalNanos()) {
      answersSince = now;
      answers = 0;
    }
    boolean first = peers.isEmpty();
    take(from);
    message.updates().forEach(this::take);
    Peer peer = peers.get(from.name());
    if (peer == null) {
      return;
    }
    syncDue = first && !synced ? now : syncDue;
    peer.names = message.countedDigest();
    differs = message.presentDigest() != presentNames;
    boolean heeded =
        message.kind() == Kind.ACK
            || message.kind() == Kind.NACK
            || message.kind() == Kind.PAGE
            || mayAnswer(peer);
    if (peer.said.instanceId() != from.instanceId() && mayAnswer(peer)) {
      // Guards against a start that nobody believes, since its clock went back: it is told what is
      // held of it.
      send(from, Kind.NACK, 0, null, false, List.of(peer.said));
    }
    if (heeded) {
      switch (message.kind()) {
        case PING -> send(from, Kind.ACK, message.probeNumber(), null, false, rumoursFor(peer));
        case ASK -> help(peer, message);
        case ACK -> acked(message.probeNumber());
        case NACK -> {
          if (probe != null && probe.number == message.probeNumber()) {
            probe.owing = Math.max(0, probe.owing - 1);
          }
        }
        case SYNC -> page(from, Kind.PAGE, message.probeNumber(), message.subject());
        case PAGE -> synced(from, message);
        default -> {}
      }
    }
    admit();
  }

  /** Guards against floods: what is answered in one period is bounded, to all and to each. */
  private boolean mayAnswer(Peer asker) {
    if (now - asker.answeredSince > rules.probeIntervalNanos()) {
      asker.answeredSince = now;
      asker.answered = 0;
    }
    return ++asker.answered <= MOST_TO_ONE && ++answers <= MOST_ANSWERS;
  }

  /**
   * Answers one that knows this gateway's address and not its birth, or an older one: nothing it
   * said counts yet.
   */
  public void greet(long time, MemberUpdate to) {
    now = time;
    if (phase != Phase.LEAVING && !to.name().equals(self.name())) {
      send(to, Kind.NACK, 0, null, false, List.of());
    }
  }

  /**
   * Guards against two processes that push one another out for ever: both are told, neither refutes
   * at speed.
   */
  private void twin(MemberUpdate from) {
    if (phase != Phase.LEAVING
        && from.instanceId() != self.instanceId()
        && twins.size() < MOST_TWINS
        && twins.add(from.instanceId())) {
      out.nameConflictDetected(from.address());
    }
  }

  private void acked(long of) {
    if (probe != null && probe.number == of) {
      probe = null;
      doubt = Math.max(0, doubt - 1);
    }
    Help help = helping.remove(of);
    if (help != null) {
      send(help.asker, Kind.ACK, help.number, null, false, List.of());
    }
  }

  private void help(Peer asker, GossipMessage ask) {
    Peer of = peers.get(ask.subject());
    if (of != null && helping.size() < MOST_HELP) {
      long own = ++number;
      helping.put(own, new Help(asker.said, ask.probeNumber(), now + rules.probeTimeoutNanos()));
      send(of.said, Kind.PING, own, null, false, rumoursFor(of));
    }
  }

  /** A saying is believed if it beats what is held; one against this gateway itself is refuted. */
  private void take(MemberUpdate rumour) {
    if (rumour.incarnation() > now / SECOND + AHEAD) {
      return; // Guards against a saying that could never be refuted.
    }
    if (rumour.name().equals(self.name())) {
      if (rumour.instanceId() != self.instanceId()) {
        outlive(rumour);
      } else if (rumour.status() != MemberStatus.ALIVE
          && rumour.incarnation() >= self.incarnation()) {
        doubt = Math.min(MOST_DOUBT, doubt + 1);
        refute(rumour.incarnation() + 1);
      }
      return;
    }
    Peer held = peers.get(rumour.name());
    if (held == null) {
      if (peers.size() < MOST) {
        held = new Peer(rumour);
        peers.put(rumour.name(), held);
        order.add(chance.nextInt(order.size() + 1), held);
        changed(held, null);
      }
    } else if (rumour.beats(held.said)) {
      MemberStatus before = held.said.status();
      held.said = rumour;
      held.accusers.clear();
      changed(held, before);
    } else if (rumour.status() == MemberStatus.SUSPECTED
        && held.said.status() == MemberStatus.SUSPECTED
        && rumour.incarnation() == held.said.incarnation()
        && held.accusers.size() < CONFIRMED
        && held.accusers.add(rumour.reporter())) {
      // Guards against late word of a crash: each further accuser shortens the suspicion.
      long began = held.until - suspicion(held.accusers.size() - 1);
      held.until = began + suspicion(held.accusers.size());
      spreading.put(rumour.name(), 0);
    }
  }

  /** What is remembered of a start before this one, or of a twin: this start is above it. */
  private void outlive(MemberUpdate other) {
    boolean above =
        other.incarnation() > self.incarnation()
            || (other.incarnation() == self.incarnation() && other.status() != MemberStatus.ALIVE);
    if (above
        && (risen.size() < MOST_TWINS || risen.containsKey(other.instanceId()))
        && risen.merge(other.instanceId(), 1, Integer::sum) >= RISES
        && other.status() == MemberStatus.ALIVE) {
      twin(other); // One that has ended does not rise above what outlived it, but for what is still
      // on its way.
    }
    if (above
        && (refutedAt == Long.MIN_VALUE
            || now - refutedAt > rules.probeIntervalNanos() * STOOD
            || twins.isEmpty())) {
      refute(other.incarnation() + 1);
    }
  }

  private void refute(long incarnation) {
    refutedAt = now;
    self =
        new MemberUpdate(
            self.name(),
            self.address(),
            incarnation,
            self.instanceId(),
            MemberStatus.ALIVE,
            self.name());
    spreading.put(self.name(), 0);
  }

  private void changed(Peer peer, MemberStatus before) {
    MemberStatus after = peer.said.status();
    if (after == MemberStatus.SUSPECTED) {
      peer.accusers.add(peer.said.reporter());
      peer.until = now + suspicion(peer.accusers.size());
    }
    spreading.put(peer.said.name(), 0);
    if (before != after) {
      peer.changedAt = now;
      changedAt = now;
      count();
      out.memberStatusChanged(peer.said.name(), after);
    }
  }

  private double size() {
    return Math.max(1, Math.log10(Math.max(1, names)));
  }

  /** How long a suspicion lasts that so many accusers share. */
  private long suspicion(int accusers) {
    double part = Math.log(Math.max(1, accusers)) / Math.log(CONFIRMED);
    return (long)
        ((GREATEST - (GREATEST - LEAST) * Math.min(1, part)) * rules.probeIntervalNanos() * size());
  }

  // ---- What goes.

  private void send(
      MemberUpdate to,
      Kind kind,
      long number,
      String about,
      boolean more,
      List<MemberUpdate> rumours) {
    out.send(
        to.address(),
        new GossipMessage(
            kind,
            self,
            to.instanceId(),
            ++serial,
            number,
            digest,
            presentNames,
            about,
            more,
            synced,
            rumours));
  }

  /**
   * What rides on a datagram: first what is said of the one that it goes to, then what was sent
   * least.
   */
  private List<MemberUpdate> rumoursFor(Peer to) {
    List<MemberUpdate> some = new ArrayList<>();
    if (to != null && to.said.status() != MemberStatus.ALIVE) {
      some.add(to.said);
    }
    int often = SPREAD * (32 - Integer.numberOfLeadingZeros(names));
    List<Map.Entry<String, Integer>> least = new ArrayList<>(spreading.entrySet());
    least.sort(Map.Entry.comparingByValue());
    for (Map.Entry<String, Integer> entry : least) {
      if (some.size() == rules.maxUpdatesPerMessage()) {
        break;
      }
      Peer about = peers.get(entry.getKey());
      if ((about == null && !entry.getKey().equals(self.name())) || entry.getValue() >= often) {
        spreading.remove(entry.getKey());
      } else if (about == null || about != to) {
        some.add(about == null ? self : about.said);
        spreading.put(entry.getKey(), entry.getValue() + 1);
      }
    }
    return some;
  }

  /** A stretch of all that is known, by name: lists both ways mend what rumours missed. */
  private void page(MemberUpdate to, Kind kind, long number, String after) {
    List<MemberUpdate> some = new ArrayList<>();
    boolean more = false;
    for (Peer peer : peers.tailMap(after == null ? "" : after, false).values()) {
      more = some.size() == rules.maxUpdatesPerMessage();
      if (more) {
        break;
      }
      some.add(peer.said);
    }
    send(to, kind, number, after, more, some);
  }

  /**
   * A list goes on where it ended, with whoever is asked next: one asker gets a bounded number of
   * answers a period, and while all hold the same, one stretch each few periods is enough.
   */
  private void synced(MemberUpdate from, GossipMessage page) {
    if (page.probeNumber() != chain || !Objects.equals(page.subject(), cursor)) {
      return;
    }
    chainWhole &= page.fullySynced();
    if (page.hasMore()) {
      cursor = page.updates().get(page.updates().size() - 1).name();
      if (!synced || differs) {
        page(from, Kind.SYNC, chain, cursor);
      }
    } else {
      // Guards against a whole list from one that has just started itself, unless all have.
      synced |= chainWhole || now - startedAt > ALONE_AFTER * rules.probeIntervalNanos();
      cursor = null;
      chainWhole = true;
    }
  }

  /** Admitted for good once every gateway that counts has said that it counts the same names. */
  private void admit() {
    if (!admitted && synced) {
      admitted =
          names > 1 && peers.values().stream().allMatch(one -> !counts(one) || one.names == digest);
    }
  }

  // ---- What time brings.

  /** To be called several times a period. */
  public void tick(long time) {
    long passed = time - tickedAt;
    now = time;
    tickedAt = time;
    count();
    if (phase == Phase.LEAVING) {
      return;
    }
    if (passed > STOOD * rules.probeIntervalNanos()) {
      stood(passed);
    }
    long patience = rules.probeTimeoutNanos() * (1 + doubt);
    judge(patience);
    helping
        .entrySet()
        .removeIf(
            entry -> {
              boolean over = now > entry.getValue().until;
              if (over) { // Says that the helper is well, and that it is not the asker's link that
                // fails.
                send(
                    entry.getValue().asker,
                    Kind.NACK,
                    entry.getValue().number,
                    null,
                    false,
                    List.of());
              }
              return over;
            });
    for (Peer peer : peers.values()) {
      if (peer.said.status() == MemberStatus.SUSPECTED && now >= peer.until) {
        say(peer, MemberStatus.LOST);
      }
    }
    forgetLeft();
    if (probe == null && now >= probeDue) {
      probeNext();
    }
    if (now >= syncDue) {
      sync();
    }
    if (now >= tryDue) {
      tryDue =
          now
              + TRY_LOST * rules.probeIntervalNanos() / 2
              + chance.nextLong(TRY_LOST * rules.probeIntervalNanos());
      Peer lost = any(one -> one.said.status() == MemberStatus.LOST);
      if (lost != null) {
        page(lost.said, Kind.SYNC, ++number, null);
        send(lost.said, Kind.PING, ++number, null, false, rumoursFor(lost));
      }
      askEmptySeed();
    }
    settle();
  }

  /**
   * Guards memory against names that come and go for ever: one that left is remembered until all
   * have heard of it.
   */
  private void forgetLeft() {
    if (peers
        .values()
        .removeIf(
            one ->
                one.said.status() == MemberStatus.LEFT
                    && now - one.changedAt > REMEMBERED * rules.probeIntervalNanos())) {
      order.removeIf(one -> peers.get(one.said.name()) != one);
      at = Math.min(at, order.size());
    }
  }

  /**
   * Guards the fleet against one that slept: what it did not hear proves nothing, and its own view
   * is old.
   */
  private void stood(long passed) {
    probe = null;
    helping.clear();
    synced = false;
    cursor = null;
    chainWhole = true;
    syncDue = now;
    changedAt = now;
    doubt = MOST_DOUBT;
    peers.values().forEach(one -> one.until += passed);
  }

  private void judge(long patience) {
    if (probe == null) {
      return;
    }
    if (!probe.of.isThere()) {
      probe = null;
    } else if (!probe.asked && now - probe.sentAt >= patience) {
      probe.asked = true;
      Peer of = probe.of;
      for (int one = 0; one < HELPERS; one++) {
        Peer helper = any(each -> each != of && each.said.status() == MemberStatus.ALIVE);
        if (helper != null) {
          probe.owing++;
          send(helper.said, Kind.ASK, probe.number, of.said.name(), false, List.of());
        }
      }
    } else if (probe.asked && now - probe.sentAt >= 3 * patience) {
      Peer of = probe.of;
      // Nobody that was asked says a word: it may be this gateway that hears nothing.
      doubt = probe.owing > 0 ? Math.min(MOST_DOUBT, doubt + 1) : doubt;
      probe = null;
      if (of.said.status() == MemberStatus.ALIVE) {
        say(of, MemberStatus.SUSPECTED);
      } else if (of.said.status() == MemberStatus.SUSPECTED) {
        take(
            new MemberUpdate(
                of.said.name(),
                of.said.address(),
                of.said.incarnation(),
                of.said.instanceId(),
                MemberStatus.SUSPECTED,
                self.name()));
      }
    }
  }

  private void say(Peer of, MemberStatus standing) {
    take(
        new MemberUpdate(
            of.said.name(),
            of.said.address(),
            of.said.incarnation(),
            of.said.instanceId(),
            standing,
            self.name()));
  }

  /**
   * Each in turn, in an order by chance that is drawn anew after each round: bounds the time to
   * hear of a crash.
   */
  private void probeNext() {
    probeDue = now + rules.probeIntervalNanos();
    for (int tried = 0; tried < order.size(); tried++) {
      if (at >= order.size()) {
        at = 0;
        for (int one = order.size() - 1; one > 0; one--) {
          int other = chance.nextInt(one + 1);
          Peer moved = order.get(one);
          order.set(one, order.get(other));
          order.set(other, moved);
        }
      }
      Peer next = order.get(at++);
      if (next.isThere()) {
        probe = new Probe(next, ++number, now);
        send(next.said, Kind.PING, probe.number, null, false, rumoursFor(next));
        return;
      }
    }
  }

  private void sync() {
    long every =
        synced && !differs ? SYNC_EVERY * rules.probeIntervalNanos() : rules.probeIntervalNanos();
    syncDue = now + every / 2 + chance.nextLong(every);
    Peer with = any(Peer::isThere);
    int oneIn =
        synced
            ? Math.max(SEEDS_ONE_IN, names / SEED_ASKERS)
            : SEEDS_ONE_IN; // Guards seeds of large fleets.
    if (with != null && (seeds.isEmpty() || chance.nextInt(oneIn) > 0)) {
      chain = ++number;
      page(with.said, Kind.SYNC, chain, cursor);
    } else if (!seeds.isEmpty()) { // Guards against two islands that never heard of each other.
      chain = ++number;
      page(unknown(seeds), Kind.SYNC, chain, cursor);
    }
  }

  /**
   * Asks a seed address at which nobody is, a few times a second by the whole fleet. Guards against
   * one that starts there and asks seeds that are down: it can be found only by those that know its
   * address.
   */
  private void askEmptySeed() {
    List<String> empty =
        seeds.stream()
            .filter(
                seed ->
                    peers.values().stream()
                        .noneMatch(one -> one.isThere() && one.said.address().equals(seed)))
            .toList();
    if (!empty.isEmpty() && chance.nextInt(names) < SEED_ASKERS) {
      page(unknown(empty), Kind.SYNC, ++number, null);
    }
  }

  private MemberUpdate unknown(List<String> addresses) {
    return new MemberUpdate(
        "", addresses.get(chance.nextInt(addresses.size())), 0, 0, MemberStatus.ALIVE, "");
  }

  private Peer any(Predicate<Peer> which) {
    List<Peer> some = peers.values().stream().filter(which).toList();
    return some.isEmpty() ? null : some.get(chance.nextInt(some.size()));
  }

  private void settle() {
    boolean suspects =
        peers.values().stream().anyMatch(one -> one.said.status() == MemberStatus.SUSPECTED);
    if (presentCount == 1 && names == 1) {
      boolean waited =
          phase == Phase.ALONE || now - startedAt > ALONE_AFTER * rules.probeIntervalNanos();
      enter(waited ? Phase.ALONE : Phase.JOINING);
    } else if (2 * presentCount <= names) {
      enter(Phase.CUT_OFF);
    } else {
      enter(
          synced && !suspects && now - changedAt > QUIET * rules.probeIntervalNanos()
              ? Phase.SETTLED
              : Phase.SETTLING);
    }
  }

  private void enter(Phase next) {
    if (next != phase) {
      Phase before = phase;
      phase = next;
      out.phaseChanged(before, next);
    }
  }

  // ---- What operators say.

  /**
   * Orderly: from now on this gateway has no share, and some hear that it leaves; the others hear
   * it from them.
   */
  public void leave(long time) {
    now = time;
    enter(Phase.LEAVING);
    self =
        new MemberUpdate(
            self.name(),
            self.address(),
            self.incarnation(),
            self.instanceId(),
            MemberStatus.LEFT,
            self.name());
    List<Peer> some = new ArrayList<>(peers.values().stream().filter(Peer::isThere).toList());
    for (int one = 0; one < 2 * HELPERS && !some.isEmpty(); one++) {
      send(some.remove(chance.nextInt(some.size())).said, Kind.NACK, 0, null, false, List.of());
    }
  }

  /** Word that a lost gateway is not coming back: only so does its part fall to the others. */
  public boolean forget(long time, String name) {
    now = time;
    Peer peer = peers.get(name);
    boolean lost = peer != null && peer.said.status() == MemberStatus.LOST;
    if (lost) {
      say(peer, MemberStatus.LEFT);
    }
    return lost;
  }
}
