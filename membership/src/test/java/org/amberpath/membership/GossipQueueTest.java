package org.amberpath.membership;

import static org.amberpath.membership.ProtocolHarness.update;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which updates are piggybacked on a message, and how often. */
class GossipQueueTest {
  private static final int MAX_UPDATES = 4;

  private final MembershipTable table = new MembershipTable("me", SwimTimings.defaults(2));
  private final LocalMember local =
      new LocalMember(update("me", 5, MemberStatus.ALIVE), ProtocolHarness.PERIOD_NANOS, 0);
  private final GossipQueue queue = new GossipQueue(table, local, MAX_UPDATES);

  private MemberEntry add(String name, MemberStatus status) {
    MemberEntry entry = table.add(update(name, 1, status));
    queue.enqueue(name);
    table.recount(0);
    return entry;
  }

  private static List<String> names(List<MemberUpdate> updates) {
    return updates.stream().map(MemberUpdate::name).toList();
  }

  @Test
  void suspectedReceiverIsSentItsOwnUpdateFirst() {
    add("a", MemberStatus.ALIVE);
    MemberEntry suspected = add("b", MemberStatus.SUSPECTED);
    assertEquals(List.of("b", "a"), names(queue.updatesFor(suspected)));
  }

  @Test
  void leastSentUpdatesAreSentFirstUpToTheMaximumPerMessage() {
    MemberEntry receiver = add("r", MemberStatus.ALIVE);
    for (String name : List.of("a", "b", "c", "d", "e", "f")) {
      add(name, MemberStatus.ALIVE);
    }
    assertEquals(List.of("a", "b", "c", "d"), names(queue.updatesFor(receiver)));
    assertEquals(List.of("e", "f", "a", "b"), names(queue.updatesFor(receiver)));
  }

  @Test
  void updateIsDroppedAfterThreeTimesTheBitLengthOfTheFleetSize() {
    MemberEntry receiver = add("r", MemberStatus.ALIVE);
    add("a", MemberStatus.ALIVE);
    for (int sent = 0; sent < 6; sent++) {
      assertEquals(List.of("a"), names(queue.updatesFor(receiver)), "" + sent);
    }
    assertTrue(queue.updatesFor(receiver).isEmpty());
    queue.enqueue("a");
    assertEquals(List.of("a"), names(queue.updatesFor(receiver)), "a newer update starts over");
  }

  @Test
  void ownRefutationIsPiggybacked() {
    MemberEntry receiver = add("r", MemberStatus.ALIVE);
    local.raiseIncarnation(9);
    queue.enqueue("me");
    assertEquals(9, queue.updatesFor(receiver).get(0).incarnation());
  }
}
