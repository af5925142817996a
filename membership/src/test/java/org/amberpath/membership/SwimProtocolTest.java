package org.amberpath.membership;

import static org.amberpath.membership.ProtocolHarness.PERIOD_NANOS;
import static org.amberpath.membership.ProtocolHarness.process;
import static org.amberpath.membership.ProtocolHarness.update;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.amberpath.membership.GossipMessage.Kind;
import org.junit.jupiter.api.Test;

/** Tests greetings, leaving, the removal of members that left, and the bounds on responses. */
class SwimProtocolTest {
  private final ProtocolHarness harness = new ProtocolHarness();
  private final SwimProtocol protocol = harness.protocol;

  @Test
  void leavingMemberHasNoShareAndDoesNotAnswer() {
    harness.receiveLastPage("other");
    protocol.leave(harness.nowNanos);
    assertEquals(0, protocol.quotaShare());
    assertEquals(MemberStatus.LEFT, harness.lastSent(Kind.NACK).sender().status());
    harness.sent.clear();
    harness.receive(Kind.PING, "other", 1);
    assertTrue(harness.sent.isEmpty());
  }

  @Test
  void floodOfProbesIsAnsweredUpToTheLimitsPerMemberAndInTotal() {
    for (int probe = 0; probe < 1000; probe++) {
      harness.receive(Kind.PING, "other", probe);
    }
    assertEquals(8, harness.sent.size(), "the limit per member leaves responses for others");
    for (int probe = 0; probe < 1000; probe++) {
      harness.receive(Kind.PING, "from" + probe, probe);
    }
    assertEquals(40, harness.sent.size());
  }

  @Test
  void senderThatKnowsOnlyAnAddressIsGreetedAndNotAdded() {
    protocol.greet(harness.nowNanos, update("other", 1, MemberStatus.ALIVE));
    assertEquals(
        List.of("at-other"),
        harness.sent.stream().map(ProtocolHarness.SentMessage::address).toList());
    assertEquals(Optional.empty(), protocol.statusOf("other"));
    protocol.greet(harness.nowNanos, process("me", "at-twin", 1, 99));
    assertEquals(1, harness.sent.size(), "a sender with the own name is not greeted");
  }

  @Test
  void memberThatLeftIsRemovedAfterTheRetention() {
    harness.receiveLastPage("other", update("third", 1, MemberStatus.LEFT));
    assertEquals(Optional.of(MemberStatus.LEFT), protocol.statusOf("third"));
    harness.advance(250 * PERIOD_NANOS);
    assertEquals(Optional.empty(), protocol.statusOf("third"));
  }
}
