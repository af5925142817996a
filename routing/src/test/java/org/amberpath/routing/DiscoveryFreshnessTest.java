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

/** Stories of news that may be too old to decide by. Times are milliseconds. */
class DiscoveryFreshnessTest {
  private static final long GRACE = 250;

  private final DiscoveryFreshness age = new DiscoveryFreshness(GRACE, true, 0);

  @Test
  void whatWasKnownAtTheStartIsNotEnough() {
    age.socketsRead(100);
    assertFalse(age.permitsDecisions(100));
    age.requestSent(101);
    assertTrue(age.awaitsResponse());
    age.responseReceived(110);
    assertTrue(age.permitsDecisions(110));
  }

  @Test
  void aGatewayWithoutAJournalWaitsForNone() {
    DiscoveryFreshness told = new DiscoveryFreshness(GRACE, false, 0);
    assertTrue(told.permitsDecisions(10));
    assertFalse(told.permitsDecisions(400), "its loop stood still");
    told.socketsRead(400);
    assertTrue(told.permitsDecisions(401));
  }

  @Test
  void aReplyFoundAfterAStandstillIsNotTheLastWord() {
    aReply();
    age.requestSent(11);
    age.responseReceived(
        411); // It may have lain there since 12, and the purge of 13 came after it.
    age.socketsRead(411);
    assertFalse(age.permitsDecisions(412));
    age.requestSent(412);
    age.responseReceived(414);
    assertTrue(age.permitsDecisions(414));
  }

  @Test
  void aPollThatIsOutWhileTheLoopStandsTellsAllOnceItIsRead() {
    aReply();
    age.requestSent(11);
    assertFalse(age.permitsDecisions(411));
    age.socketsRead(411); // Nothing was there: nothing had come.
    assertTrue(age.permitsDecisions(412));
  }

  @Test
  void aJournalThatFailsIsNotWaitedForLong() {
    age.requestFailed(5);
    age.socketsRead(105);
    assertFalse(age.permitsDecisions(106));
    age.requestFailed(106);
    assertTrue(age.permitsDecisions(106), "static stability: what is known is gone by");
  }

  @Test
  void aLoopThatIsAlwaysLateGivesUpWaiting() {
    for (long at = 1000; at < 4000; at += 1000) {
      age.requestSent(at - 900);
      age.responseReceived(at);
    }
    age.socketsRead(3001);
    assertTrue(age.permitsDecisions(3001));
  }

  private void aReply() {
    age.socketsRead(5);
    age.requestSent(6);
    age.responseReceived(10);
    age.socketsRead(10);
    assertTrue(age.permitsDecisions(10));
  }

  /**
   * A loop that stands still now and then, at any point, for up to a second, and a journal some
   * milliseconds away whose events come whenever they like: nothing is ever decided without what
   * came more than the grace ago.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void nothingIsDecidedByOldNews(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int decided = 0;
    for (int play = 0; play < 200; play++) {
      decided += new Play(random.split()).run();
    }
    assertTrue(decided > 200 * 500, "decided only " + decided);
  }

  private static final class Play {
    private static final long END = 20_000, TICK = 10, WAIT = 2000, APART = 300, LONGEST = 1000;

    final SplittableRandom random;
    final long away;
    final DiscoveryFreshness age = new DiscoveryFreshness(GRACE, true, 0);
    final List<Long> events = new ArrayList<>();
    long now, tickDue, ticked, stoodAt;
    int known;

    /** The poll that is out: when its reply is there, and what it holds. */
    long replyAt = -1;

    int reply;

    Play(SplittableRandom random) {
      this.random = random;
      away = random.nextLong(GRACE / 8);
      for (long at = 0; at < END; at += 1 + random.nextLong(400)) {
        events.add(at);
      }
    }

    int run() {
      int decided = 0;
      while (now < END) {
        long pass = now; // The loop reads its sockets.
        stand();
        if (replyAt >= 0 && replyAt <= pass) {
          replyAt = -1;
          known = reply;
          age.responseReceived(now);
          stand();
        }
        if (replyAt < 0) {
          ask();
        }
        if (now >= tickDue) { // Then its timers.
          age.socketsRead(ticked);
          ticked = now;
          tickDue = now + TICK;
        }
        stand();
        if (age.permitsDecisions(now)) { // Then what it decides.
          decided++;
          assertEquals(heededBy(now - GRACE), Math.min(known, heededBy(now - GRACE)), "at " + now);
        } else if (!age.awaitsResponse()) {
          tickDue = now;
        }
        now += 1 + random.nextLong(4);
      }
      return decided;
    }

    private void ask() {
      age.requestSent(now);
      long comes = now + away / 2;
      long until = comes + (age.awaitsResponse() ? 1 : WAIT);
      long answered =
          heededBy(comes) > known
              ? comes
              : Math.min(until, known < events.size() ? events.get(known) : until);
      reply = heededBy(answered);
      replyAt = answered + away / 2;
    }

    private int heededBy(long at) {
      return (int) events.stream().filter(event -> event <= at).count();
    }

    private void stand() {
      if (now - stoodAt > APART && random.nextInt(200) == 0) {
        now += random.nextLong(LONGEST);
        stoodAt = now;
      }
    }
  }
}
