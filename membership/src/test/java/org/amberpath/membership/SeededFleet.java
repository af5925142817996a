package org.amberpath.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Simulates a fleet on a virtual clock without I/O. Datagrams are lost, delayed, duplicated and
 * reordered; links fail in one direction; the network is partitioned; members crash, restart with a
 * clock that went back, pause and leave; two processes use one name; and a sender with the fleet's
 * key sends false updates, floods and invented names. All random numbers are drawn from the fleet's
 * own generator and used only in basic arithmetic, so that a seed produces the same events on every
 * machine. Times are multiples of a millisecond, so that some events coincide exactly with
 * deadlines.
 */
final class SeededFleet {
  /** The size of the fleet and the kinds of faults that occur in it. */
  enum Setting {
    /**
     * Eight members with a maximum of eight; crashes, restarts, leaves, pauses, lost datagrams and
     * partitions.
     */
    STEADY(8, 8, 900),
    /** Sixteen members, so that the member list is longer than one page. */
    LARGE(16, 17, 500),
    /** Nine members with a maximum of three, so that quota shares require admission. */
    GROWING(9, 3, 900),
    /**
     * Six members and two processes that use the names of others; a hostile sender with the key.
     */
    CONTESTED(8, 6, 900),
    /** Four members; floods of requests and thousands of invented names. */
    FLOODED(4, 4, 200);

    final int places;
    final int maxMembers;
    final int seconds;

    Setting(int places, int maxMembers, int seconds) {
      this.places = places;
      this.maxMembers = maxMembers;
      this.seconds = seconds;
    }
  }

  private record Planned(long atNanos, long order, Runnable event) {}

  static final long MS = 1_000_000;
  static final long SECOND = 1000 * MS;
  static final long START = 1_700_000_000L * SECOND;
  private static final int STORM_SECONDS = 50;
  private static final int CALM_SECONDS = 40;

  final RecordedActions actions = new RecordedActions();
  final SwimTimings timings;
  final SplittableRandom random;
  final Setting setting;
  final List<SeededMember> members = new ArrayList<>();

  private final Map<String, SeededMember> byAddress = new TreeMap<>();
  private final PriorityQueue<Planned> planned =
      new PriorityQueue<>(
          Comparator.comparingLong(Planned::atNanos).thenComparingLong(Planned::order));
  private final List<GossipMessage> seen = new ArrayList<>();
  private final SeededStranger stranger;
  private final boolean[][] cut;
  private long now = START;
  private long order;
  private double lossShare;
  private double doubledShare;
  private int maxDelayMs = 3;

  SeededFleet(Setting setting, long seed) {
    this.setting = setting;
    random = new SplittableRandom(seed * 31 + setting.name().hashCode());
    timings =
        setting == Setting.GROWING
            ? SwimTimings.withProbeInterval(setting.maxMembers, 300 * MS)
            : SwimTimings.defaults(setting.maxMembers);
    cut = new boolean[setting.places][setting.places];
    for (int index = 0; index < setting.places; index++) {
      boolean twin = setting == Setting.CONTESTED && index >= setting.maxMembers;
      String name = "m" + (twin ? index - setting.maxMembers : index);
      SeededMember member = new SeededMember(this, index, name, "a" + index);
      members.add(member);
      byAddress.put(member.address, member);
    }
    stranger = new SeededStranger(this);
  }

  /** Runs the simulation to its end, and returns the digest of all actions in hexadecimal. */
  String play() {
    int first = setting == Setting.GROWING || setting == Setting.CONTESTED ? 3 : setting.places;
    for (int index = 0; index < first; index++) {
      plan(START + random.nextInt(2000) * MS, members.get(index)::start);
    }
    plan(START + 12 * SECOND, this::fault);
    if (setting == Setting.CONTESTED || setting == Setting.FLOODED) {
      plan(START + 15 * SECOND, stranger::act);
    }
    long end = START + setting.seconds * SECOND;
    while (!planned.isEmpty() && planned.peek().atNanos <= end) {
      Planned next = planned.poll();
      now = next.atNanos;
      next.event.run();
    }
    return actions.finish();
  }

  long now() {
    return now;
  }

