package org.amberpath.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.amberpath.membership.ReplayFilter.Verdict;
import org.junit.jupiter.api.Test;

/** Tests which datagrams are accepted, answered with a greeting, or dropped. */
class ReplayFilterTest {
  private static final long MS_NANOS = 1_000_000;
  private static final long PERIOD_NANOS = 500 * MS_NANOS;
  private static final long OWN_INSTANCE_ID = 7;

  private final ReplayFilter filter = new ReplayFilter(OWN_INSTANCE_ID, PERIOD_NANOS, 0);

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

  private Verdict check(long nowNanos, long sender, long recipient, long sequenceNumber) {
    return filter.check(nowNanos, message(sender, recipient, sequenceNumber));
  }

  @Test
  void datagramForAnotherProcessIsGreetedAndNotAccepted() {
    assertEquals(Verdict.WRONG_RECIPIENT, check(0, 1, 6, 1));
    assertEquals(Verdict.WRONG_RECIPIENT, check(0, 1, 0, 2));
    assertEquals(Verdict.ACCEPTED, check(0, 1, OWN_INSTANCE_ID, 3));
  }

  @Test
  void sequenceNumberIsAcceptedOnceInAnyOrder() {
    for (long number : new long[] {5, 3, 4, 70, 69}) {
      assertEquals(Verdict.ACCEPTED, check(0, 1, OWN_INSTANCE_ID, number), "" + number);
      assertEquals(Verdict.REPLAYED, check(0, 1, OWN_INSTANCE_ID, number), "" + number);
    }
    assertEquals(
        Verdict.REPLAYED,
        check(0, 1, OWN_INSTANCE_ID, 6),
        "older than the window, so it may be a replay");
    assertEquals(Verdict.ACCEPTED, check(0, 1, OWN_INSTANCE_ID, 7));
    assertEquals(
        Verdict.REPLAYED,
        check(0, 1, OWN_INSTANCE_ID, Long.MIN_VALUE + 3),
        "an overflow of the distance makes no old number new");
    assertEquals(
        Verdict.ACCEPTED,
        check(0, 2, OWN_INSTANCE_ID, 5),
        "sequence numbers are tracked per sender");
  }

  @Test
  void floodOfOneSenderIsDroppedAboveItsBoundWhileOthersAreAccepted() {
    int accepted = 0;
    for (int number = 1; number <= 1000; number++) {
      accepted += check(0, 1, OWN_INSTANCE_ID, number) == Verdict.ACCEPTED ? 1 : 0;
    }
    assertEquals(60, accepted);
    assertEquals(Verdict.ACCEPTED, check(0, 2, OWN_INSTANCE_ID, 1));
    assertEquals(Verdict.ACCEPTED, check(PERIOD_NANOS + 1, 1, OWN_INSTANCE_ID, 2000));
  }

  @Test
  void floodOfUnknownSendersIsExaminedAndGreetedUpToABound() {
    int examined = 0;
    int greetings = 0;
    for (int sender = 0; sender < 5000; sender++) {
      examined += filter.tryExamine(0) ? 1 : 0;
      greetings += check(0, sender, 0, 1) == Verdict.WRONG_RECIPIENT ? 1 : 0;
    }
    assertEquals(2000, examined);
    assertEquals(8, greetings);
    assertFalse(filter.tryExamine(PERIOD_NANOS));
    assertTrue(filter.tryExamine(PERIOD_NANOS + 1));
    assertEquals(Verdict.WRONG_RECIPIENT, check(PERIOD_NANOS + 1, 1, 0, 1));
  }
}
