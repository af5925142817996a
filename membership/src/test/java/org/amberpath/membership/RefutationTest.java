package org.amberpath.membership;

import static org.amberpath.membership.ProtocolHarness.MS_NANOS;
import static org.amberpath.membership.ProtocolHarness.process;
import static org.amberpath.membership.ProtocolHarness.update;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.amberpath.membership.GossipMessage.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which updates a member refutes by a higher incarnation, and which it ignores. */
class RefutationTest {
  private static final long SECOND_NANOS = 1000 * MS_NANOS;
  private static final long START_SECONDS = 1_700_000_000L;

  private final ProtocolHarness harness = new ProtocolHarness();
  private final SwimProtocol protocol = harness.protocol;

  private long ownIncarnation() {
    return harness.lastSent(Kind.ACK).sender().incarnation();
  }

  @Test
  void suspicionOfTheLocalMemberIsRefutedOnceByAHigherIncarnation() {
    harness.receive(Kind.PING, "other", 1, update("me", 5, MemberStatus.SUSPECTED));
    assertEquals(6, ownIncarnation());
    harness.receive(Kind.PING, "other", 2, update("me", 5, MemberStatus.LOST));
    assertEquals(6, ownIncarnation(), "an update of an older incarnation needs no refutation");
  }

  @Test
  void restartedMemberSupersedesItsOldEntryWithoutANameConflict() {
    MemberUpdate remembered = new MemberUpdate("me", "at-me", 40, 99, MemberStatus.LOST, "other");
    harness.receive(Kind.PING, "other", 1, remembered);
    assertEquals(41, ownIncarnation());
    assertTrue(harness.nameConflicts.isEmpty());
  }

  @Test
  void nameConflictIsReportedOnceAndDoesNotKeepRaisingTheIncarnation() {
    for (int message = 0; message < 50; message++) {
      harness.nowNanos += MS_NANOS;
      MemberUpdate conflicting = process("me", "at-twin", 100 + message, 99);
      harness.receive(ProtocolHarness.message(Kind.PING, conflicting, 1, List.of()));
      harness.receive(Kind.PING, "other", 1, conflicting);
    }
    assertEquals(List.of("at-twin"), harness.nameConflicts);
    assertTrue(ownIncarnation() <= 102, "" + ownIncarnation());
  }

  @Test
  void updateWithAnIncarnationThatCannotBeRefutedIsIgnored() {
    harness.receiveLastPage(
        "other",
        update("third", Long.MAX_VALUE, MemberStatus.LOST),
        update("me", Long.MAX_VALUE, MemberStatus.LOST));
    assertEquals(Optional.empty(), protocol.statusOf("third"));
    assertEquals(5, protocol.self().incarnation());
  }

  @Test
  void restartedMemberWithALowerIncarnationIsSentItsCurrentEntry() {
    harness.receive(Kind.PING, "other", 1, process("third", "at-third", 900, 77));
    harness.sent.clear();
    harness.receiveUnsynced(Kind.SYNC, "third", 2);
    assertEquals(900, harness.lastSent(Kind.NACK).updates().get(0).incarnation());
  }

  /**
   * Guards against a member that cannot rejoin because the wall clock, from which its incarnation
   * starts, stepped forward or back before its start.
   */
  @ParameterizedTest
  @ValueSource(longs = {5, -5, 3600, -3600})
  void clockStepBeforeAStartPreventsNoJoin(long stepSeconds) {
    long nowNanos = START_SECONDS * SECOND_NANOS;
    ProtocolHarness started =
        new ProtocolHarness(
            SwimTimings.defaults(2), process("me", "at-me", START_SECONDS, 1), nowNanos);
    // The clock of "other" is off by the step. Its table has an entry of this name from an earlier
    // start under the same clock, with the status lost.
    MemberUpdate other = process("other", "at-other", START_SECONDS + stepSeconds, 2);
    MemberUpdate remembered =
        new MemberUpdate("me", "at-me", START_SECONDS + stepSeconds, 3, MemberStatus.LOST, "me");
    started.receive(ProtocolHarness.message(Kind.PING, other, 1, List.of(remembered)));
    assertEquals(Optional.of(MemberStatus.ALIVE), started.protocol.statusOf("other"));
    MemberUpdate self = started.sent.get(started.sent.size() - 1).message().sender();
    assertEquals(Math.max(START_SECONDS, START_SECONDS + stepSeconds + 1), self.incarnation());
    assertTrue(started.nameConflicts.isEmpty());
  }
}
