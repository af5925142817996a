package org.amberpath.membership;

import java.util.List;
import java.util.Optional;
import org.amberpath.membership.GossipMessage.Kind;

/**
 * Fills in what each message says of its sender, and gives out sequence numbers and request
 * numbers.
 */
final class MessageSender {
  private final LocalMember local;
  private final MembershipTable table;
  private final SwimProtocol.Output out;
  private long lastSequenceNumber;
  private long lastProbeNumber;

  MessageSender(LocalMember local, MembershipTable table, SwimProtocol.Output out) {
    this.local = local;
    this.table = table;
    this.out = out;
  }

  /** The next sequence number: each datagram of this process has its own. */
  long nextSequenceNumber() {
    return ++lastSequenceNumber;
  }

  /** The number of the next request, by which its answer is recognised. */
  long nextProbeNumber() {
    return ++lastProbeNumber;
  }

  /** Sends a message that carries nothing but updates. */
  void send(MemberUpdate to, Kind kind, long requestNumber, List<MemberUpdate> updates) {
    send(to, kind, requestNumber, Optional.empty(), new MemberPage(updates, false));
  }

  /** Asks a member to probe another on this process's behalf. */
  void sendIndirectProbe(MemberUpdate to, long requestNumber, String target) {
    send(to, Kind.ASK, requestNumber, Optional.of(target), new MemberPage(List.of(), false));
  }

  /** Sends the page of the list of members that begins after a name, in a request or an answer. */
  void sendPage(MemberUpdate to, Kind kind, long requestNumber, Optional<String> after) {
    send(to, kind, requestNumber, after, table.page(after));
  }

  private void send(
      MemberUpdate to, Kind kind, long requestNumber, Optional<String> about, MemberPage page) {
    out.send(
        to.address(),
        new GossipMessage(
            kind,
            local.update(),
            to.instanceId(),
            nextSequenceNumber(),
            requestNumber,
            table.namesDigest(),
            table.presentDigest(),
            about.orElse(null),
            page.hasMore(),
            local.isFullySynced(),
            page.updates()));
  }
}
