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

/** Tests journals that are slow, overloaded, unreachable or replaced while requests are served. */
@Timeout(30)
class DiscoveryFaultsTest extends FaultFixture {
  /**
   * Reloads the configuration twice in a row. The journal of the first new configuration does not
   * reply, lets connects time out or refuses them; the journal of the second must be polled. With
   * {@code lastIsSlow} the second journal replies a second late.
   */
  @ParameterizedTest
  @CsvSource({"silent, false", "unreachable, false", "refusing, false", "silent, true"})
  void lastOfTwoReloadsDeterminesTheJournal(String firstFault, boolean lastIsSlow)
      throws Exception {
    List<StubCache> caches = testbed.start(folder, 2, testbed.journal.address());
    List<List<TimedCommand>> received = handleAll(caches, FaultFixture::serve);
    StubJournal firstJournal = testbed.copyOfJournal();
    StubJournal lastJournal = testbed.copyOfJournal();
    firstJournal.replyOverride = "";
    JournalRelay relay = testbed.relay(lastJournal);
    relay.delayMillis = lastIsSlow ? 1000 : 0;
    String firstAddress =
        switch (firstFault) {
          case "silent" -> firstJournal.address();
          case "unreachable" -> testbed.connectTimeoutAddress();
          default -> testbed.refusingAddress();
        };
    GatewayOptions firstOptions = testbed.options(folder, firstAddress);
    GatewayOptions lastOptions = testbed.options(folder, relay.address());
    testbed.gateway.reload(() -> firstOptions);
    testbed.gateway.reload(() -> lastOptions);
    String poll = lastJournal.polls.poll(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(poll);
    assertTrue(poll.startsWith("tail=3&"), poll);
    TestClient client = testbed.client();
    assertDrainTakesEffect(
        lastJournal, caches.get(0), received.get(0), client, lastIsSlow ? 6000 : 2000);
    firstJournal.replyOverride = null;
    firstJournal.listEndpoint("c1", caches.get(1).address(), "box", "gone");
    testbed.journal.listEndpoint("c1", caches.get(1).address(), "box", "gone");
    testbed.journal.polls.clear();
    firstJournal.polls.clear();
    requestFor(client, 500);
    assertTrue(
        testbed.journal.polls.isEmpty() && firstJournal.polls.isEmpty(),
        "journals of earlier configurations are not polled");
  }

  /**
   * Every journal reply is delayed by a second: all requests must be served meanwhile, and a drain
   * must take effect within 6 s.
   */
  @Test
  void slowDiscoveryServesRequestsAndADrainTakesEffect() throws Exception {
    JournalRelay relay = testbed.relay(testbed.journal);
    relay.delayMillis = 1000;
    List<StubCache> caches = testbed.start(folder, 2, relay.address());
    List<List<TimedCommand>> received = handleAll(caches, FaultFixture::serve);
    assertDrainTakesEffect(testbed.journal, caches.get(0), received.get(0), testbed.client(), 6000);
  }

  /**
   * The journal resets three of every four connections: all requests must be served, and a drain
   * must take effect within 2 s.
   */
  @Test
  void overloadedDiscoveryServesRequestsAndADrainTakesEffect() throws Exception {
    JournalRelay relay = testbed.relay(testbed.journal);
    relay.relaysOneOf = 4;
    List<StubCache> caches = testbed.start(folder, 2, relay.address());
    List<List<TimedCommand>> received = handleAll(caches, FaultFixture::serve);
    TestClient client = testbed.client();
    for (int round = 0; round < 3; round++) {
      relay.resetConnections();
      requestFor(client, 300);
    }
    relay.resetConnections();
    assertDrainTakesEffect(testbed.journal, caches.get(0), received.get(0), client, 2000);
  }

  /**
   * The journal is unreachable for 3 s, which also covers an outage of 30 s: DiscoveryFreshness
   * does not wait for the journal after two failed polls, and JournalClient polls again 0.1 s after
   * each failure, so the first second and the thirtieth are alike. If the journal stops replying
   * instead of refusing connections, a poll in flight times out 2.6 s after it was sent.
   */
  @ParameterizedTest
  @CsvSource({"refuses, 2000", "silent, 6000"})
  void unreachableDiscoveryServesRequestsAndTheFirstDrainAfterItsReturnTakesEffect(
      String fault, long withinMillis) throws Exception {
    JournalRelay relay = testbed.relay(testbed.journal);
    List<StubCache> caches = testbed.start(folder, 2, relay.address());
    List<List<TimedCommand>> received = handleAll(caches, FaultFixture::serve);
    TestClient client = testbed.client();
    boolean refuses = fault.equals("refuses");
    if (refuses) {
      relay.refuseConnections();
    } else {
      testbed.journal.replyOverride = "";
    }
    requestFor(client, 3000);
    if (refuses) {
      relay.listen();
    } else {
      testbed.journal.replyOverride = null;
    }
    assertDrainTakesEffect(testbed.journal, caches.get(0), received.get(0), client, withinMillis);
  }

  /**
   * Drains c0 in a journal and asserts that all requests are served and that c0 receives its last
   * request within the given time after the drain.
   */
  private void assertDrainTakesEffect(
      StubJournal journal,
      StubCache drained,
      List<TimedCommand> received,
      TestClient client,
      long withinMillis)
      throws Exception {
    long startNanos = System.nanoTime();
    requestUntil(
        client,
        // Until c0 has received a request: it owns some of the parts.
        () -> received.stream().anyMatch(command -> command.atNanos() > startNanos));
    long drainedAtNanos = System.nanoTime();
    journal.listEndpoint("c0", drained.address(), "box", "draining");
    int[] lastReceived = {received.size(), lastRequestNumber};
    requestUntil(
        client,
        () -> { // Until each part was requested three times without a request to c0.
          if (received.size() > lastReceived[0]) {
            lastReceived[0] = received.size();
            lastReceived[1] = lastRequestNumber;
          }
          return lastRequestNumber - lastReceived[1] > 3 * PART_COUNT;
        });
    long lastNanos = received.stream().mapToLong(TimedCommand::atNanos).max().orElseThrow();
    assertTrue(
        lastNanos - drainedAtNanos < TimeUnit.MILLISECONDS.toNanos(withinMillis),
        "a request "
            + TimeUnit.NANOSECONDS.toMillis(lastNanos - drainedAtNanos)
            + " ms after the drain");
  }
}
