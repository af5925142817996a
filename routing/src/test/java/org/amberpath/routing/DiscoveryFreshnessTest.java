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
  private static final long GRACE = 250;

  private final DiscoveryFreshness freshness = new DiscoveryFreshness(GRACE, true, 0);

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
    DiscoveryFreshness freshness = new DiscoveryFreshness(GRACE, false, 0);
    assertTrue(freshness.permitsDecisions(10));
    assertFalse(freshness.permitsDecisions(400), "its event loop was blocked");
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
  void pollInFlightDuringAStallIsCurrentOnceSocketsAreRead() {
    completeOnePoll();
    freshness.requestSent(11);
    assertFalse(freshness.permitsDecisions(411));
    freshness.socketsRead(411); // No response had arrived, so there was no new event.
    assertTrue(freshness.permitsDecisions(412));
  }

  @Test
  void failingJournalIsWaitedForOnlyOnce() {
    freshness.requestFailed(5);
    freshness.socketsRead(105);
    assertFalse(freshness.permitsDecisions(106));
    freshness.requestFailed(106);
    assertTrue(freshness.permitsDecisions(106), "static stability: decisions follow what is known");
  }

  @Test
  void permanentlyLateEventLoopStopsWaiting() {
    for (long at = 1000; at < 4000; at += 1000) {
      freshness.requestSent(at - 900);
      freshness.responseReceived(at);
    }
    freshness.socketsRead(3001);
    assertTrue(freshness.permitsDecisions(3001));
  }

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
    int decided = 0;
    for (int run = 0; run < 200; run++) {
      decided += new Simulation(random.split()).run();
    }
    assertTrue(decided > 200 * 500, "decided only " + decided);
  }

  private static final class Simulation {
    private static final long END_MILLIS = 20_000;
    private static final long TICK_MILLIS = 10;
    private static final long POLL_MILLIS = 2000;
    private static final long MIN_STALL_INTERVAL_MILLIS = 300;
    private static final long MAX_STALL_MILLIS = 1000;

    final SplittableRandom random;
    final long roundTrip;
    final DiscoveryFreshness age = new DiscoveryFreshness(GRACE, true, 0);
    final List<Long> events = new ArrayList<>();
    long now;
    long tickDue;
    long lastTick;
    long stalledAt;
    int knownEvents;

    /**
     * Time at which the response to the poll in flight arrives; negative if no poll is in flight.
     */
    long replyAt = -1;

    /** Number of events known once that response has been read, counted from the first one. */
    int replyEvents;

    Simulation(SplittableRandom random) {
      this.random = random;
      roundTrip = random.nextLong(GRACE / 8);
      for (long at = 0; at < END_MILLIS; at += 1 + random.nextLong(400)) {
        events.add(at);
      }
    }

    int run() {
      int decided = 0;
      while (now < END_MILLIS) {
        long readAt = now; // In each turn the event loop first reads its sockets.
        stallAtTimes();
        if (replyAt >= 0 && replyAt <= readAt) {
          replyAt = -1;
          knownEvents = replyEvents;
          age.responseReceived(now);
          stallAtTimes();
        }
        if (replyAt < 0) {
          poll();
        }
        if (now >= tickDue) { // Then it fires its timers.
          age.socketsRead(lastTick);
          lastTick = now;
          tickDue = now + TICK_MILLIS;
        }
        stallAtTimes();
        if (age.permitsDecisions(now)) { // Then it makes its decisions.
          decided++;
          assertEquals(
              eventsBy(now - GRACE), Math.min(knownEvents, eventsBy(now - GRACE)), "at " + now);
        } else if (!age.awaitsResponse()) {
          tickDue = now;
        }
        now += 1 + random.nextLong(4);
      }
      return decided;
    }

    private void poll() {
      age.requestSent(now);
      long arrives = now + roundTrip / 2;
      long until = arrives + (age.awaitsResponse() ? 1 : POLL_MILLIS);
      long answered =
          eventsBy(arrives) > knownEvents
              ? arrives
              : Math.min(until, knownEvents < events.size() ? events.get(knownEvents) : until);
      replyEvents = eventsBy(answered);
      replyAt = answered + roundTrip / 2;
    }

    private int eventsBy(long at) {
      return (int) events.stream().filter(event -> event <= at).count();
    }

    private void stallAtTimes() {
      if (now - stalledAt > MIN_STALL_INTERVAL_MILLIS && random.nextInt(200) == 0) {
        now += random.nextLong(MAX_STALL_MILLIS);
        stalledAt = now;
      }
    }
  }
}
