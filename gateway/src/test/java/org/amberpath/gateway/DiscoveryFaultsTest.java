package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.amberpath.gateway.testsupport.FaultFixture;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.JournalRelay;
import org.amberpath.gateway.testsupport.StubCache;
import org.amberpath.gateway.testsupport.StubJournal;
import org.amberpath.gateway.testsupport.TestClient;
import org.amberpath.gateway.testsupport.TimedCommand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Journals that are slow, overloaded, unreachable or replaced while requests are served. */
@Timeout(30)
class DiscoveryFaultsTest extends FaultFixture {
  /**
   * The first of two has a journal that does not reply, does not let connections come up, or
   * refuses them.
   */
  @ParameterizedTest
  @CsvSource({"silent, false", "unreachable, false", "refusing, false", "silent, true"})
  void lastOfTwoReloadsDeterminesTheJournal(String first, boolean lastIsSlow) throws Exception {
    List<StubCache> caches = testbed.start(folder, 2, testbed.journal.address());
    List<List<TimedCommand>> seen = handleAll(caches, FaultFixture::serve);
    StubJournal between = testbed.copyOfJournal();
    StubJournal last = testbed.copyOfJournal();
    between.replyOverride = "";
    JournalRelay way = testbed.relay(last);
    way.delayMillis = lastIsSlow ? 1000 : 0;
    String betweenAddress =
        switch (first) {
          case "silent" -> between.address();
          case "unreachable" -> testbed.fullAddress();
          default -> testbed.refusingAddress();
        };
    GatewayOptions one = testbed.options(folder, betweenAddress);
    GatewayOptions two = testbed.options(folder, way.address());
    testbed.gateway.reload(() -> one);
    testbed.gateway.reload(() -> two);
    String asked = last.polls.poll(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(asked);
    assertTrue(asked.startsWith("tail=3&"), asked);
    TestClient client = testbed.client();
    assertDrainTakesEffect(last, caches.get(0), seen.get(0), client, lastIsSlow ? 6000 : 2000);
    between.replyOverride = null;
    between.listEndpoint("c1", caches.get(1).address(), "box", "gone");
    testbed.journal.listEndpoint("c1", caches.get(1).address(), "box", "gone");
    testbed.journal.polls.clear();
    between.polls.clear();
    requestFor(client, 500);
    assertTrue(
        testbed.journal.polls.isEmpty() && between.polls.isEmpty(),
        "journals that were left are not asked");
  }

  /**
   * A reply that takes a second more: requests are served all the while, and a drain is heeded
   * seconds later.
   */
  @Test
  void slowDiscoveryServesRequestsAndADrainTakesEffect() throws Exception {
    JournalRelay way = testbed.relay(testbed.journal);
    way.delayMillis = 1000;
    List<StubCache> caches = testbed.start(folder, 2, way.address());
    List<List<TimedCommand>> seen = handleAll(caches, FaultFixture::serve);
    assertDrainTakesEffect(testbed.journal, caches.get(0), seen.get(0), testbed.client(), 6000);
  }

  /** Of four connections three are reset, and the fourth is served. */
  @Test
  void overloadedDiscoveryServesRequestsAndADrainTakesEffect() throws Exception {
    JournalRelay way = testbed.relay(testbed.journal);
    way.resetsAllButOneOf = 4;
    List<StubCache> caches = testbed.start(folder, 2, way.address());
    List<List<TimedCommand>> seen = handleAll(caches, FaultFixture::serve);
    TestClient client = testbed.client();
    for (int times = 0; times < 3; times++) {
      way.resetConnections();
      requestFor(client, 300);
    }
    way.resetConnections();
    assertDrainTakesEffect(testbed.journal, caches.get(0), seen.get(0), client, 2000);
  }

  /**
   * Away for three seconds, which stand for thirty: DiscoveryFreshness waits for no journal after
   * two questions that failed, and JournalClient asks again 0.1 s after each, so nothing differs
   * between the first second and the thirtieth. Where it falls silent instead, a question that is
   * open then is given up 2.6 s after it was asked.
   */
  @ParameterizedTest
  @CsvSource({"refuses, 2000", "silent, 6000"})
  void unreachableDiscoveryServesRequestsAndTheFirstDrainAfterItsReturnTakesEffect(
      String how, long withinMillis) throws Exception {
    JournalRelay way = testbed.relay(testbed.journal);
    List<StubCache> caches = testbed.start(folder, 2, way.address());
    List<List<TimedCommand>> seen = handleAll(caches, FaultFixture::serve);
    TestClient client = testbed.client();
    boolean refuses = how.equals("refuses");
    if (refuses) {
      way.refuseConnections();
    } else {
      testbed.journal.replyOverride = "";
    }
    requestFor(client, 3000);
    if (refuses) {
      way.listen();
    } else {
      testbed.journal.replyOverride = null;
    }
    assertDrainTakesEffect(testbed.journal, caches.get(0), seen.get(0), client, withinMillis);
  }

  /** Drains c0 at a journal; all requests are served, and c0 gets its last one within the bound. */
  private void assertDrainTakesEffect(
      StubJournal at,
      StubCache drained,
      List<TimedCommand> seen,
      TestClient client,
      long withinMillis)
      throws Exception {
    long before = System.nanoTime();
    requestUntil(
        client,
        () ->
            seen.stream().anyMatch(one -> one.atNanos() > before)); // It has its part of the keys.
    long arguments = System.nanoTime();
    at.listEndpoint("c0", drained.address(), "box", "draining");
    int[] seenAt = {seen.size(), number};
    requestUntil(
        client,
        () -> { // Until each part has been asked for three times elsewhere.
          if (seen.size() > seenAt[0]) {
            seenAt[0] = seen.size();
            seenAt[1] = number;
          }
          return number - seenAt[1] > 3 * PARTS;
        });
    long last = seen.stream().mapToLong(TimedCommand::atNanos).max().orElseThrow();
    assertTrue(
        last - arguments < TimeUnit.MILLISECONDS.toNanos(withinMillis),
        "a request " + TimeUnit.NANOSECONDS.toMillis(last - arguments) + " ms after the drain");
  }
}
