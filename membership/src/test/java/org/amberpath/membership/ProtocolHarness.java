package org.amberpath.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amberpath.membership.GossipMessage.Kind;

/**
 * Drives the protocol of one member, named "me", with messages and times that a test sets. The
 * address of each other member is "at-" followed by its name.
 */
final class ProtocolHarness implements SwimProtocol.Output {
  static final long MS_NANOS = 1_000_000;
  static final long PERIOD_NANOS = 500 * MS_NANOS;
  static final String SEED_ADDRESS = "at-seed";
  private static final long TICK_NANOS = 100 * MS_NANOS;

  /** A message that the protocol has sent, with its destination address. */
  record SentMessage(String address, GossipMessage message) {}

  final List<SentMessage> sent = new ArrayList<>();
  final List<String> statusChanges = new ArrayList<>();
  final List<String> nameConflicts = new ArrayList<>();
  final SwimProtocol protocol;
  long nowNanos;

  /**
   * Creates a member with incarnation 5 in a fleet of at most two members; the seeds are its own
   * address and {@link #SEED_ADDRESS}.
   */
  ProtocolHarness() {
    this(SwimTimings.defaults(2), update("me", 5, MemberStatus.ALIVE), 0);
  }

  ProtocolHarness(SwimTimings timings, MemberUpdate self, long nowNanos) {
    this.nowNanos = nowNanos;
    protocol = new SwimProtocol(timings, self, List.of("at-me", SEED_ADDRESS), 7, nowNanos, this);
  }

  /** Creates the update of a member about itself. */
  static MemberUpdate update(String name, long incarnation, MemberStatus status) {
    return new MemberUpdate(name, "at-" + name, incarnation, name.hashCode(), status, name);
  }

  /** Creates the update of a process about itself, with the status alive. */
  static MemberUpdate process(String name, String address, long incarnation, long instanceId) {
    return new MemberUpdate(name, address, incarnation, instanceId, MemberStatus.ALIVE, name);
  }

  /**
   * Creates a message of a fully synced member.
   *
   * @param probeNumber the probe number and also the sequence number
   */
  static GossipMessage message(
      Kind kind, MemberUpdate sender, long probeNumber, List<MemberUpdate> updates) {
    return new GossipMessage(
        kind, sender, 0, probeNumber, probeNumber, 0, 0, null, false, true, updates);
  }

  /** Creates a page after which the sender's list continues. */
  static GossipMessage pageWithMore(String sender, long probeNumber, MemberUpdate... updates) {
    MemberUpdate senderUpdate = update(sender, 1, MemberStatus.ALIVE);
    return new GossipMessage(
        Kind.PAGE, senderUpdate, 0, 1, probeNumber, 0, 0, null, true, true, List.of(updates));
  }

  void receive(GossipMessage message) {
    protocol.messageReceived(nowNanos, message);
  }

  /** Receives a message of a fully synced member. */
  void receive(Kind kind, String sender, long probeNumber, MemberUpdate... updates) {
    receive(message(kind, update(sender, 1, MemberStatus.ALIVE), probeNumber, List.of(updates)));
  }

  /** Receives a message of a member that has not received a complete list itself. */
  void receiveUnsynced(Kind kind, String sender, long probeNumber) {
    MemberUpdate senderUpdate = update(sender, 1, MemberStatus.ALIVE);
    receive(
        new GossipMessage(
            kind, senderUpdate, 0, probeNumber, probeNumber, 0, 0, null, false, false, List.of()));
  }

  /** Receives the last page of a list, in answer to the latest request. */
  void receiveLastPage(String sender, MemberUpdate... updates) {
    receive(Kind.PAGE, sender, lastRequestNumber(), updates);
  }

  /**
   * Receives the last page of a list from a member that has not received a complete list itself.
   */
  void receiveLastPageUnsynced(String sender) {
    receiveUnsynced(Kind.PAGE, sender, lastRequestNumber());
  }

  private long lastRequestNumber() {
    if (find(Kind.SYNC).isEmpty()) {
      protocol.tick(nowNanos);
    }
    return lastSent(Kind.SYNC).probeNumber();
  }

  /** Advances the time, with a tick every 100 ms. */
  void advance(long nanos) {
    for (long untilNanos = nowNanos + nanos; nowNanos < untilNanos; ) {
      nowNanos += TICK_NANOS;
      protocol.tick(nowNanos);
    }
  }

  GossipMessage lastSent(Kind kind) {
    return find(kind).orElseThrow();
  }

  private Optional<GossipMessage> find(Kind kind) {
    return sent.stream()
        .map(SentMessage::message)
        .filter(message -> message.kind() == kind)
        .reduce((first, second) -> second);
  }

  @Override
  public void send(String address, GossipMessage message) {
    sent.add(new SentMessage(address, message));
  }

  @Override
  public void memberStatusChanged(String name, MemberStatus status) {
    statusChanges.add(name + " " + status);
  }

  @Override
  public void phaseChanged(SwimProtocol.Phase from, SwimProtocol.Phase to) {}

  @Override
  public void nameConflictDetected(String address) {
    nameConflicts.add(address);
  }
}
