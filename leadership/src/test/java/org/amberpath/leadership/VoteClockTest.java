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
  private long now = RULES.longest(LEASE);

  private void passes(long time) {
    for (long until = now + time; now < until; now += SECOND / 20) {
      owner.tick(now);
      while (!sent.isEmpty()) {
        LeaseMessage answer = voter.asked(now, "me", sent.remove());
        if (answer != null) {
          owner.answered(now, "a", answer);
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {5000, -5000, 3_600_000, -3_600_000})
  void aStepWhileItLeadsMovesNeitherItsLeaseNorItsTermAndTheNextTermIsAbove(long step) {
    owner.wall(WALL_MS);
    passes(2 * SECOND);
    assertTrue(owner.holds(now));
    long until = owner.until();
    owner.wall(WALL_MS + step);
    assertEquals(until, owner.until());
    passes(10 * SECOND);
    assertTrue(owner.holds(now), "renewed all along");
    assertEquals(WALL_MS, owner.term());
    assertFalse(owner.holds(owner.until()), "its belief ends by the clock that only goes forward");

    owner.letGo(now);
    passes(2 * LEASE + SECOND);
    assertTrue(owner.holds(now));
    assertTrue(owner.term() > WALL_MS);
  }
}
