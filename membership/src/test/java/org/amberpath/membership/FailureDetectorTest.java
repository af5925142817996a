package org.amberpath.membership;

import static org.amberpath.membership.ProtocolHarness.MS_NANOS;
import static org.amberpath.membership.ProtocolHarness.PERIOD_NANOS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.amberpath.membership.GossipMessage.Kind;
import org.junit.jupiter.api.Test;

/** Tests probes, suspicion and loss. */
class FailureDetectorTest {
  private final ProtocolHarness harness = new ProtocolHarness();
  private final SwimProtocol protocol = harness.protocol;

  /** Makes the member "third" answer each probe, and report that "other" does not answer. */
  private void answerAsMemberThird(ProtocolHarness.SentMessage sent) {
    if (sent.address().equals("at-third")) {
      Kind answer = sent.message().kind() == Kind.ASK ? Kind.NACK : Kind.ACK;
      harness.receive(answer, "third", sent.message().probeNumber());
    }
  }

  @Test
  void unresponsiveMemberIsSuspectedAfterDirectAndIndirectProbesAndThenLost() {
    harness.receiveLastPage("other");
    harness.receiveLastPage("third");
    for (int tick = 0; tick < 200; tick++) {
      harness.nowNanos += 50 * MS_NANOS;
      harness.sent.clear();
      protocol.tick(harness.nowNanos);
      List.copyOf(harness.sent).forEach(this::answerAsMemberThird);
    }
    assertEquals(
        List.of("other ALIVE", "third ALIVE", "other SUSPECTED", "other LOST"),
        harness.statusChanges);
    assertEquals(SwimProtocol.Phase.SETTLED, protocol.phase());
    assertEquals(3, protocol.quotaDivisor(), "a loss does not lower the divisor");
  }

  @Test
  void pausedMemberSuspectsNobodyAndReturnsToSettling() {
    harness.receiveLastPage("other");
    harness.advance(2 * PERIOD_NANOS);
    harness.statusChanges.clear();
    harness.nowNanos += 20 * PERIOD_NANOS;
    protocol.tick(harness.nowNanos);
    assertTrue(harness.statusChanges.isEmpty(), harness.statusChanges.toString());
    assertEquals(SwimProtocol.Phase.SETTLING, protocol.phase());
  }
}
