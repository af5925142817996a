package org.amberpath.membership;

import static org.amberpath.membership.ProtocolHarness.PERIOD;
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
  void ownAddressAmongTheSeedsIsNotAsked() {
    harness.advance(3 * PERIOD);
    assertTrue(
        harness.sent.stream().allMatch(sent -> sent.to().equals(ProtocolHarness.SEED_ADDRESS)));
    assertEquals(0, protocol.quotaShare());
  }

  @Test
  void pageThatWasNotRequestedIsIgnored() {
    protocol.tick(harness.now);
    harness.receive(Kind.PAGE, "other", 99);
    assertEquals(0, protocol.quotaShare());
  }

  @Test
  void listGoesOnAfterItsLastPageAlsoWhenTheNextIsLost() {
    protocol.tick(harness.now);
    long number = harness.lastSent(Kind.SYNC).probeNumber();
    harness.receive(pageWithMore("other", number, update("third", 1, MemberStatus.ALIVE)));
    assertEquals(
        "third",
        harness.lastSent(Kind.SYNC).subject(),
        "continued at once, since no whole list was heard yet");
    harness.sent.clear();
    harness.advance(3 * PERIOD);
    assertTrue(
        harness.sent.stream().anyMatch(sent -> "third".equals(sent.message().subject())),
        "the rest was lost: it is requested again, and not the whole list");
  }

  @Test
  void listOfAMemberThatHasJustStartedIsNotWhole() {
    harness.receiveLastPageUnsynced("other");
    assertEquals(0, protocol.quotaShare());
    harness.receiveLastPage("other");
    assertEquals(0.5, protocol.quotaShare());
  }
}
