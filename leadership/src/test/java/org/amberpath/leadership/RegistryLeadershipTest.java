package org.amberpath.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Who owns a task by a lease, and who must believe that it does no more. */
class RegistryLeadershipTest {
  private static final long SECOND = 1_000_000_000, LEASE = 3 * SECOND;
  private static final LeaseTimings RULES = new LeaseTimings(LEASE, 2 * SECOND, 1000);

  private final List<String> orders = new ArrayList<>();
  private final RegistryLeadership owner =
      new RegistryLeadership(
          RULES,
          new RegistryLeadership.Commands() {
            @Override
            public void campaign(long term, long changed) {
              orders.add("campaign " + term + " " + changed);
            }

            @Override
            public void keepAlive(long askedAt) {
              orders.add("keep");
            }

            @Override
            public void resign() {
              orders.add("resign");
            }
          },
          5);

  /** Wins a term, with the try made at once. */
  private long won() {
    owner.keyObserved(0, 4, false, 9);
    long now = owner.nextTickNanos();
    owner.tick(now);
    owner.campaignWon(now, 5);
    return now;
  }

  @Test
  void itTriesForTheNextTermOnceNobodyHoldsTheKey() {
    owner.keyObserved(0, 4, true, 8);
    owner.tick(SECOND);
    assertEquals(List.of(), orders);
    owner.keyObserved(SECOND, 4, false, 9);
    owner.tick(2 * SECOND);
    assertEquals(List.of("campaign 5 9"), orders);
  }

  @Test
  void aNewOwnerDoesNothingUntilWhatOlderOnesBeganHasRunOut() {
    long now = won();
    assertEquals(Leadership.State.WAITING, owner.state());
    assertFalse(owner.isLeader(now));
    owner.tick(now + SECOND);
    owner.leaseRenewed(now + SECOND, now + SECOND);
    owner.tick(now + RULES.longestNanos(2 * SECOND));
    assertTrue(owner.isLeader(now + RULES.longestNanos(2 * SECOND)));
  }

  @Test
  void whatItIsHandedItNeedNotWaitFor() {
    long now = won();
    owner.predecessorStopped(now, 3);
    assertFalse(owner.isLeader(now));
    owner.predecessorStopped(now, 4);
    assertTrue(owner.isLeader(now));
  }

  @Test
  void itsBeliefEndsBeforeTheRegistrysLeaseAndCountsFromTheAsking() {
    long now = won();
    owner.predecessorStopped(now, 4);
    owner.tick(now + SECOND);
    owner.leaseRenewed(now + 2 * SECOND, now + SECOND);
    assertTrue(owner.isLeader(now + 3 * SECOND));
    assertFalse(owner.isLeader(now + SECOND + LEASE - LEASE / 8));
  }

  @Test
  void oneThatStoodStillHoldsNothingWhenItWakes() {
    long now = won();
    owner.predecessorStopped(now, 4);
    assertFalse(owner.isLeader(now + 10 * SECOND));
    owner.tick(now + 10 * SECOND);
    assertEquals(Leadership.State.FOLLOWING, owner.state());
  }

  @Test
  void aSignOfLifeThatIsNotHeardOfIsSentAgainInTime() {
    long now = won();
    owner.tick(now + SECOND);
    owner.renewalUnanswered(now + SECOND + SECOND / 2);
    owner.tick(owner.nextTickNanos());
    assertEquals(2, orders.stream().filter("keep"::equals).count());
  }

  @Test
  void aHigherTermThatIsSeenEndsItsOwn() {
    long now = won();
    owner.predecessorStopped(now, 4);
    owner.keyObserved(now + 1, 6, true, 20);
    assertFalse(owner.isLeader(now + 1));
    owner.keyObserved(now + 2, 5, true, 12);
    assertFalse(owner.isLeader(now + 2));
  }

  @Test
  void oneThatIsToldToStopLetsTheKeyGoAndTriesNoMore() {
    long now = won();
    owner.predecessorStopped(now, 4);
    owner.resign(now + 1);
    assertFalse(owner.isLeader(now + 1));
    owner.keyObserved(now + 2, 5, false, 30);
    owner.tick(now + 20 * SECOND);
    assertEquals(List.of("campaign 5 9", "resign"), orders);
  }

  @Test
  void aRegistryFromABackupBeginsAboveWhatRecipientsHaveSeen() {
    long now = won();
    owner.predecessorStopped(now, 4);
    owner.higherTermSeen(now, 40);
    assertFalse(owner.isLeader(now));
    owner.keyObserved(now + 1, 5, false, 12);
    owner.tick(owner.nextTickNanos());
    assertEquals(List.of("campaign 5 9", "resign", "campaign 41 12"), orders);
  }
}
