package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests deadlines, socket reads and accepted connections after the event loop was late. Times are
 * milliseconds, multiplied by {@link #MS} where nanoseconds are expected.
 */
class RequestTimesTest {
  private static final long MS = 1_000_000;

  @ParameterizedTest
  @CsvSource({"0, 0", "60, 30", "200, 100", "300, 200", "900, 800"})
  void halfOfTheLagOrAllButATenthOfASecondIsSubtractedFromTheDeadline(long lag, long subtracted) {
    assertEquals(5000 + 1500 - subtracted, RequestDeadline.of(5000 * MS, lag * MS, 1500 * MS) / MS);
  }

  @Test
  void noAttemptBeginsWithFiveMillisecondsLeftOrLess() {
    assertTrue(RequestDeadline.isTooShort(5 * MS));
    assertTrue(RequestDeadline.isTooShort(-MS));
    assertFalse(RequestDeadline.isTooShort(6 * MS));
  }

  @Test
  void socketReadsAreFreshForFiftyMilliseconds() {
    SocketReads reads = new SocketReads(0);
    reads.socketsRead(100 * MS);
    reads.socketsRead(90 * MS);
    assertTrue(reads.isFresh(150 * MS));
    assertFalse(reads.isFresh(151 * MS));
  }

  @Test
  void connectionIsSettledOnceReadAfterItsLastRequestOrAfterTheMaximumTime() {
    SocketReads reads = new SocketReads(0);
    assertFalse(SocketReads.mustBeReread(24 * MS));
    assertTrue(SocketReads.mustBeReread(25 * MS));
    reads.socketsRead(10 * MS);
    assertTrue(reads.wasReread(9 * MS, 10 * MS));
    assertFalse(reads.wasReread(9 * MS, 11 * MS));
    reads.socketsRead(60 * MS);
    assertTrue(
        reads.wasReread(9 * MS, 61 * MS),
        "settled after the maximum time although the client keeps sending");
    assertTrue(new SocketReads.Backlog(0, 900 * MS).mayContinue(950 * MS));
    assertFalse(new SocketReads.Backlog(0, 900 * MS).mayContinue(951 * MS));
  }

  /** Guards against attempts for a client whose close is queued behind half of a large request. */
  @Test
  void requestWaitsWhileInputOfItsClientIsUnreadBehindIt() {
    SocketReads reads = new SocketReads(0);
    ReadBudget input = new ReadBudget();
    input.messageHandled();
    input.turnEnded(true, 100 * MS);
    assertTrue(reads.hasInputBehind(input, 1));
    reads.socketsRead(99 * MS);
    assertTrue(reads.hasInputBehind(input, 1));

    reads.socketsRead(100 * MS);
    assertFalse(reads.hasInputBehind(input, 1), "nothing was read from it since");
    input.turnEnded(true, 110 * MS);
    assertTrue(reads.hasInputBehind(input, 1));
    input.turnEnded(false, 120 * MS);
    assertFalse(reads.hasInputBehind(input, 1), "the last read has emptied the socket");

    input.turnEnded(true, 130 * MS);
    for (int message = 0; message < 65; message++) {
      input.messageHandled();
    }
    assertFalse(reads.hasInputBehind(input, 1), "the client sends without end");
  }

  @Test
  void usedRequestIdsAreBoundedInTimeAndNumber() {
    UsedRequestIds ids = new UsedRequestIds();
    ids.add("first", 0);
    assertTrue(ids.contains("first", 30_000 * MS));
    assertFalse(ids.contains("first", 30_001 * MS));
    ids.add("second", 100 * MS);
    for (int number = 0; number < 4095; number++) {
      ids.add("id" + number, 200 * MS);
    }
    assertTrue(ids.contains("second", 200 * MS));
    ids.add("last", 200 * MS);
    assertFalse(ids.contains("second", 200 * MS));
    assertTrue(ids.contains("last", 200 * MS));
  }

  @Test
  void acceptedConnectionsCarryTheLagUntilTheAcceptQueueIsEmpty() {
    AcceptLag<Integer> acceptLag = new AcceptLag<>();
    accept(acceptLag, 1, 1, 1000, 0);
    assertEquals(0, acceptLag.lagNanos(1, 1000 * MS));
    acceptLag.turnEnded(1000 * MS);
    accept(acceptLag, 2, 17, 2000, 900); // The first pass after a lag of 900 ms.
    acceptLag.turnEnded(2000 * MS);
    accept(acceptLag, 18, 33, 2030, 0);
    acceptLag.turnEnded(2030 * MS);
    accept(
        acceptLag, 34, 40, 2060, 0); // Fewer than the 16 that one pass accepts: the queue is empty.
    assertEquals(960, acceptLag.lagNanos(40, 2060 * MS) / MS);
    assertEquals(960, acceptLag.lagNanos(18, 2060 * MS) / MS);
    acceptLag.turnEnded(2060 * MS);
    accept(acceptLag, 41, 41, 2061, 0);
    assertEquals(0, acceptLag.lagNanos(41, 2061 * MS));
    acceptLag.turnEnded(2090 * MS);
    assertEquals(0, acceptLag.lagNanos(40, 2090 * MS), "bytes that arrive later were not queued");
  }

  private static void accept(
      AcceptLag<Integer> acceptLag, int first, int last, long nowMillis, long lagMillis) {
    for (int connection = first; connection <= last; connection++) {
      acceptLag.connectionAccepted(connection, nowMillis * MS, lagMillis * MS);
    }
  }
}
