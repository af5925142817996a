package amberpath.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Who leads, and who must believe that it does no more. */
class LeadershipTest {
  private static final long SECOND = 1_000_000_000, LEASE = 3 * SECOND;
  private static final LeaseRules RULES = new LeaseRules(2 * SECOND, 8 * SECOND, 1000, 0.125);

  private final List<String> orders = new ArrayList<>();
  private final Leadership planner = new Leadership(RULES, new Leadership.Orders() {
    @Override public void campaign(long term, long changed) {
      orders.add("campaign " + term + " " + changed);
    }

    @Override public void keepAlive() {
      orders.add("keep");
    }

    @Override public void resign() {
      orders.add("resign");
    }
  }, LEASE, 5);

  /** Wins a term, with the try made at once. */
  private long won() {
    planner.seen(0, 4, false, 9);
    long now = planner.due();
    planner.tick(now);
    planner.won(now, 5);
    return now;
  }

  @Test
  void itTriesForTheNextTermOnceNobodyHoldsTheKey() {
    planner.seen(0, 4, true, 8);
    planner.tick(SECOND);
    assertEquals(List.of(), orders);
    planner.seen(SECOND, 4, false, 9);
    planner.tick(2 * SECOND);
    assertEquals(List.of("campaign 5 9"), orders);
  }

  @Test
  void aNewLeaderGrantsNothingUntilOldGrantsHaveRunOut() {
    long now = won();
    assertEquals(Leadership.State.WAITING, planner.state());
    assertFalse(planner.mayGrant(now));
    planner.tick(now + SECOND);
    planner.kept(now + SECOND);
    planner.tick(now + RULES.longest(2 * SECOND));
    assertTrue(planner.mayGrant(now + RULES.longest(2 * SECOND)));
  }

  @Test
  void whatItIsHandedItNeedNotWaitFor() {
    long now = won();
    planner.handedOver(now, 3);
    assertFalse(planner.mayGrant(now));
    planner.handedOver(now, 4);
    assertTrue(planner.mayGrant(now));
  }

  @Test
  void itsBeliefEndsBeforeTheRegistrysLeaseAndCountsFromTheAsking() {
    long now = won();
    planner.handedOver(now, 4);
    planner.tick(now + SECOND);
    planner.kept(now + 2 * SECOND);
    assertTrue(planner.mayGrant(now + 3 * SECOND));
    assertFalse(planner.mayGrant(now + SECOND + LEASE - LEASE / 8));
  }

  @Test
  void oneThatStoodStillGrantsNothingWhenItWakes() {
    long now = won();
    planner.handedOver(now, 4);
    assertFalse(planner.mayGrant(now + 10 * SECOND));
    planner.tick(now + 10 * SECOND);
    assertEquals(Leadership.State.FOLLOWING, planner.state());
  }

  @Test
  void aSignOfLifeThatIsNotHeardOfIsSentAgainInTime() {
    long now = won();
    planner.tick(now + SECOND);
    planner.unheard(now + SECOND + SECOND / 2);
    planner.tick(planner.due());
    assertEquals(2, orders.stream().filter("keep"::equals).count());
  }

  @Test
  void aHigherTermThatIsSeenEndsItsOwn() {
    long now = won();
    planner.handedOver(now, 4);
    planner.seen(now + 1, 6, true, 20);
    assertFalse(planner.mayGrant(now + 1));
    planner.seen(now + 2, 5, true, 12);
    assertFalse(planner.mayGrant(now + 2));
  }

  @Test
  void oneThatIsToldToStopLetsTheKeyGoAndTriesNoMore() {
    long now = won();
    planner.handedOver(now, 4);
    planner.resign(now + 1);
    assertFalse(planner.mayGrant(now + 1));
    planner.seen(now + 2, 5, false, 30);
    planner.tick(now + 20 * SECOND);
    assertEquals(List.of("campaign 5 9", "resign"), orders);
  }
}
