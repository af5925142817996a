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
  private final QuotaHolder lowShareHolder = new QuotaHolder(TIMINGS, 0, 1, USUAL, 0);
  private final QuotaHolder highShareHolder = new QuotaHolder(TIMINGS, 1, 1, USUAL, 0);

  /** Makes a request that is received, granted and applied at once; returns the granted amount. */
  private double grant(long now, QuotaHolder holder, double... wanted) {
    QuotaRequest request = holder.nextRequest(now, wanted);
    assertTrue(ledger.requestReceived(request));
    QuotaGrant grant = ledger.grant(now, request, wanted);
    assertEquals(QuotaHolder.GrantResult.APPLIED, holder.apply(now, grant));
    return grant.amounts()[0];
  }

  /**
   * Has {@link #lowShareHolder} apply a low share whose time the leader can bound, and confirm it.
   */
  private void confirmLowShare(long now) {
    grant(now, lowShareHolder, LOW);
    grant(now, lowShareHolder, LOW);
    assertTrue(ledger.requestReceived(lowShareHolder.nextRequest(now, LOW)));
  }

  @Test
  void shareIsRaisedOnlyAfterAnotherHolderConfirmsALowerOne() {
    assertEquals(2, grant(SECOND, lowShareHolder, LOW));
    assertEquals(10, grant(SECOND, highShareHolder, HIGH), "the low share is not confirmed yet");
    assertEquals(2, grant(2 * SECOND, lowShareHolder, LOW));
    assertEquals(
        10, grant(2 * SECOND, highShareHolder, HIGH), "the time of its request is not known yet");
    assertTrue(ledger.requestReceived(lowShareHolder.nextRequest(2 * SECOND, LOW)));
    assertEquals(18, grant(2 * SECOND, highShareHolder, HIGH));
  }

  @Test
  void raisedShareExpiresBeforeTheLoweredOneRampsUp() {
    confirmLowShare(SECOND);
    grant(SECOND, highShareHolder, HIGH);
    for (long now = SECOND; now < 20 * SECOND; now += SECOND / 100) {
      assertTrue(
          lowShareHolder.share(0, now) + highShareHolder.share(0, now) <= 20 + 1e-9, "at " + now);
    }
    assertEquals(18, highShareHolder.share(0, 2 * SECOND));
    assertEquals(10, highShareHolder.share(0, 3 * SECOND));
    assertEquals(2, lowShareHolder.share(0, 9 * SECOND - 1));
    assertEquals(10, lowShareHolder.share(0, 12 * SECOND));
  }

  @Test
  void lowShareReturnsToUsualShareWithoutAStep() {
    grant(SECOND, lowShareHolder, LOW);
    double before = lowShareHolder.share(0, SECOND);
    for (long now = SECOND; now < 14 * SECOND; now += SECOND / 100) {
      assertTrue(lowShareHolder.share(0, now) - before <= 0.05, "a step at " + now);
      before = lowShareHolder.share(0, now);
    }
    assertEquals(10, before);
  }

  @Test
  void restartedHolderKeepsMinimumShareForTheHoldTime() {
    confirmLowShare(SECOND);
    grant(SECOND, highShareHolder, HIGH);
    QuotaHolder restarted = new QuotaHolder(TIMINGS, 0, 2, USUAL, 2 * SECOND);
    assertEquals(1.25, restarted.share(0, 2 * SECOND));
    assertEquals(1.25, restarted.share(0, 10 * SECOND - 1));
  }

  @Test
  void lowShareOfRestartedHolderRaisesNoOther() {
    confirmLowShare(SECOND);
    grant(2 * SECOND, highShareHolder, HIGH);
    QuotaHolder restarted = new QuotaHolder(TIMINGS, 0, 2, USUAL, 2 * SECOND);
    assertEquals(2, grant(2 * SECOND, restarted, LOW));
    assertTrue(ledger.requestReceived(restarted.nextRequest(2 * SECOND, LOW)));
    assertTrue(ledger.inUse(0, 2 * SECOND) <= 20 + 1e-9);
  }

  @Test
  void grantOfOlderTermNumberOrRequestIsRejected() {
    QuotaRequest first = lowShareHolder.nextRequest(SECOND, LOW);
    QuotaRequest second = lowShareHolder.nextRequest(SECOND, LOW);
    assertEquals(
        QuotaHolder.GrantResult.APPLIED,
        lowShareHolder.apply(SECOND, new QuotaGrant(0, 1, second.sequenceNumber(), 3, 7, 0, LOW)));
    QuotaRequest third = lowShareHolder.nextRequest(SECOND, LOW);
    assertEquals(
        QuotaHolder.GrantResult.OLD_TERM,
        lowShareHolder.apply(SECOND, new QuotaGrant(0, 1, third.sequenceNumber(), 2, 9, 0, LOW)));
    assertEquals(
        QuotaHolder.GrantResult.OLD_NUMBER,
        lowShareHolder.apply(SECOND, new QuotaGrant(0, 1, third.sequenceNumber(), 3, 7, 0, LOW)));
    assertEquals(
        QuotaHolder.GrantResult.OLD_REQUEST,
        lowShareHolder.apply(SECOND, new QuotaGrant(0, 1, first.sequenceNumber(), 3, 8, 0, LOW)));
    assertEquals(
        QuotaHolder.GrantResult.UNKNOWN_REQUEST,
        lowShareHolder.apply(SECOND, new QuotaGrant(0, 1, 99, 3, 8, 0, LOW)));
    assertEquals(
        QuotaHolder.GrantResult.WRONG_RECIPIENT,
        lowShareHolder.apply(SECOND, new QuotaGrant(0, 2, third.sequenceNumber(), 3, 8, 0, LOW)));
    assertEquals(
        QuotaHolder.GrantResult.EXPIRED,
        lowShareHolder.apply(
            3 * SECOND, new QuotaGrant(0, 1, third.sequenceNumber(), 3, 8, 0, LOW)));
  }

  @Test
  void invalidGrantedAmountIsRaisedToMinimumShare() {
    QuotaRequest request = lowShareHolder.nextRequest(SECOND, LOW);
    lowShareHolder.apply(
        SECOND, new QuotaGrant(0, 1, request.sequenceNumber(), 1, 1, 0, new double[] {Double.NaN}));
    assertEquals(1.25, lowShareHolder.share(0, SECOND));
  }

  @Test
  void duplicateOrLateRequestIsNotAnswered() {
    QuotaRequest first = lowShareHolder.nextRequest(SECOND, LOW);
    QuotaRequest second = lowShareHolder.nextRequest(SECOND, LOW);
    assertTrue(ledger.requestReceived(second));
    assertFalse(ledger.requestReceived(second));
    assertFalse(ledger.requestReceived(first));
    assertFalse(ledger.requestReceived(new QuotaRequest(7, 1, 9, 0, 0, Long.MIN_VALUE, LOW)));
  }

  @Test
  void succeedingLedgerContinuesFromOutstandingGrants() {
    confirmLowShare(SECOND);
    grant(SECOND, highShareHolder, HIGH);
    ledger.requestReceived(lowShareHolder.nextRequest(SECOND, LOW));
    List<QuotaLedger.OutstandingGrant> outstanding = ledger.outstandingGrants(SECOND);
    // The next leader's clock is not synchronized with the first leader's.
    long other = 1000 * SECOND;
    QuotaLedger next =
        QuotaLedger.succeeding(
            TIMINGS, 2, bound, 2, new QuotaLedger.Handover(outstanding, other, other));
    assertEquals(20, next.inUse(0, other), 1e-9);
    QuotaRequest request = highShareHolder.nextRequest(SECOND + 1, HIGH);
    assertTrue(next.requestReceived(request));
    assertEquals(18, next.grant(other, request, HIGH).amounts()[0], 1e-9);
  }

  @Test
  void outstandingGrantsOfSilentMemberAreBounded() {
    int granted = 0;
    for (int attempt = 0; attempt < 100; attempt++) {
      QuotaRequest request = lowShareHolder.nextRequest(SECOND, LOW);
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
    IllegalArgumentException shortHold =
        assertThrows(
            IllegalArgumentException.class,
            () -> new QuotaTimings(GRANT_NANOS, GRANT_NANOS, 1000, 0.5));
    assertEquals(
        "quota timings out of bounds: grant 2000000000 ns (above 0), hold 2000000000 ns (at least"
            + " twice grant), clock drift 1000 ppm (0 to 100000), minimum fraction 0.5 (above 0, at"
            + " most 1)",
        shortHold.getMessage());
    assertThrows(
        IllegalArgumentException.class, () -> new QuotaTimings(GRANT_NANOS, HOLD_NANOS, 1000, 0));
  }
}
