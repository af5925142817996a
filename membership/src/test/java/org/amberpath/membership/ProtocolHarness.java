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
  static final long MS = 1_000_000;
  static final long PERIOD = 500 * MS;
  static final String SEED_ADDRESS = "at-seed";
  private static final long TICK = 100 * MS;

  /** A message that the protocol has sent, with its destination address. */
  record Sent(String to, GossipMessage message) {}

  final List<Sent> sent = new ArrayList<>();
  final List<String> statusChanges = new ArrayList<>();
  final List<String> conflicts = new ArrayList<>();
  final SwimProtocol protocol;
  long now;

  /**
   * Creates a member with incarnation 5 in a fleet of at most two members; the seeds are its own
   * address and {@link #SEED_ADDRESS}.
   */
  ProtocolHarness() {
    this(SwimTimings.defaults(2), update("me", 5, MemberStatus.ALIVE), 0);
  }

  ProtocolHarness(SwimTimings timings, MemberUpdate self, long now) {
    this.now = now;
    protocol = new SwimProtocol(timings, self, List.of("at-me", SEED_ADDRESS), 7, now, this);
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
   * @param number the probe number and also the sequence number
   */
  static GossipMessage message(
      Kind kind, MemberUpdate sender, long number, List<MemberUpdate> updates) {
    return new GossipMessage(kind, sender, 0, number, number, 0, 0, null, false, true, updates);
  }

  /** Creates a page after which the sender's list continues. */
  static GossipMessage pageWithMore(String sender, long number, MemberUpdate... updates) {
    MemberUpdate from = update(sender, 1, MemberStatus.ALIVE);
    return new GossipMessage(
        Kind.PAGE, from, 0, 1, number, 0, 0, null, true, true, List.of(updates));
  }

  void receive(GossipMessage message) {
    protocol.messageReceived(now, message);
  }

  /** Receives a message of a fully synced member. */
  void receive(Kind kind, String sender, long number, MemberUpdate... updates) {
    receive(message(kind, update(sender, 1, MemberStatus.ALIVE), number, List.of(updates)));
  }

  /** Receives a message of a member that has not received a complete list itself. */
  void receiveUnsynced(Kind kind, String sender, long number) {
    MemberUpdate from = update(sender, 1, MemberStatus.ALIVE);
    receive(new GossipMessage(kind, from, 0, number, number, 0, 0, null, false, false, List.of()));
  }

  /** Receives the last page of a list, in answer to the latest request. */
  void receiveLastPage(String sender, MemberUpdate... updates) {
    receive(Kind.PAGE, sender, requestedNumber(), updates);
  }

  /**
   * Receives the last page of a list from a member that has not received a complete list itself.
   */
  void receiveLastPageUnsynced(String sender) {
    receiveUnsynced(Kind.PAGE, sender, requestedNumber());
  }

  private long requestedNumber() {
    if (find(Kind.SYNC).isEmpty()) {
      protocol.tick(now);
    }
    return lastSent(Kind.SYNC).probeNumber();
  }

  /** Advances the time, with a tick every 100 ms. */
  void advance(long nanos) {
    for (long until = now + nanos; now < until; ) {
      now += TICK;
      protocol.tick(now);
    }
  }

  GossipMessage lastSent(Kind kind) {
    return find(kind).orElseThrow();
  }

  private Optional<GossipMessage> find(Kind kind) {
    return sent.stream()
        .map(Sent::message)
        .filter(message -> message.kind() == kind)
        .reduce((first, second) -> second);
  }

  @Override
  public void send(String address, GossipMessage message) {
    sent.add(new Sent(address, message));
  }

  @Override
  public void memberStatusChanged(String name, MemberStatus status) {
    statusChanges.add(name + " " + status);
  }

  @Override
  public void phaseChanged(SwimProtocol.Phase from, SwimProtocol.Phase to) {}

  @Override
  public void nameConflictDetected(String address) {
    conflicts.add(address);
  }
}
