package org.amberpath.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Grants and shares of a ledger and two holders, with a test for each way in which the sum of the
 * shares could exceed the bound.
 */
class QuotaLedgerTest {
  private static final long SECOND = 1_000_000_000;
  private static final long GRANT_NANOS = 2 * SECOND;
  private static final long HOLD_NANOS = 8 * SECOND;
  private static final QuotaTimings TIMINGS =
      new QuotaTimings(GRANT_NANOS, HOLD_NANOS, 1000, 0.125);
  private static final double[] USUAL = {10};
  private static final double[] LOW = {2};
  private static final double[] HIGH = {30};

  private final double[] bound = {20};
  private QuotaLedger ledger = new QuotaLedger(TIMINGS, 1, bound, 2);
  private final QuotaHolder giver = new QuotaHolder(TIMINGS, 0, 1, USUAL, 0);
  private final QuotaHolder taker = new QuotaHolder(TIMINGS, 1, 1, USUAL, 0);

  /** Makes a request that is received, granted and applied at once; returns the granted amount. */
  private double grant(long now, QuotaHolder to, double... wished) {
    QuotaRequest request = to.nextRequest(now, wished);
    assertTrue(ledger.requestReceived(request));
    QuotaGrant grant = ledger.grant(now, request, wished);
    assertEquals(QuotaHolder.GrantResult.APPLIED, to.apply(now, grant));
    return grant.amounts()[0];
  }

  /** Has the giver apply a low share whose time the leader can bound, and confirm it. */
  private void lend(long now) {
    grant(now, giver, LOW);
    grant(now, giver, LOW);
    assertTrue(ledger.requestReceived(giver.nextRequest(now, LOW)));
  }

  @Test
  void shareIsRaisedOnlyAfterAnotherHolderConfirmsALowerOne() {
    assertEquals(2, grant(SECOND, giver, LOW));
    assertEquals(10, grant(SECOND, taker, HIGH), "the low share is not confirmed yet");
    assertEquals(2, grant(2 * SECOND, giver, LOW));
    assertEquals(10, grant(2 * SECOND, taker, HIGH), "the time of its request is not known yet");
    assertTrue(ledger.requestReceived(giver.nextRequest(2 * SECOND, LOW)));
    assertEquals(18, grant(2 * SECOND, taker, HIGH));
  }

  @Test
  void raisedShareExpiresBeforeTheLoweredOneRampsUp() {
    lend(SECOND);
    grant(SECOND, taker, HIGH);
    for (long now = SECOND; now < 20 * SECOND; now += SECOND / 100) {
      assertTrue(giver.share(0, now) + taker.share(0, now) <= 20 + 1e-9, "at " + now);
    }
    assertEquals(18, taker.share(0, 2 * SECOND));
    assertEquals(10, taker.share(0, 3 * SECOND));
    assertEquals(2, giver.share(0, 9 * SECOND - 1));
    assertEquals(10, giver.share(0, 12 * SECOND));
  }

  @Test
  void usualShareReturnsWithoutAStep() {
    grant(SECOND, giver, LOW);
    double before = giver.share(0, SECOND);
    for (long now = SECOND; now < 14 * SECOND; now += SECOND / 100) {
      assertTrue(giver.share(0, now) - before <= 0.05, "a step at " + now);
      before = giver.share(0, now);
    }
    assertEquals(10, before);
  }

  @Test
  void restartedHolderKeepsMinimumShareForTheHoldTime() {
    lend(SECOND);
    grant(SECOND, taker, HIGH);
    QuotaHolder restarted = new QuotaHolder(TIMINGS, 0, 2, USUAL, 2 * SECOND);
    assertEquals(1.25, restarted.share(0, 2 * SECOND));
    assertEquals(1.25, restarted.share(0, 10 * SECOND - 1));
  }

  @Test
  void lowShareOfRestartedHolderRaisesNoOther() {
    lend(SECOND);
    grant(2 * SECOND, taker, HIGH);
    QuotaHolder restarted = new QuotaHolder(TIMINGS, 0, 2, USUAL, 2 * SECOND);
    assertEquals(2, grant(2 * SECOND, restarted, LOW));
    assertTrue(ledger.requestReceived(restarted.nextRequest(2 * SECOND, LOW)));
    assertTrue(ledger.inUse(0, 2 * SECOND) <= 20 + 1e-9);
  }

