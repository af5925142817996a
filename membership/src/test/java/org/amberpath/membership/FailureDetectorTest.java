package org.amberpath.membership;

import static org.amberpath.membership.ProtocolHarness.MS;
import static org.amberpath.membership.ProtocolHarness.PERIOD;
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
  private void answerAsThird(ProtocolHarness.Sent sent) {
    if (sent.to().equals("at-third")) {
      Kind answer = sent.message().kind() == Kind.ASK ? Kind.NACK : Kind.ACK;
      harness.receive(answer, "third", sent.message().probeNumber());
    }
  }

  @Test
  void silentMemberIsSuspectedByDirectAndIndirectProbesAndThenLost() {
    harness.receiveLastPage("other");
    harness.receiveLastPage("third");
    for (int tick = 0; tick < 200; tick++) {
      harness.now += 50 * MS;
      harness.sent.clear();
      protocol.tick(harness.now);
      List.copyOf(harness.sent).forEach(this::answerAsThird);
    }
    assertEquals(
        List.of("other ALIVE", "third ALIVE", "other SUSPECTED", "other LOST"),
        harness.statusChanges);
    assertEquals(SwimProtocol.Phase.SETTLED, protocol.phase());
    assertEquals(3, protocol.countedMembers(), "a loss lowers nobody's divisor");
  }

  @Test
  void memberThatStoodStillSuspectsNobodyAndSettlesAnew() {
    harness.receiveLastPage("other");
    harness.advance(2 * PERIOD);
    harness.statusChanges.clear();
    harness.now += 20 * PERIOD;
    protocol.tick(harness.now);
    assertTrue(harness.statusChanges.isEmpty(), harness.statusChanges.toString());
    assertEquals(SwimProtocol.Phase.SETTLING, protocol.phase());
  }
}
