package org.amberpath.membership;

import static org.amberpath.membership.ProtocolHarness.PERIOD_NANOS;
import static org.amberpath.membership.ProtocolHarness.pageWithMore;
import static org.amberpath.membership.ProtocolHarness.update;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.amberpath.membership.GossipMessage.Kind;
import org.junit.jupiter.api.Test;

/** Tests which members a list is requested from, how it continues, and when it is complete. */
class AntiEntropySyncTest {
  private final ProtocolHarness harness = new ProtocolHarness();
  private final SwimProtocol protocol = harness.protocol;

  @Test
  void ownAddressAmongTheSeedsIsNotContacted() {
    harness.advance(3 * PERIOD_NANOS);
    assertTrue(
        harness.sent.stream()
            .allMatch(sent -> sent.address().equals(ProtocolHarness.SEED_ADDRESS)));
    assertEquals(0, protocol.quotaShare());
  }

  @Test
  void unrequestedPageIsIgnored() {
    protocol.tick(harness.nowNanos);
    harness.receive(Kind.PAGE, "other", 99);
    assertEquals(0, protocol.quotaShare());
  }

  @Test
  void listContinuesAfterTheLastReceivedPageWhenARequestIsLost() {
    protocol.tick(harness.nowNanos);
    long number = harness.lastSent(Kind.SYNC).probeNumber();
    harness.receive(pageWithMore("other", number, update("third", 1, MemberStatus.ALIVE)));
    assertEquals(
        "third",
        harness.lastSent(Kind.SYNC).subject(),
        "continued at once, since no whole list was heard yet");
    harness.sent.clear();
    harness.advance(3 * PERIOD_NANOS);
    assertTrue(
        harness.sent.stream().anyMatch(sent -> "third".equals(sent.message().subject())),
        "the rest was lost: it is requested again, and not the whole list");
  }

  @Test
  void listOfAnUnsyncedMemberIsNotComplete() {
    harness.receiveLastPageUnsynced("other");
    assertEquals(0, protocol.quotaShare());
    harness.receiveLastPage("other");
    assertEquals(0.5, protocol.quotaShare());
  }
}