  @Test
  void grantOfOlderTermNumberOrRequestIsRejected() {
    QuotaRequest first = giver.nextRequest(SECOND, LOW);
    QuotaRequest second = giver.nextRequest(SECOND, LOW);
    assertEquals(
        QuotaHolder.GrantResult.APPLIED,
        giver.apply(SECOND, new QuotaGrant(0, 1, second.sequenceNumber(), 3, 7, 0, LOW)));
    QuotaRequest third = giver.nextRequest(SECOND, LOW);
    assertEquals(
        QuotaHolder.GrantResult.OLD_TERM,
        giver.apply(SECOND, new QuotaGrant(0, 1, third.sequenceNumber(), 2, 9, 0, LOW)));
    assertEquals(
        QuotaHolder.GrantResult.OLD_NUMBER,
        giver.apply(SECOND, new QuotaGrant(0, 1, third.sequenceNumber(), 3, 7, 0, LOW)));
    assertEquals(
        QuotaHolder.GrantResult.OLD_REQUEST,
        giver.apply(SECOND, new QuotaGrant(0, 1, first.sequenceNumber(), 3, 8, 0, LOW)));
    assertEquals(
        QuotaHolder.GrantResult.UNKNOWN_REQUEST,
        giver.apply(SECOND, new QuotaGrant(0, 1, 99, 3, 8, 0, LOW)));
    assertEquals(
        QuotaHolder.GrantResult.WRONG_RECIPIENT,
        giver.apply(SECOND, new QuotaGrant(0, 2, third.sequenceNumber(), 3, 8, 0, LOW)));
    assertEquals(
        QuotaHolder.GrantResult.EXPIRED,
        giver.apply(3 * SECOND, new QuotaGrant(0, 1, third.sequenceNumber(), 3, 8, 0, LOW)));
  }

  @Test
  void invalidGrantedAmountIsRaisedToMinimumShare() {
    QuotaRequest request = giver.nextRequest(SECOND, LOW);
    giver.apply(
        SECOND, new QuotaGrant(0, 1, request.sequenceNumber(), 1, 1, 0, new double[] {Double.NaN}));
    assertEquals(1.25, giver.share(0, SECOND));
  }

  @Test
  void duplicateOrLateRequestIsNotAnswered() {
    QuotaRequest first = giver.nextRequest(SECOND, LOW);
    QuotaRequest second = giver.nextRequest(SECOND, LOW);
    assertTrue(ledger.requestReceived(second));
    assertFalse(ledger.requestReceived(second));
    assertFalse(ledger.requestReceived(first));
    assertFalse(ledger.requestReceived(new QuotaRequest(7, 1, 9, 0, 0, Long.MIN_VALUE, LOW)));
  }

  @Test
  void succeedingLedgerContinuesFromOutstandingGrants() {
    lend(SECOND);
    grant(SECOND, taker, HIGH);
    ledger.requestReceived(giver.nextRequest(SECOND, LOW));
    List<QuotaLedger.OutstandingGrant> outstanding = ledger.outstandingGrants(SECOND);
    // The next leader's clock is not synchronized with the first leader's.
    long other = 1000 * SECOND;
    QuotaLedger next =
        QuotaLedger.succeeding(
            TIMINGS, 2, bound, 2, new QuotaLedger.Handover(outstanding, other, other));
    assertEquals(20, next.inUse(0, other), 1e-9);
    QuotaRequest request = taker.nextRequest(SECOND + 1, HIGH);
    assertTrue(next.requestReceived(request));
    assertEquals(18, next.grant(other, request, HIGH).amounts()[0], 1e-9);
  }

  @Test
  void outstandingGrantsOfSilentMemberAreBounded() {
    int granted = 0;
    for (int attempt = 0; attempt < 100; attempt++) {
      QuotaRequest request = giver.nextRequest(SECOND, LOW);
      ledger.requestReceived(
          new QuotaRequest(0, 1, request.sequenceNumber(), 0, 0, Long.MIN_VALUE, LOW));
      granted += ledger.grant(SECOND, request, LOW) == null ? 0 : 1;
    }
    assertEquals(16, granted);
  }

  @Property(tries = 300)
  void sharesExceedNeitherTheBoundNorWhatIsWanted(
      @ForAll @Size(min = 1, max = 30) List<@DoubleRange(min = 0, max = 50) Double> wanted) {
    double[] all = wanted.stream().mapToDouble(Double::doubleValue).toArray();
    double bound = all.length * 10;
    double floor = 1;
    double[] shares = MaxMinFairShare.of(bound, all, floor);
    assertTrue(Arrays.stream(shares).sum() <= bound + 1e-9);
    double largest = Arrays.stream(shares).max().orElseThrow();
    for (int index = 0; index < all.length; index++) {
      assertTrue(shares[index] <= Math.max(floor, all[index]) + 1e-9);
      // A share that is less than wanted is no less than any other share.
      assertTrue(shares[index] >= all[index] - 1e-9 || shares[index] >= largest - 1e-9);
    }
  }

  @Test
  void inconsistentTimingsAreRejected() {
    assertThrows(
        IllegalArgumentException.class,
        () -> new QuotaTimings(GRANT_NANOS, GRANT_NANOS, 1000, 0.5));
    assertThrows(
        IllegalArgumentException.class, () -> new QuotaTimings(GRANT_NANOS, HOLD_NANOS, 1000, 0));
  }
}
