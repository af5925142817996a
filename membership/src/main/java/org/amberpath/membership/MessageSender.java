package org.amberpath.membership;

import java.util.List;
import java.util.Optional;
import org.amberpath.membership.GossipMessage.Kind;

/**
 * Builds and sends messages: adds the local member's update, digests and sync state to each, and
 * allocates sequence numbers and probe numbers.
 */
final class MessageSender {
  private final LocalMember local;
  private final MembershipTable table;
  private final SwimProtocol.Output output;
  private long lastSequenceNumber;
  private long lastProbeNumber;

  MessageSender(LocalMember local, MembershipTable table, SwimProtocol.Output output) {
    this.local = local;
    this.table = table;
    this.output = output;
  }

  /** Allocates the sequence number of the next datagram of this process. */
  long nextSequenceNumber() {
    return ++lastSequenceNumber;
  }

  /** Allocates the probe number of the next request, which its answer repeats. */
  long nextProbeNumber() {
    return ++lastProbeNumber;
  }

  /** Sends a message that carries only updates. */
  void send(MemberUpdate receiver, Kind kind, long requestNumber, List<MemberUpdate> updates) {
    send(receiver, kind, requestNumber, Optional.empty(), new MemberPage(updates, false));
  }

  /** Asks a member to probe the target on behalf of this process. */
  void sendIndirectProbe(MemberUpdate receiver, long requestNumber, String target) {
    send(receiver, Kind.ASK, requestNumber, Optional.of(target), new MemberPage(List.of(), false));
  }

  /**
   * Sends the page of the member list that begins after a name, in a {@link Kind#SYNC} request or a
   * {@link Kind#PAGE} answer.
   */
  void sendPage(MemberUpdate receiver, Kind kind, long requestNumber, Optional<String> after) {
    send(receiver, kind, requestNumber, after, table.page(after));
  }

  private void send(
      MemberUpdate receiver,
      Kind kind,
      long requestNumber,
      Optional<String> subject,
      MemberPage page) {
    output.send(
        receiver.address(),
        new GossipMessage(
            kind,
            local.update(),
            receiver.instanceId(),
            nextSequenceNumber(),
            requestNumber,
            table.countedDigest(),
            table.presentDigest(),
            subject.orElse(null),
            page.hasMore(),
            local.isFullySynced(),
            page.updates()));
  }
}
