package org.amberpath.membership;

import static org.amberpath.membership.ProtocolHarness.PERIOD_NANOS;
import static org.amberpath.membership.ProtocolHarness.update;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.amberpath.membership.GossipMessage.Kind;
import org.junit.jupiter.api.Test;

/** Tests a member's share of fleet-wide limits, and the divisor of the limits. */
class QuotaAdmissionTest {
  private final ProtocolHarness harness = new ProtocolHarness();
  private final SwimProtocol protocol = harness.protocol;

  @Test
  void isolatedMemberHasTheShareOfTheConfiguredMaximum() {
    harness.advance(12 * PERIOD_NANOS);
    assertEquals(SwimProtocol.Phase.ALONE, protocol.phase());
    assertEquals(0.5, protocol.quotaShare());
  }

  @Test
  void divisorFallsAfterALeaveOrAForgetButNotAfterALoss() {
    harness.receiveLastPage("other", update("third", 1, MemberStatus.LOST));
    assertEquals(3, protocol.quotaDivisor());
    assertEquals(0, protocol.quotaShare(), "above the configured maximum, and not admitted yet");
    assertTrue(protocol.forget(harness.nowNanos, "third"));
    assertEquals(3, protocol.quotaDivisor(), "third still has time to refute the leave");
    harness.advance(30 * PERIOD_NANOS);
    assertEquals(2, protocol.quotaDivisor());
    assertFalse(protocol.forget(harness.nowNanos, "third"), "third is no longer lost");
    harness.receive(Kind.PING, "other", 1, update("other", 1, MemberStatus.LEFT));
    assertEquals(2, protocol.quotaDivisor(), "never below the configured maximum");
  }

  @Test
  void falseLeaveDoesNotLowerTheDivisorBeforeItCanBeRefuted() {
    harness.receiveLastPage("other", update("third", 1, MemberStatus.ALIVE));
    assertEquals(3, protocol.quotaDivisor());
    harness.receive(Kind.PING, "liar", 2, update("third", 2, MemberStatus.LEFT));
    harness.advance(10 * PERIOD_NANOS);
    assertEquals(4, protocol.quotaDivisor());
    harness.receive(Kind.PING, "other", 3, update("third", 3, MemberStatus.ALIVE));
    harness.advance(30 * PERIOD_NANOS);
    assertEquals(4, protocol.quotaDivisor(), "third refuted the false leave");
  }
}
