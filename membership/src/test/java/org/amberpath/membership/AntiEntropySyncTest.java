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
        "the next page is requested immediately, since no complete list was received yet");
    harness.sent.clear();
    harness.advance(3 * PERIOD_NANOS);
    assertTrue(
        harness.sent.stream().anyMatch(sent -> "third".equals(sent.message().subject())),
        "the next page was lost: the request continues after the last received page");
  }

  @Test
  void listOfAnUnsyncedMemberIsNotComplete() {
    harness.receiveLastPageUnsynced("other");
    assertEquals(0, protocol.quotaShare());
    harness.receiveLastPage("other");
    assertEquals(0.5, protocol.quotaShare());
  }
}
