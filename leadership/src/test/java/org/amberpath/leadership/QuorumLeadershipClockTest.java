package org.amberpath.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a leader whose lease, renewals or terms follow a step of its wall clock: leases
 * and renewals use the monotonic clock, and terms only rise.
 */
class QuorumLeadershipClockTest {
  private static final long SECOND = 1_000_000_000;
  private static final long LEASE = 3 * SECOND;
  private static final long WALL_MILLIS = 1_700_000_000_000L;
  private static final LeaseTimings TIMINGS = new LeaseTimings(LEASE, SECOND / 2, 1000);

  private final LeaseAcceptor acceptor = new LeaseAcceptor(TIMINGS, 0);
  private final Deque<LeaseMessage> sent = new ArrayDeque<>();
  private final QuorumLeadership leader =
      new QuorumLeadership(
          TIMINGS,
          "sweep",
          VoterConfiguration.of("a"),
          (voter, message) -> sent.add(message),
          7,
          0);
  private long now = TIMINGS.longestNanos(LEASE);

  private void advance(long duration) {
    for (long end = now + duration; now < end; now += SECOND / 20) {
      leader.tick(now);
      while (!sent.isEmpty()) {
        LeaseMessage answer = acceptor.messageReceived(now, "candidate", sent.remove());
        if (answer != null) {
          leader.responseReceived(now, "a", answer);
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {5000, -5000, 3_600_000, -3_600_000})
  void wallClockStepChangesNeitherLeaseNorTermAndNextTermIsHigher(long stepMillis) {
    leader.wallClockRead(WALL_MILLIS);
    advance(2 * SECOND);
    assertTrue(leader.isLeader(now));
    long expiresAt = leader.leaseExpiresAtNanos();
    leader.wallClockRead(WALL_MILLIS + stepMillis);
    assertEquals(expiresAt, leader.leaseExpiresAtNanos());
    advance(10 * SECOND);
    assertTrue(leader.isLeader(now), "the lease has been renewed without a gap");
    assertEquals(WALL_MILLIS, leader.term());
    assertFalse(
        leader.isLeader(leader.leaseExpiresAtNanos()), "the lease expires by the monotonic clock");

    leader.release(now);
    advance(2 * LEASE + SECOND);
    assertTrue(leader.isLeader(now));
    assertTrue(leader.term() > WALL_MILLIS);
  }
}
