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
final class SeededStranger {
  private static final long MS = SeededFleet.MS;
  private static final int MADE_UP_NAMES = 2600;
  private static final int FLOOD = 250;
  private static final int GREAT_FLOOD = 2500;
  private static final long FAR_AHEAD = 2L * 86_400;

  private final SeededFleet fleet;
  private final SplittableRandom random;
  private long serial = 1_000_000;
  private int madeUp;

  SeededStranger(SeededFleet fleet) {
    this.fleet = fleet;
    random = fleet.random;
  }

  /** Sends one kind of hostile messages now, and schedules the next. */
  void act() {
    fleet.plan(fleet.now() + random.nextInt(1500) * MS, this::act);
    SeededMember target = fleet.anyMember();
    if (!target.runs()) {
      return;
    }
    boolean flooded = fleet.setting == SeededFleet.Setting.FLOODED;
    if (flooded && fleet.withProbability(0.5)) {
      madeUpNames(fleet.members.get(1));
    } else if (flooded && fleet.withProbability(0.3)) {
      flood(target);
    } else if (fleet.withProbability(0.02)) {
      impostors(target);
    } else if (fleet.stormy()) {
      int messages = 1 + random.nextInt(6);
      for (int message = 0; message < messages; message++) {
        deliver(target, falsified(target, fleet.withProbability(0.5) ? member() : stranger()), 0);
      }
    }
  }

  private void deliver(SeededMember target, GossipMessage message, int delayMs) {
    fleet.plan(fleet.now() + delayMs * MS, () -> target.deliver(message));
  }

  /**
   * Sends updates about invented names, as many per message as fit; in all more names than a member
   * table holds.
   */
  private void madeUpNames(SeededMember target) {
    for (int message = 0; message < 40 && madeUp < MADE_UP_NAMES; message++) {
      List<MemberUpdate> updates = new ArrayList<>();
      for (int update = 0; update < fleet.timings.maxUpdatesPerMessage(); update++) {
        String name = "x" + madeUp++;
        MemberStatus status = fleet.withProbability(0.3) ? MemberStatus.ALIVE : MemberStatus.LEFT;
        updates.add(new MemberUpdate(name, "b" + madeUp, 1, madeUp, status, name));
      }
      deliver(target, message(target, Kind.PING, stranger(), null, updates), message);
    }
  }

  /**
   * Sends more requests than one member answers, from up to 40 sender names, within a quarter of a
   * probe interval.
   */
  private void flood(SeededMember target) {
    int spreadMs = (int) (fleet.timings.probeIntervalNanos() / MS / 4);
    int askers = 1 + random.nextInt(40);
    Kind[] kinds = {Kind.PING, Kind.ASK, Kind.ASK, Kind.ASK, Kind.SYNC};
    Kind kind = kinds[random.nextInt(kinds.length)];
    int messages = fleet.withProbability(0.1) ? GREAT_FLOOD : FLOOD;
    for (int message = 0; message < messages; message++) {
      String name = "s" + message % askers;
      MemberUpdate from = new MemberUpdate(name, "c", 1, name.hashCode(), MemberStatus.ALIVE, name);
      String about = kind == Kind.ASK ? "s0" : null; // No process runs at the address of s0.
      deliver(target, message(target, kind, from, about, List.of()), random.nextInt(spreadMs + 1));
    }
  }

  /**
   * Simulates more processes with the target's name than the target reports as name conflicts, by
   * their own messages and by updates about them.
   */
  private void impostors(SeededMember target) {
    for (int other = 0; other < 40; other++) {
      MemberUpdate impostor =
          new MemberUpdate(
              target.name,
              "d" + other,
              incarnationNear(target),
              other,
              MemberStatus.ALIVE,
              target.name);
      boolean direct = fleet.withProbability(0.5);
      MemberUpdate from = direct ? impostor : stranger();
      deliver(target, message(target, Kind.PING, from, null, List.of(impostor)), other);
    }
  }

  private MemberUpdate stranger() {
    String name = "s" + random.nextInt(5);
    return new MemberUpdate(
        name, "c" + name, 1 + random.nextInt(3), name.hashCode(), MemberStatus.ALIVE, name);
  }

  /** Forges the update of a member about itself, or of an earlier process of that member. */
  private MemberUpdate member() {
    SeededMember member = fleet.anyMember();
    long incarnation = incarnationNear(member);
    long instanceId = fleet.withProbability(0.5) ? member.instanceId() : random.nextInt(20);
    return new MemberUpdate(
        member.name, member.address, incarnation, instanceId, MemberStatus.ALIVE, member.name);
  }

  private long incarnationNear(SeededMember member) {
    MemberUpdate self = member.self();
    return self == null
        ? fleet.now() / SeededFleet.SECOND
        : Math.max(0, self.incarnation() - 2 + random.nextInt(5));
  }

  private MemberUpdate update(SeededMember about) {
    long incarnation =
        fleet.withProbability(0.05)
            ? fleet.now() / SeededFleet.SECOND + FAR_AHEAD - 3 + random.nextInt(7)
            : incarnationNear(about);
    long instanceId = fleet.withProbability(0.7) ? about.instanceId() : random.nextInt(20);
    MemberStatus[] all = MemberStatus.values();
    MemberStatus status = all[random.nextInt(all.length)];
    String by = fleet.withProbability(0.5) ? fleet.anyMember().name : "s" + random.nextInt(5);
    return new MemberUpdate(about.name, about.address, incarnation, instanceId, status, by);
  }

  private GossipMessage falsified(SeededMember target, MemberUpdate from) {
    Kind[] kinds = Kind.values();
    Kind kind = kinds[random.nextInt(kinds.length)];
    List<MemberUpdate> updates = new ArrayList<>();
    int count = random.nextInt(4);
    for (int update = 0; update < count; update++) {
      updates.add(update(fleet.withProbability(0.3) ? target : fleet.anyMember()));
    }
    String about = kind == Kind.ASK || fleet.withProbability(0.2) ? fleet.anyMember().name : null;
    return message(target, kind, from, about, updates);
  }

  private GossipMessage message(
      SeededMember target, Kind kind, MemberUpdate from, String about, List<MemberUpdate> updates) {
    GossipMessage seen = fleet.anySeen();
    boolean more = kind == Kind.PAGE && !updates.isEmpty() && fleet.withProbability(0.5);
    return new GossipMessage(
        kind,
        from,
        fleet.withProbability(0.95) ? target.instanceId() : 0,
        ++serial,
        seen == null || fleet.withProbability(0.2) ? random.nextInt(50) : seen.probeNumber(),
        seen == null ? 0 : seen.countedDigest(),
        seen == null ? 0 : seen.presentDigest(),
        about,
        more,
        fleet.withProbability(0.7),
        updates);
  }
}
