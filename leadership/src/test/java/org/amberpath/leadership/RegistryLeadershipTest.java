package org.amberpath.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Leader election by a lease in the registry, and when the lease expires by the leader's own clock.
 */
class RegistryLeadershipTest {
  private static final long SECOND = 1_000_000_000;
  private static final long LEASE = 3 * SECOND;
  private static final LeaseTimings TIMINGS = new LeaseTimings(LEASE, 2 * SECOND, 1000);

  private final List<String> commands = new ArrayList<>();
  private final RegistryLeadership leader =
      new RegistryLeadership(
          TIMINGS,
          new RegistryLeadership.Commands() {
            @Override
            public void campaign(long term, long revision, long requestedAtNanos) {
              commands.add("campaign " + term + " " + revision);
            }

            @Override
            public void keepAlive(long requestedAtNanos) {
              commands.add("keep");
            }

            @Override
            public void resign() {
              commands.add("resign");
            }
          },
          5);

  /** Has the process win term 5 as soon as the key is vacant; returns when it won. */
  private long winCampaign() {
    leader.keyObserved(0, 4, false, 9);
    long now = leader.nextTickNanos();
    leader.tick(now);
    assertTrue(leader.campaignWon(now, 5, now));
    return now;
  }

  /** Guards against two leaders where the answer to a campaign that was given up arrives late. */
  @Test
  void lateWinOfACampaignThatWasGivenUpIsNotUsed() {
    leader.keyObserved(0, 4, false, 9);
    long firstNanos = leader.nextTickNanos();
    leader.tick(firstNanos);
    long secondNanos = firstNanos + LEASE;
    leader.tick(secondNanos);
    assertEquals(List.of("campaign 5 9", "campaign 5 9"), commands);

    assertFalse(leader.campaignWon(secondNanos + 1, 5, firstNanos));
    leader.campaignLost(secondNanos + 2, firstNanos);
    assertEquals(Leadership.State.ASKING, leader.state());

    assertTrue(leader.campaignWon(secondNanos + 3, 5, secondNanos));
    assertEquals(
        secondNanos + TIMINGS.shortestNanos(LEASE) - LEASE / 8, leader.leaseExpiresAtNanos());
  }

  @Test
  void campaignsForNextTermOnceKeyIsVacant() {
    leader.keyObserved(0, 4, true, 8);
    leader.tick(SECOND);
    assertEquals(List.of(), commands);
    leader.keyObserved(SECOND, 4, false, 9);
    leader.tick(2 * SECOND);
    assertEquals(List.of("campaign 5 9"), commands);
  }

  @Test
  void newLeaderWaitsForFormerLeadersActions() {
    long now = winCampaign();
    assertEquals(Leadership.State.WAITING, leader.state());
    assertFalse(leader.isLeader(now));
    leader.tick(now + SECOND);
    leader.leaseRenewed(now + SECOND, now + SECOND);
    leader.tick(now + TIMINGS.longestNanos(2 * SECOND));
    assertTrue(leader.isLeader(now + TIMINGS.longestNanos(2 * SECOND)));
  }

  @Test
  void successorOfStoppedLeaderNeedNotWait() {
    long now = winCampaign();
    leader.predecessorStopped(now, 3);
    assertFalse(leader.isLeader(now));
    leader.predecessorStopped(now, 4);
    assertTrue(leader.isLeader(now));
  }

  @Test
  void leaseCountsFromRequestAndExpiresBeforeItDoesAtTheRegistry() {
    long now = winCampaign();
    leader.predecessorStopped(now, 4);
    leader.tick(now + SECOND);
    leader.leaseRenewed(now + 2 * SECOND, now + SECOND);
    assertTrue(leader.isLeader(now + 3 * SECOND));
    assertFalse(leader.isLeader(now + SECOND + LEASE - LEASE / 8));
  }

  @Test
  void suspendedLeaderHasNoLeaseWhenItResumes() {
    long now = winCampaign();
    leader.predecessorStopped(now, 4);
    assertFalse(leader.isLeader(now + 10 * SECOND));
    leader.tick(now + 10 * SECOND);
    assertEquals(Leadership.State.FOLLOWING, leader.state());
  }

  @Test
  void unansweredLeaseRenewalIsRepeatedInTime() {
    long now = winCampaign();
    leader.tick(now + SECOND);
    leader.renewalUnanswered(now + SECOND + SECOND / 2);
    leader.tick(leader.nextTickNanos());
    assertEquals(2, commands.stream().filter("keep"::equals).count());
  }

  @Test
  void observedHigherTermEndsLeadership() {
    long now = winCampaign();
    leader.predecessorStopped(now, 4);
    leader.keyObserved(now + 1, 6, true, 20);
    assertFalse(leader.isLeader(now + 1));
    leader.keyObserved(now + 2, 5, true, 12);
    assertFalse(leader.isLeader(now + 2));
  }

  @Test
  void resignedLeaderGivesUpTheKeyAndDoesNotCampaign() {
    long now = winCampaign();
    leader.predecessorStopped(now, 4);
    leader.resign(now + 1);
    assertFalse(leader.isLeader(now + 1));
    leader.keyObserved(now + 2, 5, false, 30);
    leader.tick(now + 20 * SECOND);
    assertEquals(List.of("campaign 5 9", "resign"), commands);
  }

  @Test
  void termsOfRestoredRegistryContinueAboveWhatRecipientsHaveSeen() {
    long now = winCampaign();
    leader.predecessorStopped(now, 4);
    leader.higherTermSeen(now, 40);
    assertFalse(leader.isLeader(now));
    leader.keyObserved(now + 1, 5, false, 12);
    leader.tick(leader.nextTickNanos());
    assertEquals(List.of("campaign 5 9", "resign", "campaign 41 12"), commands);
  }
}
