package org.amberpath.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.amberpath.membership.ReplayFilter.Verdict;
import org.junit.jupiter.api.Test;

/** Tests which datagrams are accepted, answered with a greeting, or dropped. */
class ReplayFilterTest {
  private static final long MS = 1_000_000;
  private static final long PERIOD = 500 * MS;
  private static final long OWN_INSTANCE_ID = 7;

  private final ReplayFilter filter = new ReplayFilter(OWN_INSTANCE_ID, PERIOD, 0);

  private static GossipMessage message(long sender, long recipient, long sequenceNumber) {
    String name = "g" + sender;
    return new GossipMessage(
        GossipMessage.Kind.PING,
        new MemberUpdate(name, "at-" + name, 1, sender, MemberStatus.ALIVE, ""),
        recipient,
        sequenceNumber,
        1,
        0,
        0,
        null,
        false,
        true,
        List.of());
  }

  private Verdict check(long now, long sender, long recipient, long sequenceNumber) {
    return filter.check(now, message(sender, recipient, sequenceNumber));
  }

  @Test
  void datagramForAnotherProcessIsGreetedAndNotBelieved() {
    assertEquals(Verdict.GREETED, check(0, 1, 6, 1));
    assertEquals(Verdict.GREETED, check(0, 1, 0, 2));
    assertEquals(Verdict.TAKEN, check(0, 1, OWN_INSTANCE_ID, 3));
  }

  @Test
  void sequenceNumberCountsOnceInWhateverOrderItComes() {
    for (long number : new long[] {5, 3, 4, 70, 69}) {
      assertEquals(Verdict.TAKEN, check(0, 1, OWN_INSTANCE_ID, number), "" + number);
      assertEquals(Verdict.REPEATED, check(0, 1, OWN_INSTANCE_ID, number), "" + number);
    }
    assertEquals(
        Verdict.REPEATED,
        check(0, 1, OWN_INSTANCE_ID, 6),
        "older than the window: it may have come");
    assertEquals(Verdict.TAKEN, check(0, 1, OWN_INSTANCE_ID, 7));
    assertEquals(
        Verdict.REPEATED,
        check(0, 1, OWN_INSTANCE_ID, Long.MIN_VALUE + 3),
        "no number is so old that it is new");
    assertEquals(
        Verdict.TAKEN, check(0, 2, OWN_INSTANCE_ID, 5), "another sender's numbers are its own");
  }

  @Test
  void floodOfOneSenderIsDroppedPastItsBoundAndOthersAreBelieved() {
    int believed = 0;
    for (int number = 1; number <= 1000; number++) {
      believed += check(0, 1, OWN_INSTANCE_ID, number) == Verdict.TAKEN ? 1 : 0;
    }
    assertEquals(60, believed);
    assertEquals(Verdict.TAKEN, check(0, 2, OWN_INSTANCE_ID, 1));
    assertEquals(Verdict.TAKEN, check(PERIOD + 1, 1, OWN_INSTANCE_ID, 2000));
  }

  @Test
  void floodOfStrangersIsExaminedAndGreetedUpToABound() {
    int examined = 0;
    int greeted = 0;
    for (int sender = 0; sender < 5000; sender++) {
      examined += filter.tryExamine(0) ? 1 : 0;
      greeted += check(0, sender, 0, 1) == Verdict.GREETED ? 1 : 0;
    }
    assertEquals(2000, examined);
    assertEquals(8, greeted);
    assertFalse(filter.tryExamine(PERIOD));
    assertTrue(filter.tryExamine(PERIOD + 1));
    assertEquals(Verdict.GREETED, check(PERIOD + 1, 1, 0, 1));
  }
}
