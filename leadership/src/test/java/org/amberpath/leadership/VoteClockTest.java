package org.amberpath.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A candidate's wall clock steps while it leads: its lease and its renewals are another clock's,
 * terms only rise.
 */
class VoteClockTest {
  private static final long SECOND = 1_000_000_000,
      LEASE = 3 * SECOND,
      WALL_MS = 1_700_000_000_000L;
  private static final LeaseTimings RULES = new LeaseTimings(LEASE, SECOND / 2, 1000);

  private final LeaseAcceptor voter = new LeaseAcceptor(RULES, 0);
  private final Deque<LeaseMessage> sent = new ArrayDeque<>();
  private final QuorumLeadership owner =
      new QuorumLeadership(
          RULES, "sweep", VoterConfiguration.of("a"), (to, vote) -> sent.add(vote), 7, 0);
  private long now = RULES.longestNanos(LEASE);

  private void passes(long time) {
    for (long until = now + time; now < until; now += SECOND / 20) {
      owner.tick(now);
      while (!sent.isEmpty()) {
        LeaseMessage answer = voter.messageReceived(now, "me", sent.remove());
        if (answer != null) {
          owner.responseReceived(now, "a", answer);
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {5000, -5000, 3_600_000, -3_600_000})
  void aStepWhileItLeadsMovesNeitherItsLeaseNorItsTermAndTheNextTermIsAbove(long step) {
    owner.wallClockRead(WALL_MS);
    passes(2 * SECOND);
    assertTrue(owner.isLeader(now));
    long until = owner.leaseExpiresAtNanos();
    owner.wallClockRead(WALL_MS + step);
    assertEquals(until, owner.leaseExpiresAtNanos());
    passes(10 * SECOND);
    assertTrue(owner.isLeader(now), "renewed all along");
    assertEquals(WALL_MS, owner.term());
    assertFalse(
        owner.isLeader(owner.leaseExpiresAtNanos()),
        "its belief ends by the clock that only goes forward");

    owner.release(now);
    passes(2 * LEASE + SECOND);
    assertTrue(owner.isLeader(now));
    assertTrue(owner.term() > WALL_MS);
  }
}
