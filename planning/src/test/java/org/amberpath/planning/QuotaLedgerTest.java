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
 * What is granted and what is held, one story for each way in which the sum could pass the bound.
 */
class QuotaLedgerTest {
  private static final long SECOND = 1_000_000_000, D = 2 * SECOND, H = 8 * SECOND;
  private static final QuotaTimings RULES = new QuotaTimings(D, H, 1000, 0.125);
  private static final double[] USUAL = {10}, LOW = {2}, HIGH = {30};

  private final double[] bound = {20};
  private QuotaLedger ledger = new QuotaLedger(RULES, 1, bound, 2);
  private final QuotaHolder giver = new QuotaHolder(RULES, 0, 1, USUAL, 0),
      taker = new QuotaHolder(RULES, 1, 1, USUAL, 0);

  /** An ask, heard, granted and taken at once; returns what was granted. */
  private double grant(long now, QuotaHolder to, double... wished) {
    QuotaRequest ask = to.nextRequest(now, wished);
    assertTrue(ledger.requestReceived(ask));
    QuotaGrant grant = ledger.grant(now, ask, wished);
    assertEquals(QuotaHolder.GrantResult.APPLIED, to.apply(now, grant));
    return grant.amounts()[0];
  }

  /** The giver takes a low share whose time the planner can bound, and has said so. */
  private void lend(long now) {
    grant(now, giver, LOW);
    grant(now, giver, LOW);
    assertTrue(ledger.requestReceived(giver.nextRequest(now, LOW)));
  }

  @Test
  void nobodyIsGrantedMoreUntilWhoGivesHasSaidThatItIsInForce() {
    assertEquals(2, grant(SECOND, giver, LOW));
    assertEquals(
        10, grant(SECOND, taker, HIGH), "it is not known yet that the low share was taken");
    assertEquals(2, grant(2 * SECOND, giver, LOW));
    assertEquals(10, grant(2 * SECOND, taker, HIGH), "it is not known yet when it was asked for");
    assertTrue(ledger.requestReceived(giver.nextRequest(2 * SECOND, LOW)));
    assertEquals(18, grant(2 * SECOND, taker, HIGH));
  }

  @Test
  void aShareAboveTheUsualEndsLongBeforeWhoGaveTakesItsOwnBack() {
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
  void theUsualShareComesBackWithoutAStep() {
    grant(SECOND, giver, LOW);
    double before = giver.share(0, SECOND);
    for (long now = SECOND; now < 14 * SECOND; now += SECOND / 100) {
      assertTrue(giver.share(0, now) - before <= 0.05, "a step at " + now);
      before = giver.share(0, now);
    }
    assertEquals(10, before);
  }

  @Test
  void whoStartsAnewKeepsToTheThinShareWhileOthersMayCountOnIt() {
    lend(SECOND);
    grant(SECOND, taker, HIGH);
    QuotaHolder anew = new QuotaHolder(RULES, 0, 2, USUAL, 2 * SECOND);
    assertEquals(1.25, anew.share(0, 2 * SECOND));
    assertEquals(1.25, anew.share(0, 10 * SECOND - 1));
  }

  @Test
  void whoStartedAnewAndWasNotHeardBeforeRaisesNothing() {
    lend(SECOND);
    grant(2 * SECOND, taker, HIGH);
    QuotaHolder anew = new QuotaHolder(RULES, 0, 2, USUAL, 2 * SECOND);
    assertEquals(2, grant(2 * SECOND, anew, LOW));
    assertTrue(ledger.requestReceived(anew.nextRequest(2 * SECOND, LOW)));
    assertTrue(ledger.inUse(0, 2 * SECOND) <= 20 + 1e-9);
  }

  @Test
  void aGrantOfAnOlderTermNumberOrAskIsPassedOver() {
    QuotaRequest first = giver.nextRequest(SECOND, LOW), second = giver.nextRequest(SECOND, LOW);
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
  void aPlannerThatLiesCanStarveNobody() {
    QuotaRequest ask = giver.nextRequest(SECOND, LOW);
    giver.apply(
        SECOND, new QuotaGrant(0, 1, ask.sequenceNumber(), 1, 1, 0, new double[] {Double.NaN}));
    assertEquals(1.25, giver.share(0, SECOND));
  }

  @Test
  void anAskThatComesTwiceOrLateIsNotAnswered() {
    QuotaRequest first = giver.nextRequest(SECOND, LOW), second = giver.nextRequest(SECOND, LOW);
    assertTrue(ledger.requestReceived(second));
    assertFalse(ledger.requestReceived(second));
    assertFalse(ledger.requestReceived(first));
    assertFalse(ledger.requestReceived(new QuotaRequest(7, 1, 9, 0, 0, Long.MIN_VALUE, LOW)));
  }

  @Test
  void thePlannerAfterOneThatStoppedGoesOnFromWhatWasLeft() {
    lend(SECOND);
    grant(SECOND, taker, HIGH);
    ledger.requestReceived(giver.nextRequest(SECOND, LOW));
    List<QuotaLedger.OutstandingGrant> left = ledger.outstandingGrants(SECOND);
    // By a clock that shows another time.
    long other = 1000 * SECOND;
    QuotaLedger next = QuotaLedger.succeeding(RULES, 2, bound, 2, left, other, other);
    assertEquals(20, next.inUse(0, other), 1e-9);
    QuotaRequest ask = taker.nextRequest(SECOND + 1, HIGH);
    assertTrue(next.requestReceived(ask));
    assertEquals(18, next.grant(other, ask, HIGH).amounts()[0], 1e-9);
  }

  @Test
  void aMemberThatIsNeverHeardIsGrantedNoMoreAfterABoundedNumber() {
    int granted = 0;
    for (int one = 0; one < 100; one++) {
      QuotaRequest ask = giver.nextRequest(SECOND, LOW);
      ledger.requestReceived(
          new QuotaRequest(0, 1, ask.sequenceNumber(), 0, 0, Long.MIN_VALUE, LOW));
      granted += ledger.grant(SECOND, ask, LOW) == null ? 0 : 1;
    }
    assertEquals(16, granted);
  }

  @Property(tries = 300)
  void sharesNeitherPassTheBoundNorWhatIsWanted(
      @ForAll @Size(min = 1, max = 30) List<@DoubleRange(min = 0, max = 50) Double> wanted) {
    double[] all = wanted.stream().mapToDouble(one -> one).toArray();
    double bound = all.length * 10, floor = 1;
    double[] shares = MaxMinFairShare.of(bound, all, floor);
    assertTrue(Arrays.stream(shares).sum() <= bound + 1e-9);
    double most = Arrays.stream(shares).max().orElseThrow();
    for (int one = 0; one < all.length; one++) {
      assertTrue(shares[one] <= Math.max(floor, all[one]) + 1e-9);
      // Who has less than it wants has no less than anybody.
      assertTrue(shares[one] >= all[one] - 1e-9 || shares[one] >= most - 1e-9);
    }
  }

  @Test
  void rulesThatCouldNotHoldAreRefused() {
    assertThrows(IllegalArgumentException.class, () -> new QuotaTimings(D, D, 1000, 0.5));
    assertThrows(IllegalArgumentException.class, () -> new QuotaTimings(D, H, 1000, 0));
  }
}
