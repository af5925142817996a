package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests when a gateway's knowledge of drains and purges is recent enough to make decisions. All
 * times here are milliseconds.
 */
class DiscoveryFreshnessTest {
  private static final long GRACE_MILLIS = 250;

  private final DiscoveryFreshness freshness = new DiscoveryFreshness(GRACE_MILLIS, true, 0);

  @Test
  void decisionsWaitForTheFirstResponseAfterTheStart() {
    freshness.socketsRead(100);
    assertFalse(freshness.permitsDecisions(100));
    freshness.requestSent(101);
    assertTrue(freshness.awaitsResponse());
    freshness.responseReceived(110);
    assertTrue(freshness.permitsDecisions(110));
  }

  @Test
  void gatewayWithoutAJournalWaitsForNoResponse() {
    DiscoveryFreshness freshness = new DiscoveryFreshness(GRACE_MILLIS, false, 0);
    assertTrue(freshness.permitsDecisions(10));
    assertFalse(freshness.permitsDecisions(400), "the event loop was blocked");
    freshness.socketsRead(400);
    assertTrue(freshness.permitsDecisions(401));
  }

  @Test
  void responseReadAfterAnEventLoopStallIsFollowedByAnotherPoll() {
    completeOnePoll();
    freshness.requestSent(11);
    freshness.responseReceived(411); // The response may have arrived at 12, before a purge at 13.
    freshness.socketsRead(411);
    assertFalse(freshness.permitsDecisions(412));
    freshness.requestSent(412);
    freshness.responseReceived(414);
    assertTrue(freshness.permitsDecisions(414));
  }

  @Test
  void pollInFlightDuringAStallSufficesOnceSocketsAreRead() {
    completeOnePoll();
    freshness.requestSent(11);
    assertFalse(freshness.permitsDecisions(411));
    freshness.socketsRead(411); // No response had arrived, so there was no new event.
    assertTrue(freshness.permitsDecisions(412));
  }

  @Test
  void decisionsWaitForAFailingJournalOnlyOnce() {
    freshness.requestFailed(5);
    freshness.socketsRead(105);
    assertFalse(freshness.permitsDecisions(106));
    freshness.requestFailed(106);
    assertTrue(
        freshness.permitsDecisions(106), "static stability: decisions use the last known state");
  }

  @Test
  void decisionsStopWaitingIfTheEventLoopIsPermanentlyLate() {
    for (long at = 1000; at < 4000; at += 1000) {
      freshness.requestSent(at - 900);
      freshness.responseReceived(at);
    }
    freshness.socketsRead(3001);
    assertTrue(freshness.permitsDecisions(3001));
  }

  /** Completes one poll in time, so that decisions are permitted at 10 ms. */
  private void completeOnePoll() {
    freshness.socketsRead(5);
    freshness.requestSent(6);
    freshness.responseReceived(10);
    freshness.socketsRead(10);
    assertTrue(freshness.permitsDecisions(10));
  }

  /**
   * Simulates an event loop that is blocked at random times for up to a second, and a journal at a
   * round trip of up to 30 ms that receives events at random times: a gateway may decide only if it
   * knows all events that are older than the grace.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void noDecisionMissesAnEventOlderThanTheGrace(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int decisions = 0;
    for (int run = 0; run < 200; run++) {
      decisions += new Simulation(random.split()).run();
    }
    assertTrue(decisions > 200 * 500, "only " + decisions + " decisions");
  }

  /** One run of an event loop with random stalls, and of a journal with events at random times. */
  private static final class Simulation {
    private static final long END_MILLIS = 20_000;
    private static final long TICK_MILLIS = 10;
    private static final long POLL_MILLIS = 2000;
    private static final long MIN_STALL_INTERVAL_MILLIS = 300;
    private static final long MAX_STALL_MILLIS = 1000;

    final SplittableRandom random;
    final long roundTripMillis;
    final DiscoveryFreshness simulatedFreshness = new DiscoveryFreshness(GRACE_MILLIS, true, 0);
    final List<Long> eventTimes = new ArrayList<>();
    long nowMillis;
    long nextTickAt;
    long lastTickAt;
    long lastStallEndedAt;
    int knownEvents;

    /**
     * Time at which the response to the poll in flight arrives; negative if no poll is in flight.
     */
    long responseArrivesAt = -1;

    /** Number of events known once that response has been read, counted from the first one. */
    int knownEventsAfterResponse;

    Simulation(SplittableRandom random) {
      this.random = random;
      roundTripMillis = random.nextLong(GRACE_MILLIS / 8);
      for (long at = 0; at < END_MILLIS; at += 1 + random.nextLong(400)) {
        eventTimes.add(at);
      }
    }

    int run() {
      int decisions = 0;
      while (nowMillis < END_MILLIS) {
        long socketsReadAt = nowMillis; // In each turn the event loop first reads its sockets.
        stallAtRandom();
        if (responseArrivesAt >= 0 && responseArrivesAt <= socketsReadAt) {
          responseArrivesAt = -1;
          knownEvents = knownEventsAfterResponse;
          simulatedFreshness.responseReceived(nowMillis);
          stallAtRandom();
        }
        if (responseArrivesAt < 0) {
          poll();
        }
        if (nowMillis >= nextTickAt) { // Then it fires its timers.
          simulatedFreshness.socketsRead(lastTickAt);
          lastTickAt = nowMillis;
          nextTickAt = nowMillis + TICK_MILLIS;
        }
        stallAtRandom();
        if (simulatedFreshness.permitsDecisions(nowMillis)) { // Then it makes its decisions.
          decisions++;
          assertEquals(
              countEventsUntil(nowMillis - GRACE_MILLIS),
              Math.min(knownEvents, countEventsUntil(nowMillis - GRACE_MILLIS)),
              "at " + nowMillis + " ms");
        } else if (!simulatedFreshness.awaitsResponse()) {
          nextTickAt = nowMillis;
        }
        nowMillis += 1 + random.nextLong(4);
      }
      return decisions;
    }

    private void poll() {
      simulatedFreshness.requestSent(nowMillis);
      long pollArrivesAt = nowMillis + roundTripMillis / 2;
      long respondsBy = pollArrivesAt + (simulatedFreshness.awaitsResponse() ? 1 : POLL_MILLIS);
      long respondedAt =
          countEventsUntil(pollArrivesAt) > knownEvents
              ? pollArrivesAt
              : Math.min(
                  respondsBy,
                  knownEvents < eventTimes.size() ? eventTimes.get(knownEvents) : respondsBy);
      knownEventsAfterResponse = countEventsUntil(respondedAt);
      responseArrivesAt = respondedAt + roundTripMillis / 2;
    }

    private int countEventsUntil(long at) {
      return (int) eventTimes.stream().filter(event -> event <= at).count();
    }

    private void stallAtRandom() {
      if (nowMillis - lastStallEndedAt > MIN_STALL_INTERVAL_MILLIS && random.nextInt(200) == 0) {
        nowMillis += random.nextLong(MAX_STALL_MILLIS);
        lastStallEndedAt = nowMillis;
      }
    }
  }
}
