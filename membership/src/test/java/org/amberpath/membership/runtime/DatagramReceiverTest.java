package org.amberpath.membership.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amberpath.membership.GossipMessage;
import org.amberpath.membership.GossipMessage.Kind;
import org.amberpath.membership.MemberStatus;
import org.amberpath.membership.MemberUpdate;
import org.amberpath.membership.ReplayFilter;
import org.amberpath.membership.SwimProtocol;
import org.amberpath.membership.SwimTimings;
import org.amberpath.membership.runtime.DatagramCounters.Result;
import org.junit.jupiter.api.Test;

/** Tests that each received datagram is counted once by its result, and answered accordingly. */
class DatagramReceiverTest implements SwimProtocol.Output {
  private static final long OWN_INSTANCE_ID = 7;
  private static final MemberUpdate SELF =
      new MemberUpdate("me", "127.0.0.1:1", 1, OWN_INSTANCE_ID, MemberStatus.ALIVE, "me");
  private static final MemberUpdate OTHER =
      new MemberUpdate("other", "127.0.0.1:2", 1, 8, MemberStatus.ALIVE, "other");

  private final List<Kind> sentKinds = new ArrayList<>();
  private final SwimTimings timings = SwimTimings.defaults(2);
  private final DatagramCodec codec = new DatagramCodec("stores", timings.maxUpdatesPerMessage());
  private final HmacKeyring keyring = HmacKeyring.of("k1", new byte[32]);
  private final DatagramCounters counters = new DatagramCounters();
  private final DatagramReceiver receiver =
      new DatagramReceiver(
          codec,
          counters,
          new ReplayFilter(OWN_INSTANCE_ID, timings.probeIntervalNanos(), 0),
          new SwimProtocol(timings, SELF, List.of(), 1, 0, this),
          Optional.empty());

  private byte[] ping(long recipientInstanceId, long sequenceNumber) {
    return codec.encode(
        new GossipMessage(
            Kind.PING,
            OTHER,
            recipientInstanceId,
            sequenceNumber,
            1,
            0,
            0,
            null,
            false,
            true,
            List.of()),
        keyring);
  }

  private void assertCounted(Result result, long count) {
    assertEquals(count, counters.counts().get(result), counters.counts().toString());
  }

  @Test
  void newDatagramIsAnsweredAndItsReplayIsNot() {
    byte[] datagram = ping(OWN_INSTANCE_ID, 1);
    receiver.receive(datagram, keyring, 0);
    receiver.receive(datagram, keyring, 0);
    assertCounted(Result.TAKEN, 1);
    assertCounted(Result.REPEATED, 1);
    assertEquals(List.of(Kind.ACK), sentKinds);
  }

  @Test
  void datagramForAnotherProcessIsGreeted() {
    receiver.receive(ping(0, 1), keyring, 0);
    assertCounted(Result.GREETED, 1);
    assertEquals(List.of(Kind.NACK), sentKinds);
  }

  @Test
  void rejectedDatagramsAreCountedByReasonAndNotAnswered() {
    receiver.receive(new byte[3], keyring, 0);
    receiver.receive(ping(OWN_INSTANCE_ID, 1), HmacKeyring.of("k2", new byte[32]), 0);
    byte[] forged = ping(OWN_INSTANCE_ID, 1);
    forged[forged.length - 1] ^= 1;
    receiver.receive(forged, keyring, 0);
    assertCounted(Result.UNREADABLE, 1);
    assertCounted(Result.OTHER_KEY, 1);
    assertCounted(Result.FORGED, 1);
    assertEquals(List.of(), sentKinds);
  }

  @Test
  void userMessageWithoutAHandlerIsCountedAndNotAnswered() {
    UserMessage message = new UserMessage(OTHER, OWN_INSTANCE_ID, 1, new byte[1]);
    receiver.receive(codec.encode(message, keyring), keyring, 0);
    assertCounted(Result.TAKEN, 1);
    assertEquals(List.of(), sentKinds);
  }

  @Test
  void datagramsAboveTheExaminedRateAreCountedAsTooMany() {
    for (int datagram = 0; datagram < 2001; datagram++) {
      receiver.receive(new byte[3], keyring, 0);
    }
    assertCounted(Result.UNREADABLE, 2000);
    assertCounted(Result.TOO_MANY, 1);
  }

  @Override
  public void send(String address, GossipMessage message) {
    sentKinds.add(message.kind());
  }

  @Override
  public void memberStatusChanged(String name, MemberStatus status) {}

  @Override
  public void phaseChanged(SwimProtocol.Phase from, SwimProtocol.Phase to) {}

  @Override
  public void nameConflictDetected(String address) {}
}
