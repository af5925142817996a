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
          new RegistryLeadership.Orders() {
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
    owner.seen(0, 4, false, 9);
    long now = owner.due();
    owner.tick(now);
    owner.won(now, 5);
    return now;
  }

  @Test
  void itTriesForTheNextTermOnceNobodyHoldsTheKey() {
    owner.seen(0, 4, true, 8);
    owner.tick(SECOND);
    assertEquals(List.of(), orders);
    owner.seen(SECOND, 4, false, 9);
    owner.tick(2 * SECOND);
    assertEquals(List.of("campaign 5 9"), orders);
  }

  @Test
  void aNewOwnerDoesNothingUntilWhatOlderOnesBeganHasRunOut() {
    long now = won();
    assertEquals(Leadership.State.WAITING, owner.state());
    assertFalse(owner.holds(now));
    owner.tick(now + SECOND);
    owner.kept(now + SECOND, now + SECOND);
    owner.tick(now + RULES.longest(2 * SECOND));
    assertTrue(owner.holds(now + RULES.longest(2 * SECOND)));
  }

  @Test
  void whatItIsHandedItNeedNotWaitFor() {
    long now = won();
    owner.handedOver(now, 3);
    assertFalse(owner.holds(now));
    owner.handedOver(now, 4);
    assertTrue(owner.holds(now));
  }

  @Test
  void itsBeliefEndsBeforeTheRegistrysLeaseAndCountsFromTheAsking() {
    long now = won();
    owner.handedOver(now, 4);
    owner.tick(now + SECOND);
    owner.kept(now + 2 * SECOND, now + SECOND);
    assertTrue(owner.holds(now + 3 * SECOND));
    assertFalse(owner.holds(now + SECOND + LEASE - LEASE / 8));
  }

  @Test
  void oneThatStoodStillHoldsNothingWhenItWakes() {
    long now = won();
    owner.handedOver(now, 4);
    assertFalse(owner.holds(now + 10 * SECOND));
    owner.tick(now + 10 * SECOND);
    assertEquals(Leadership.State.FOLLOWING, owner.state());
  }

  @Test
  void aSignOfLifeThatIsNotHeardOfIsSentAgainInTime() {
    long now = won();
    owner.tick(now + SECOND);
    owner.unheard(now + SECOND + SECOND / 2);
    owner.tick(owner.due());
    assertEquals(2, orders.stream().filter("keep"::equals).count());
  }

  @Test
  void aHigherTermThatIsSeenEndsItsOwn() {
    long now = won();
    owner.handedOver(now, 4);
    owner.seen(now + 1, 6, true, 20);
    assertFalse(owner.holds(now + 1));
    owner.seen(now + 2, 5, true, 12);
    assertFalse(owner.holds(now + 2));
  }

  @Test
  void oneThatIsToldToStopLetsTheKeyGoAndTriesNoMore() {
    long now = won();
    owner.handedOver(now, 4);
    owner.resign(now + 1);
    assertFalse(owner.holds(now + 1));
    owner.seen(now + 2, 5, false, 30);
    owner.tick(now + 20 * SECOND);
    assertEquals(List.of("campaign 5 9", "resign"), orders);
  }

  @Test
  void aRegistryFromABackupBeginsAboveWhatRecipientsHaveSeen() {
    long now = won();
    owner.handedOver(now, 4);
    owner.outranked(now, 40);
    assertFalse(owner.holds(now));
    owner.seen(now + 1, 5, false, 12);
    owner.tick(owner.due());
    assertEquals(List.of("campaign 5 9", "resign", "campaign 41 12"), orders);
  }
}
