package org.amberpath.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.amberpath.membership.GossipMessage.Kind;

/**
 * A hostile sender that has the key of a {@link SeededFleet}. It sends messages that no correct
 * member sends: false updates, unrequested answers, floods, invented names, and incarnations far in
 * the future.
 */
final class SeededHostileSender {
  private static final long MS_NANOS = SeededFleet.MS_NANOS;
  private static final int MAX_INVENTED_NAMES = 2600;
  private static final int FLOOD_MESSAGES = 250;
  private static final int LARGE_FLOOD_MESSAGES = 2500;

  /** {@link UpdateMerger}'s limit of an incarnation's lead; some updates are within 3 s of it. */
  private static final long MAX_SECONDS_AHEAD = 2L * 86_400;

  private final SeededFleet fleet;
  private final SplittableRandom random;
  private long lastSequenceNumber = 1_000_000;
  private int inventedNames;

  SeededHostileSender(SeededFleet fleet) {
    this.fleet = fleet;
    random = fleet.random;
  }

  /** Schedules the next call, and sends one kind of hostile messages if the drawn member runs. */
  void sendAndReschedule() {
    fleet.scheduleAt(fleet.nowNanos() + random.nextInt(1500) * MS_NANOS, this::sendAndReschedule);
    SeededMember target = fleet.randomMember();
    if (!target.isRunning()) {
      return;
    }
    boolean floods = fleet.scenario == SeededFleet.Scenario.FLOODED;
    if (floods && fleet.withProbability(0.5)) {
      sendInventedNames(fleet.members.get(1));
    } else if (floods && fleet.withProbability(0.3)) {
      sendFlood(target);
    } else if (fleet.withProbability(0.02)) {
      simulateNameConflicts(target);
    } else if (fleet.isFaultPhase()) {
      int messages = 1 + random.nextInt(6);
      for (int message = 0; message < messages; message++) {
        deliver(
            target,
            falseMessage(target, fleet.withProbability(0.5) ? forgedSender() : unknownSender()),
            0);
      }
    }
  }

  private void deliver(SeededMember target, GossipMessage message, int delayMs) {
    fleet.scheduleAt(fleet.nowNanos() + delayMs * MS_NANOS, () -> target.deliver(message));
  }

  /**
   * Sends up to 40 messages of updates about invented names. In total, more names are invented than
   * a member table holds.
   */
  private void sendInventedNames(SeededMember target) {
    for (int message = 0; message < 40 && inventedNames < MAX_INVENTED_NAMES; message++) {
      List<MemberUpdate> updates = new ArrayList<>();
      for (int update = 0; update < fleet.timings.maxUpdatesPerMessage(); update++) {
        String name = "x" + inventedNames++;
        MemberStatus status = fleet.withProbability(0.3) ? MemberStatus.ALIVE : MemberStatus.LEFT;
        updates.add(new MemberUpdate(name, "b" + inventedNames, 1, inventedNames, status, name));
      }
      deliver(target, message(target, Kind.PING, unknownSender(), null, updates), message);
    }
  }

  /**
   * Sends more requests than one member answers, from up to 40 sender names, within a quarter of a
   * probe interval.
   */
  private void sendFlood(SeededMember target) {
    int spreadMs = (int) (fleet.timings.probeIntervalNanos() / MS_NANOS / 4);
    int senders = 1 + random.nextInt(40);
    Kind[] kinds = {Kind.PING, Kind.ASK, Kind.ASK, Kind.ASK, Kind.SYNC};
    Kind kind = kinds[random.nextInt(kinds.length)];
    int messages = fleet.withProbability(0.1) ? LARGE_FLOOD_MESSAGES : FLOOD_MESSAGES;
    for (int message = 0; message < messages; message++) {
      String name = "s" + message % senders;
      MemberUpdate sender =
          new MemberUpdate(name, "c", 1, name.hashCode(), MemberStatus.ALIVE, name);
      String subject = kind == Kind.ASK ? "s0" : null; // No process runs at the address of s0.
      deliver(
          target, message(target, kind, sender, subject, List.of()), random.nextInt(spreadMs + 1));
    }
  }

