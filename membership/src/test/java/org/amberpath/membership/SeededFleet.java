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
  enum Scenario {
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

    final int memberSlots;
    final int maxMembers;
    final int seconds;

    Scenario(int memberSlots, int maxMembers, int seconds) {
      this.memberSlots = memberSlots;
      this.maxMembers = maxMembers;
      this.seconds = seconds;
    }
  }

  private record ScheduledEvent(long atNanos, long number, Runnable action) {}

  static final long MS_NANOS = 1_000_000;
  static final long SECOND_NANOS = 1000 * MS_NANOS;
  static final long START_NANOS = 1_700_000_000L * SECOND_NANOS;
  private static final int FAULT_PHASE_SECONDS = 50;
  private static final int CALM_PHASE_SECONDS = 40;

  final RecordedActions actions = new RecordedActions();
  final SwimTimings timings;
  final SplittableRandom random;
  final Scenario scenario;
  final List<SeededMember> members = new ArrayList<>();

  private final Map<String, SeededMember> membersByAddress = new TreeMap<>();
  private final PriorityQueue<ScheduledEvent> schedule =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledEvent::atNanos)
              .thenComparingLong(ScheduledEvent::number));
  private final List<GossipMessage> sentMessages = new ArrayList<>();
  private final SeededHostileSender hostileSender;
  private final boolean[][] blockedLinks;
  private long nowNanos = START_NANOS;
  private long lastEventNumber;
  private double lossProbability;
  private double duplicateProbability;
  private int maxDelayMs = 3;

  SeededFleet(Scenario scenario, long seed) {
    this.scenario = scenario;
    random = new SplittableRandom(seed * 31 + scenario.name().hashCode());
    timings =
        scenario == Scenario.GROWING
            ? SwimTimings.withProbeInterval(scenario.maxMembers, 300 * MS_NANOS)
            : SwimTimings.defaults(scenario.maxMembers);
    blockedLinks = new boolean[scenario.memberSlots][scenario.memberSlots];
    for (int index = 0; index < scenario.memberSlots; index++) {
      boolean sharesName = scenario == Scenario.CONTESTED && index >= scenario.maxMembers;
      String name = "m" + (sharesName ? index - scenario.maxMembers : index);
      SeededMember member = new SeededMember(this, index, name, "a" + index);
      members.add(member);
      membersByAddress.put(member.address, member);
    }
    hostileSender = new SeededHostileSender(this);
  }

  /** Runs the simulation to its end, and returns the digest of all actions in hexadecimal. */
  String run() {
    int startedAtFirst =
        scenario == Scenario.GROWING || scenario == Scenario.CONTESTED ? 3 : scenario.memberSlots;
    for (int index = 0; index < startedAtFirst; index++) {
      scheduleAt(START_NANOS + random.nextInt(2000) * MS_NANOS, members.get(index)::start);
    }
    scheduleAt(START_NANOS + 12 * SECOND_NANOS, this::injectFault);
    if (scenario == Scenario.CONTESTED || scenario == Scenario.FLOODED) {
      scheduleAt(START_NANOS + 15 * SECOND_NANOS, hostileSender::sendAndReschedule);
    }
    long endNanos = START_NANOS + scenario.seconds * SECOND_NANOS;
    while (!schedule.isEmpty() && schedule.peek().atNanos <= endNanos) {
      ScheduledEvent next = schedule.poll();
      nowNanos = next.atNanos;
      next.action.run();
    }
    return actions.finish();
  }

  long nowNanos() {
    return nowNanos;
  }

  void scheduleAt(long atNanos, Runnable event) {
    schedule.add(new ScheduledEvent(atNanos, ++lastEventNumber, event));
  }

  boolean withProbability(double probability) {
    return random.nextDouble() < probability;
  }

  SeededMember randomMember() {
    return members.get(random.nextInt(members.size()));
  }

  /** Returns a random message that was sent earlier; null before the first message. */
  GossipMessage randomSentMessage() {
    return sentMessages.isEmpty() ? null : sentMessages.get(random.nextInt(sentMessages.size()));
  }

  /** Whether faults are injected at this time; between such times the fleet can settle. */
  boolean isFaultPhase() {
    return (nowNanos - START_NANOS) / SECOND_NANOS % (FAULT_PHASE_SECONDS + CALM_PHASE_SECONDS)
        < FAULT_PHASE_SECONDS;
  }

  /** Transmits a datagram, which may be lost, delayed, duplicated or reordered. */
  void transmit(SeededMember from, String address, GossipMessage message) {
    if (sentMessages.size() < 200) {
      sentMessages.add(message);
    } else if (withProbability(0.1)) {
      sentMessages.set(random.nextInt(sentMessages.size()), message);
    }
    SeededMember target = membersByAddress.get(address);
    if (target == null
        || blockedLinks[from.index][target.index]
        || withProbability(lossProbability)) {
      actions.count(target == null ? "sent to an unused address" : "lost by the network");
      return;
    }
    int copies = withProbability(duplicateProbability) ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      int delayMs = 1 + random.nextInt(withProbability(0.02) ? 20 * maxDelayMs : maxDelayMs);
      scheduleAt(nowNanos + delayMs * MS_NANOS, () -> target.deliver(message));
    }
  }

  // ---- Faults.

  private void injectFault() {
    scheduleAt(
        nowNanos + random.nextInt(withProbability(0.2) ? 1 : 3000) * MS_NANOS, this::injectFault);
    if (!isFaultPhase()) {
      healFaults();
      return;
    }
    SeededMember member = randomMember();
    switch (random.nextInt(12)) {
      case 0 -> member.crash();
      case 1 -> member.leave();
      case 2, 3, 4 -> member.startIfDown();
      case 5 -> member.pause(random.nextInt(1 + random.nextInt(6000)));
      case 6 -> partition();
      case 7 -> changeNetworkConditions();
      case 8 -> blockLink();
      case 9 -> replayOldMessages();
      case 10 -> randomMember().forget("m" + random.nextInt(scenario.memberSlots + 1));
      default -> forgetRandomLostMember();
    }
  }

  private void healFaults() {
    lossProbability = 0;
    duplicateProbability = 0;
    maxDelayMs = 3;
    for (boolean[] row : blockedLinks) {
      java.util.Arrays.fill(row, false);
    }
    SeededMember member = randomMember();
    if (withProbability(0.3)
        && (member.index < scenario.maxMembers || scenario == Scenario.GROWING)) {
      member.startIfDown();
    }
    if (withProbability(0.2)) {
      forgetRandomLostMember();
    }
  }

  private void changeNetworkConditions() {
    lossProbability = withProbability(0.4) ? 0 : random.nextDouble() * 0.4;
    duplicateProbability = random.nextDouble() * 0.3;
    maxDelayMs = 1 + random.nextInt(withProbability(0.3) ? 600 : 20);
  }

  private void partition() {
    boolean[] side = new boolean[members.size()];
    for (int index = 0; index < side.length; index++) {
      side[index] = random.nextBoolean();
    }
    setLinksBetweenSidesBlocked(side, true);
    scheduleAt(
        nowNanos + random.nextInt(12_000) * MS_NANOS,
        () -> setLinksBetweenSidesBlocked(side, false));
  }

  private void setLinksBetweenSidesBlocked(boolean[] side, boolean blocked) {
    for (int from = 0; from < side.length; from++) {
      for (int to = 0; to < side.length; to++) {
        if (side[from] != side[to]) {
          blockedLinks[from][to] = blocked;
        }
      }
    }
  }

  private void blockLink() {
    int from = random.nextInt(members.size());
    int to = random.nextInt(members.size());
    blockedLinks[from][to] = true;
    scheduleAt(nowNanos + random.nextInt(10_000) * MS_NANOS, () -> blockedLinks[from][to] = false);
  }

  private void replayOldMessages() {
    for (int copy = 0; copy < 20 && !sentMessages.isEmpty(); copy++) {
      GossipMessage old = randomSentMessage();
      SeededMember target = randomMember();
      scheduleAt(nowNanos + random.nextInt(1000) * MS_NANOS, () -> target.deliver(old));
    }
  }

  /** Lets an operator report a random lost member as not coming back. */
  private void forgetRandomLostMember() {
    SeededMember member = randomMember();
    List<String> lost = member.lostMembers();
    if (!lost.isEmpty()) {
      member.forget(lost.get(random.nextInt(lost.size())));
    }
  }
}
