package org.amberpath.routing;

import static org.amberpath.routing.RequestRouterTest.FakeHost.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.amberpath.routing.RequestRouterTest.FakeHost;
import org.amberpath.routing.RequestRouterTest.FakeHost.Sent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * After ten quiet minutes a fault is met as it is at the start: at the start, with no request, one
 * in 5 s or in 50.
 */
@SuppressWarnings("ReferenceEquality") // Whether it is the very same object.
class QuietThenFaultTest {
  private static final long QUIET_MILLIS = 10 * 60_000,
      STEP_MILLIS = 10,
      PATIENCE_MILLIS = 300 + 2 * 100;
  private static final int ENDPOINTS = 4;

  private final FakeHost host = new FakeHost();
  private long ids;

  private void quiet(long everyMillis) {
    host.list();
    if (everyMillis < 0) {
      return;
    }
    long step = everyMillis == 0 ? QUIET_MILLIS : everyMillis;
    for (long passed = 0; passed < QUIET_MILLIS; passed += step) {
      if (everyMillis > 0) {
        host.returned(host.get(++ids, ids, 0), 50, ResponseDetail.HIT);
      }
      host.pass(step);
    }
  }

  /**
   * A request for an object of its own, answered at once unless it goes to the endpoint that hangs.
   */
  private Sent ask(int hung) {
    Sent sent = host.get(++ids, 100_000 + ids, 0);
    if (sent.cache() != hung) {
      host.returned(sent, 50, ResponseDetail.HIT);
    }
    return sent;
  }

  @ParameterizedTest
  @CsvSource({"-1", "0", "5000", "50000"})
  void anEndpointThatHangsIsEjectedAfterItsSilenceAndItsRequestsAreSentElsewhere(long everyMillis) {
    quiet(everyMillis);
    Sent stalled = host.get(++ids, 5, 0);
    int hung = stalled.cache();
    long since = host.now;
    List<Sent> waiting = new ArrayList<>();
    while (!host.aside.contains(hung)) {
      Sent sent = ask(hung);
      if (sent.cache() == hung) {
        waiting.add(sent);
      }
      host.pass(STEP_MILLIS);
      assertTrue(host.now - since < 1500 * MS, "not ejected");
    }
    assertTrue(host.now - since >= 600 * MS, "ejected before it had been silent");
    assertEquals(List.of(hung), host.aside);
    host.pass(PATIENCE_MILLIS + 100);
    Sent retry = host.last(stalled.get());
    assertNotEquals(hung, retry.cache());
    host.returned(retry, 50, ResponseDetail.HIT);
    assertTrue(host.calledOff.contains(stalled.get() + "/0"));
    assertFalse(waiting.isEmpty());
    for (Sent one : waiting) {
      Sent last = host.last(one.get());
      assertNotEquals(hung, last.cache());
      host.returned(last, 50, ResponseDetail.HIT);
    }
    assertTrue(host.errored.isEmpty() && host.shed.isEmpty());
  }

  @ParameterizedTest
  @CsvSource({"-1", "0", "5000", "50000"})
  void anEndpointThatIsGoneIsLeftAtOnceAndTakenBackOnceItAnswers(long everyMillis) {
    quiet(everyMillis);
    Sent lost = host.get(++ids, 5, 0);
    host.ended(lost, AttemptOutcome.CONNECT_FAILED, 1, ResponseDetail.NONE);
    Sent retry = host.last(lost.get());
    assertNotEquals(lost.cache(), retry.cache());
    host.returned(retry, 50, ResponseDetail.HIT);
    int elsewhere = 0;
    Sent sent = host.get(++ids, 5, 0);
    for (; sent.cache() != lost.cache(); sent = host.get(++ids, 5, 0)) {
      host.returned(sent, 50, ResponseDetail.HIT).pass(STEP_MILLIS);
      assertTrue(++elsewhere < 100, "no trial within a second");
    }
    assertTrue(elsewhere > 5);
    host.returned(sent, 50, ResponseDetail.HIT).pass(3000);
    assertEquals(List.of(), host.aside);
    sent = host.get(++ids, 5, 0);
    assertEquals(lost.cache(), sent.cache());
  }