  /**
   * Simulates more processes with the target's name than the target reports as name conflicts, by
   * their own messages and by updates about them.
   */
  private void simulateNameConflicts(SeededMember target) {
    for (int number = 0; number < 40; number++) {
      MemberUpdate namesake =
          new MemberUpdate(
              target.name,
              "d" + number,
              incarnationNear(target),
              number,
              MemberStatus.ALIVE,
              target.name);
      boolean sentByNamesake = fleet.withProbability(0.5);
      MemberUpdate sender = sentByNamesake ? namesake : unknownSender();
      deliver(target, message(target, Kind.PING, sender, null, List.of(namesake)), number);
    }
  }

  private MemberUpdate unknownSender() {
    String name = "s" + random.nextInt(5);
    return new MemberUpdate(
        name, "c" + name, 1 + random.nextInt(3), name.hashCode(), MemberStatus.ALIVE, name);
  }

  /** Forges the update of a member about itself, or of an earlier process of that member. */
  private MemberUpdate forgedSender() {
    SeededMember member = fleet.randomMember();
    long incarnation = incarnationNear(member);
    long instanceId = fleet.withProbability(0.5) ? member.instanceId() : random.nextInt(20);
    return new MemberUpdate(
        member.name, member.address, incarnation, instanceId, MemberStatus.ALIVE, member.name);
  }

  private long incarnationNear(SeededMember member) {
    MemberUpdate self = member.self();
    return self == null
        ? fleet.nowNanos() / SeededFleet.SECOND_NANOS
        : Math.max(0, self.incarnation() - 2 + random.nextInt(5));
  }

  private MemberUpdate falseUpdate(SeededMember subject) {
    long incarnation =
        fleet.withProbability(0.05)
            ? fleet.nowNanos() / SeededFleet.SECOND_NANOS
                + MAX_SECONDS_AHEAD
                - 3
                + random.nextInt(7)
            : incarnationNear(subject);
    long instanceId = fleet.withProbability(0.7) ? subject.instanceId() : random.nextInt(20);
    MemberStatus[] statuses = MemberStatus.values();
    MemberStatus status = statuses[random.nextInt(statuses.length)];
    String reporter =
        fleet.withProbability(0.5) ? fleet.randomMember().name : "s" + random.nextInt(5);
    return new MemberUpdate(
        subject.name, subject.address, incarnation, instanceId, status, reporter);
  }

  private GossipMessage falseMessage(SeededMember target, MemberUpdate sender) {
    Kind[] kinds = Kind.values();
    Kind kind = kinds[random.nextInt(kinds.length)];
    List<MemberUpdate> updates = new ArrayList<>();
    int count = random.nextInt(4);
    for (int update = 0; update < count; update++) {
      updates.add(falseUpdate(fleet.withProbability(0.3) ? target : fleet.randomMember()));
    }
    String subject =
        kind == Kind.ASK || fleet.withProbability(0.2) ? fleet.randomMember().name : null;
    return message(target, kind, sender, subject, updates);
  }

  private GossipMessage message(
      SeededMember target,
      Kind kind,
      MemberUpdate sender,
      String subject,
      List<MemberUpdate> updates) {
    GossipMessage earlier = fleet.randomSentMessage();
    boolean hasMore = kind == Kind.PAGE && !updates.isEmpty() && fleet.withProbability(0.5);
    return new GossipMessage(
        kind,
        sender,
        fleet.withProbability(0.95) ? target.instanceId() : 0,
        ++lastSequenceNumber,
        earlier == null || fleet.withProbability(0.2) ? random.nextInt(50) : earlier.probeNumber(),
        earlier == null ? 0 : earlier.countedDigest(),
        earlier == null ? 0 : earlier.presentDigest(),
        subject,
        hasMore,
        fleet.withProbability(0.7),
        updates);
  }
}