  void plan(long atNanos, Runnable event) {
    planned.add(new Planned(atNanos, ++order, event));
  }

  boolean withProbability(double probability) {
    return random.nextDouble() < probability;
  }

  SeededMember anyMember() {
    return members.get(random.nextInt(members.size()));
  }

  /** Returns a random message that was sent earlier; null before the first message. */
  GossipMessage anySeen() {
    return seen.isEmpty() ? null : seen.get(random.nextInt(seen.size()));
  }

  /** Whether faults are injected at this time; between such times the fleet can settle. */
  boolean stormy() {
    return (now - START) / SECOND % (STORM_SECONDS + CALM_SECONDS) < STORM_SECONDS;
  }

  /** Transmits a datagram, which may be lost, delayed, duplicated or reordered. */
  void carry(SeededMember from, String address, GossipMessage message) {
    if (seen.size() < 200) {
      seen.add(message);
    } else if (withProbability(0.1)) {
      seen.set(random.nextInt(seen.size()), message);
    }
    SeededMember target = byAddress.get(address);
    if (target == null || cut[from.index][target.index] || withProbability(lossShare)) {
      actions.count(target == null ? "to nobody" : "lost on the way");
      return;
    }
    int copies = withProbability(doubledShare) ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      int delayMs = 1 + random.nextInt(withProbability(0.02) ? 20 * maxDelayMs : maxDelayMs);
      plan(now + delayMs * MS, () -> target.deliver(message));
    }
  }

  // ---- Faults.

  private void fault() {
    plan(now + random.nextInt(withProbability(0.2) ? 1 : 3000) * MS, this::fault);
    if (!stormy()) {
      calm();
      return;
    }
    SeededMember member = anyMember();
    switch (random.nextInt(12)) {
      case 0 -> member.crash();
      case 1 -> member.leave();
      case 2, 3, 4 -> member.startIfDown();
      case 5 -> member.pause(random.nextInt(1 + random.nextInt(6000)));
      case 6 -> partition();
      case 7 -> weather();
      case 8 -> cutLink();
      case 9 -> replay();
      case 10 -> anyMember().forget("m" + random.nextInt(setting.places + 1));
      default -> forgetLost();
    }
  }

  private void calm() {
    lossShare = 0;
    doubledShare = 0;
    maxDelayMs = 3;
    for (boolean[] row : cut) {
      java.util.Arrays.fill(row, false);
    }
    SeededMember member = anyMember();
    if (withProbability(0.3) && (member.index < setting.maxMembers || setting == Setting.GROWING)) {
      member.startIfDown();
    }
    if (withProbability(0.2)) {
      forgetLost();
    }
  }

  private void weather() {
    lossShare = withProbability(0.4) ? 0 : random.nextDouble() * 0.4;
    doubledShare = random.nextDouble() * 0.3;
    maxDelayMs = 1 + random.nextInt(withProbability(0.3) ? 600 : 20);
  }

  private void partition() {
    boolean[] side = new boolean[members.size()];
    for (int index = 0; index < side.length; index++) {
      side[index] = random.nextBoolean();
    }
    split(side, true);
    plan(now + random.nextInt(12_000) * MS, () -> split(side, false));
  }

  private void split(boolean[] side, boolean apart) {
    for (int from = 0; from < side.length; from++) {
      for (int to = 0; to < side.length; to++) {
        if (side[from] != side[to]) {
          cut[from][to] = apart;
        }
      }
    }
  }

  private void cutLink() {
    int from = random.nextInt(members.size());
    int to = random.nextInt(members.size());
    cut[from][to] = true;
    plan(now + random.nextInt(10_000) * MS, () -> cut[from][to] = false);
  }

  private void replay() {
    for (int copy = 0; copy < 20 && !seen.isEmpty(); copy++) {
      GossipMessage old = anySeen();
      SeededMember target = anyMember();
      plan(now + random.nextInt(1000) * MS, () -> target.deliver(old));
    }
  }

  /** Lets an operator report a random lost member as not coming back. */
  private void forgetLost() {
    SeededMember member = anyMember();
    List<String> lost = member.lost();
    if (!lost.isEmpty()) {
      member.forget(lost.get(random.nextInt(lost.size())));
    }
  }
}
