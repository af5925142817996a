package org.amberpath.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.amberpath.membership.ReplayFilter.Verdict;
import org.junit.jupiter.api.Test;

/** Stories of what is let in. */
class ReplayFilterTest {
  private static final long MS = 1_000_000, PERIOD = 500 * MS, OWN = 7;

  private final ReplayFilter door = new ReplayFilter(OWN, PERIOD, 0);

  private static GossipMessage from(long birth, long to, long serial) {
    return new GossipMessage(
        GossipMessage.Kind.PING,
        new MemberUpdate("g" + birth, "at-g" + birth, 1, birth, MemberStatus.ALIVE, ""),
        to,
        serial,
        1,
        0,
        0,
        null,
        false,
        true,
        List.of());
  }

  private Verdict comes(long now, long birth, long to, long serial) {
    return door.check(now, from(birth, to, serial));
  }

  @Test
  void whatWasMeantForAProcessBeforeIsGreetedAndNoMore() {
    assertEquals(Verdict.GREETED, comes(0, 1, 6, 1));
    assertEquals(Verdict.GREETED, comes(0, 1, 0, 2));
    assertEquals(Verdict.TAKEN, comes(0, 1, OWN, 3));
  }

  @Test
  void aSerialCountsOnceInWhateverOrderItComes() {
    for (long serial : new long[] {5, 3, 4, 70, 69}) {
      assertEquals(Verdict.TAKEN, comes(0, 1, OWN, serial), "" + serial);
      assertEquals(Verdict.REPEATED, comes(0, 1, OWN, serial), "" + serial);
    }
    assertEquals(Verdict.REPEATED, comes(0, 1, OWN, 6), "older than the window: it may have come");
    assertEquals(Verdict.TAKEN, comes(0, 1, OWN, 7));
    assertEquals(
        Verdict.REPEATED,
        comes(0, 1, OWN, Long.MIN_VALUE + 3),
        "no number is so old that it is new");
    assertEquals(Verdict.TAKEN, comes(0, 2, OWN, 5), "another sender's numbers are its own");
  }

  @Test
  void oneSenderLeavesRoomForTheOthers() {
    int taken = 0;
    for (int serial = 1; serial <= 1000; serial++) {
      taken += comes(0, 1, OWN, serial) == Verdict.TAKEN ? 1 : 0;
    }
    assertEquals(60, taken);
    assertEquals(Verdict.TAKEN, comes(0, 2, OWN, 1));
    assertEquals(Verdict.TAKEN, comes(PERIOD + 1, 1, OWN, 2000));
  }

  @Test
  void strangersAreLookedAtAndGreetedUpToABound() {
    int looked = 0, greeted = 0;
    for (int one = 0; one < 5000; one++) {
      looked += door.tryExamine(0) ? 1 : 0;
      greeted += comes(0, one, 0, 1) == Verdict.GREETED ? 1 : 0;
    }
    assertEquals(2000, looked);
    assertEquals(8, greeted);
    assertFalse(door.tryExamine(PERIOD));
    assertTrue(door.tryExamine(PERIOD + 1));
    assertEquals(Verdict.GREETED, comes(PERIOD + 1, 1, 0, 1));
  }
}
