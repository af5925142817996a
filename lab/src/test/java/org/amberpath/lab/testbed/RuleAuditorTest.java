package org.amberpath.lab.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import java.util.List;
import org.amberpath.lab.EventLoopWaiter;
import org.amberpath.lab.LabSettings;
import org.amberpath.lab.LoadGenerator;
import org.amberpath.lab.StandInCache.ReceivedRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks that each service rule is reported with what was found and what is allowed. */
class RuleAuditorTest {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long DRAIN_WAIT_MILLIS = 400;

  private final Vertx vertx = Vertx.vertx();
  private RuleAuditor auditor;

  @BeforeEach
  void createAuditor() throws Exception {
    auditor = EventLoopWaiter.callOnLoop(vertx, () -> new RuleAuditor(vertx));
  }

  @AfterEach
  void closeVertx() throws Exception {
    EventLoopWaiter.await(vertx.close());
  }

  /** Runs a task on the event loop and returns the only violation, without its time. */
  private String onlyViolationOf(Runnable task) throws Exception {
    List<String> violations =
        EventLoopWaiter.callOnLoop(
            vertx,
            () -> {
              task.run();
              return List.copyOf(auditor.violations());
            });
    assertEquals(1, violations.size(), violations::toString);
    return violations.get(0).replaceFirst("^\\d+ ms: ", "");
  }

  private static ReceivedRequest request(String cache, String id, String source) {
    return new ReceivedRequest(cache, id, LabSettings.ORDERS, source, true);
  }

  @Test
  void secondExecutionOfOneRequestNamesBothCaches() throws Exception {
    String violation =
        onlyViolationOf(
            () -> {
              auditor.requestReceived(request("e1", "42", ""));
              auditor.requestReceived(request("e2", "43", ""));
              auditor.requestReceived(request("e2", "42", ""));
            });

    assertEquals(
        "rule 2: request 42 was executed at e1 and again at e2; at most one execution is allowed",
        violation);
  }

  @Test
  void requestToDrainedCacheNamesTimeAndLimit() throws Exception {
    EventLoopWaiter.runOnLoop(vertx, () -> auditor.cacheDrained("e1"));
    Thread.sleep(DRAIN_WAIT_MILLIS);

    String violation = onlyViolationOf(() -> auditor.requestReceived(request("e1", "42", "h0")));

    assertTrue(
        violation.matches(
            "rule 3: e1 received a request \\d+ ms after its drain; the limit is 300 ms"),
        violation);
  }

  @Test
  void drainedCacheAsFillSourceNamesTimeAndLimit() throws Exception {
    EventLoopWaiter.runOnLoop(vertx, () -> auditor.cacheDrained("h0"));
    Thread.sleep(DRAIN_WAIT_MILLIS);

    String violation = onlyViolationOf(() -> auditor.requestReceived(request("e1", "42", "h0")));

    assertTrue(
        violation.matches(
            "rule 3: h0 was named as a fill source \\d+ ms after its drain; the limit is 300 ms"),
        violation);
  }

  @Test
  void overloadOfWarmingUpCacheNamesCountAndLimit() throws Exception {
    String violation =
        onlyViolationOf(
            () -> {
              auditor.cacheStartedCold("e1", 0);
              for (int number = 0; number < 4; number++) {
                auditor.requestReceived(request("e1", "request-" + number, ""));
              }
            });

    assertEquals(
        "rule 4: warming-up cache e1 received 4 requests within 1.0 s; the limit is 3", violation);
  }

  @Test
  void copyFromBeforePurgeNamesAgesAndLimit() throws Exception {
    String violation =
        onlyViolationOf(
            () -> {
              long purgedAtMillis = System.currentTimeMillis() - 1000;
              long sentAtNanos = System.nanoTime() - 100 * NANOS_PER_MILLI;
              auditor.objectPurged("0000000000000001", purgedAtMillis);
              auditor.responseReceived(
                  new LoadGenerator.Response(
                      "0000000000000001", purgedAtMillis - 70, System.nanoTime(), sentAtNanos));
            });

    assertTrue(
        violation.matches(
            "rule 5: object 0000000000000001 was returned as a copy issued 70 ms before its purge,"
                + " to a request sent \\d+ ms after the purge; the limit is 350 ms"),
        violation);
  }
}