  @ParameterizedTest
  @CsvSource({"-1, DRAINING", "0, DRAINING", "5000, DRAINING", "50000, DRAINING", "5000, GONE"})
  void nothingNewGoesToOrThroughWhatDrains(long everyMillis, EndpointState state) {
    quiet(everyMillis);
    host.change(1, state, 0).change(6, state, 0);
    for (int one = 0; one < 60; one++) {
      Sent sent = ask(-1);
      assertNotEquals(1, sent.cache());
      assertEquals(5, sent.source());
    }
  }

  /**
   * A tenth of 4 transfers, times 3, for a second: 1.2 s of work of 0.1 s each, of which a part is
   * this gateway's.
   */
  @ParameterizedTest
  @CsvSource({
    "-1, true",
    "0, true",
    "5000, true",
    "50000, true",
    "-1, false",
    "0, false",
    "5000, false"
  })
  void anEndpointThatStartsColdAloneIsHeldToItsBudget(long everyMillis, boolean sized) {
    host.sized = sized;
    quiet(everyMillis);
    for (int cache = 1; cache < ENDPOINTS; cache++) {
      host.change(cache, EndpointState.GONE, 0);
    }
    host.change(0, EndpointState.UP, host.now);
    int before = host.sent.size();
    for (int one = 0; one < 200; one++) {
      host.get(++ids, 100_000 + ids, 0);
    }
    int sent = host.sent.size() - before;
    assertTrue(sent >= 1 && sent <= 12, "sent " + sent);
    assertEquals(200, sent + host.shed.size());
  }

  /**
   * Among warm peers: a thin slice of the keys at first, most of its part half way through its
   * start.
   */
  @ParameterizedTest
  @CsvSource({"-1", "0", "5000", "50000"})
  void anEndpointThatStartsColdGetsASliceThatWidens(long everyMillis) {
    quiet(everyMillis);
    int usual = share();
    host.change(1, EndpointState.UP, host.now);
    int thin = share();
    host.pass(5000);
    int wide = share();
    assertTrue(thin > 0 && thin < usual / 4, "thin " + thin + " of " + usual);
    assertTrue(wide > usual / 2, "wide " + wide + " of " + usual);
  }

  private int share() {
    int count = 0;
    for (int object = 0; object < 400; object++) {
      Sent sent = host.get(++ids, object, 0);
      host.returned(sent, 50, ResponseDetail.HIT).pass(STEP_MILLIS / 2);
      count += sent.cache() == 1 ? 1 : 0;
    }
    return count;
  }

  @ParameterizedTest
  @CsvSource({"-1, 5, 0", "0, 5, 0", "5000, 5, 0", "50000, 0, 9", "5000, 0, -1"})
  void aPurgeBoundsTheAgeOfCopiesUntilAllHaveDroppedTheirs(
      long everyMillis, long object, int group) {
    quiet(everyMillis);
    Sent before = host.get(++ids, 5, 0);
    assertEquals(0, before.age());
    host.returned(before, 50, ResponseDetail.HIT);
    host.event(to -> to.objectPurged(object, group, 100 * MS)).pass(400);
    Sent after = host.get(++ids, 5, 0);
    assertTrue(after.age() > 400 * MS && after.age() < 500 * MS, "age " + after.age());
    host.returned(after, 50, ResponseDetail.HIT).pass(6500);
    assertEquals(0, host.get(++ids, 5, 0).age());
  }

  /** Retries that became possible meanwhile are no more than at the start. */
  @ParameterizedTest
  @CsvSource({"-1", "0", "5000", "50000"})
  void retriesStayACappedShareOfWhatComes(long everyMillis) {
    quiet(everyMillis);
    int before = host.sent.size();
    for (int one = 0; one < 400; one++) {
      Sent sent = host.get(++ids, 100_000 + ids, 0);
      assertNotNull(sent);
      host.ended(sent, AttemptOutcome.REJECTED, 1, ResponseDetail.NONE);
      while (host.last(sent.get()) != sent) {
        sent = host.last(sent.get());
        host.ended(sent, AttemptOutcome.REJECTED, 1, ResponseDetail.NONE);
      }
    }
    int retries = host.sent.size() - before - 400;
    assertTrue(retries > 40 && retries <= 40 + 400 / 5, "retries " + retries);
  }
}
