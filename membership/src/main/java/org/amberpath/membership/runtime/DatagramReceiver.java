package org.amberpath.membership.runtime;

import java.util.Optional;
import org.amberpath.membership.GossipMessage;
import org.amberpath.membership.MemberUpdate;
import org.amberpath.membership.ReplayFilter;
import org.amberpath.membership.SwimProtocol;

/**
 * Processes received datagrams: decodes and verifies them, applies the {@link ReplayFilter}, and
 * passes accepted messages to the protocol or the {@link FleetMessageHandler}. Each datagram is
 * counted once in {@link DatagramCounters}.
 */
final class DatagramReceiver {
  private final DatagramCodec codec;
  private final DatagramCounters counters;
  private final ReplayFilter replayFilter;
  private final SwimProtocol protocol;
  private final Optional<FleetMessageHandler> handler;

  DatagramReceiver(
      DatagramCodec codec,
      DatagramCounters counters,
      ReplayFilter replayFilter,
      SwimProtocol protocol,
      Optional<FleetMessageHandler> handler) {
    this.codec = codec;
    this.counters = counters;
    this.replayFilter = replayFilter;
    this.protocol = protocol;
    this.handler = handler;
  }

  /** Processes one datagram; no content of a datagram makes this method throw. */
  void receive(byte[] datagram, HmacKeyring keyring, long nowNanos) {
    if (!replayFilter.tryExamine(nowNanos)) {
      counters.count(DatagramCounters.Result.TOO_MANY);
      return;
    }
    DecodedDatagram decoded = codec.decode(datagram, keyring);
    if (decoded instanceof DecodedDatagram.Rejected rejected) {
      counters.count(rejected.reason());
    } else if (decoded instanceof DecodedDatagram.Gossip gossip) {
      receive(gossip.message(), nowNanos);
    } else if (decoded instanceof DecodedDatagram.User user) {
      receive(user.message(), nowNanos);
    }
  }

  private void receive(GossipMessage message, long nowNanos) {
    ReplayFilter.Verdict verdict = replayFilter.check(nowNanos, message);
    counters.count(verdict);
    if (verdict == ReplayFilter.Verdict.WRONG_RECIPIENT) {
      protocol.greet(nowNanos, message.sender());
    } else if (verdict == ReplayFilter.Verdict.ACCEPTED) {
      protocol.messageReceived(nowNanos, message);
    }
  }

  private void receive(UserMessage message, long nowNanos) {
    MemberUpdate sender = message.sender();
    ReplayFilter.Verdict verdict =
        replayFilter.check(
            nowNanos, sender.instanceId(), message.recipientInstanceId(), message.sequenceNumber());
    counters.count(verdict);
    if (verdict == ReplayFilter.Verdict.WRONG_RECIPIENT) {
      protocol.greet(nowNanos, sender);
    } else if (verdict == ReplayFilter.Verdict.ACCEPTED) {
      handler.ifPresent(
          messageHandler ->
              messageHandler.messageReceived(nowNanos, sender.name(), message.body()));
    }
  }
}
