package org.amberpath.membership;

import static org.amberpath.membership.ProtocolHarness.PERIOD_NANOS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how long a suspicion lasts. */
class SuspicionTimersTest {
  private final MembershipTable table = new MembershipTable("me", SwimTimings.defaults(2));
  private final SuspicionTimers timers = new SuspicionTimers(table, PERIOD_NANOS);

  private static MemberUpdate suspicion(String reporter, long incarnation) {
    return new MemberUpdate("other", "at-other", incarnation, 1, MemberStatus.SUSPECTED, reporter);
  }

  private MemberEntry startSuspicion() {
    MemberEntry entry = table.add(suspicion("a", 1));
    timers.start(entry, 0);
    table.recount(0);
    return entry;
  }

  @Test
  void suspicionByOneReporterLastsTwelvePeriodsInASmallFleet() {
    MemberEntry entry = startSuspicion();
    assertTrue(timers.anyRunning());
    assertTrue(timers.expired(12 * PERIOD_NANOS - 1).isEmpty());
    assertEquals(List.of(entry), timers.expired(12 * PERIOD_NANOS));
  }

  @Test
  void eachNewReporterShortensTheSuspicionOnce() {
    MemberEntry entry = startSuspicion();
    assertTrue(timers.confirm(entry, suspicion("b", 1)));
    long deadlineWithTwoReporters = entry.suspicionDeadlineNanos;
    assertTrue(
        4 * PERIOD_NANOS < deadlineWithTwoReporters && deadlineWithTwoReporters < 12 * PERIOD_NANOS,
        "" + deadlineWithTwoReporters);
    assertFalse(timers.confirm(entry, suspicion("b", 1)), "reporter b is already counted");
    assertTrue(timers.confirm(entry, suspicion("c", 1)));
    assertEquals(4 * PERIOD_NANOS, entry.suspicionDeadlineNanos);
    assertFalse(timers.confirm(entry, suspicion("d", 1)), "a fourth reporter does not confirm");
    assertEquals(4 * PERIOD_NANOS, entry.suspicionDeadlineNanos);
  }

  @Test
  void reportOfAnotherIncarnationIsNoConfirmation() {
    assertFalse(timers.confirm(startSuspicion(), suspicion("b", 0)));
  }

  @Test
  void suspicionIsLongerInALargeFleet() {
    for (int member = 0; member < 98; member++) {
      table.add(ProtocolHarness.update("m" + member, 1, MemberStatus.ALIVE));
    }
    table.recount(0);
    MemberEntry entry = startSuspicion();
    timers.start(entry, 0);
    assertEquals(100, table.countedMembers());
    assertEquals(24 * PERIOD_NANOS, entry.suspicionDeadlineNanos);
  }

  @Test
  void suspicionIsPostponedByAPause() {
    MemberEntry entry = startSuspicion();
    timers.postpone(5 * PERIOD_NANOS);
    assertTrue(timers.expired(17 * PERIOD_NANOS - 1).isEmpty());
    assertEquals(List.of(entry), timers.expired(17 * PERIOD_NANOS));
  }
}
