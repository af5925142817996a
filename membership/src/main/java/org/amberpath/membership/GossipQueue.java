package org.amberpath.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The queue of updates that are still to be disseminated by piggybacking on other messages. A
 * receiver that is not alive is first sent the update about itself, so that a suspected member
 * learns of the suspicion immediately (Lifeguard's buddy system). The other updates follow in the
 * order of how often they were sent, the least sent first.
 *
 * <p>Bounds: one update per member. An update is sent {@value #RETRANSMIT_MULTIPLIER} times the bit
 * length of the number of counted members (about its binary logarithm), then dropped.
 */
final class GossipQueue {
  private static final int RETRANSMIT_MULTIPLIER = 3;

  private final MembershipTable table;
  private final LocalMember local;
  private final int maxUpdates;

  /** How often the current update about each member was sent, by the member's name. */
  private final Map<String, Integer> transmitCounts = new LinkedHashMap<>();

  GossipQueue(MembershipTable table, LocalMember local, int maxUpdates) {
    this.table = table;
    this.local = local;
    this.maxUpdates = maxUpdates;
  }

  /** Queues the current update about a member; an update that is already queued starts over. */
  void enqueue(String name) {
    transmitCounts.put(name, 0);
  }

  /** Selects the updates to piggyback on a message to this member, and counts them as sent. */
  List<MemberUpdate> updatesFor(MemberEntry receiver) {
    List<MemberUpdate> updates = new ArrayList<>();
    if (receiver.status() != MemberStatus.ALIVE) {
      updates.add(receiver.update);
    }
    int maxTransmits = RETRANSMIT_MULTIPLIER * bitLength(table.countedMembers());
    List<Map.Entry<String, Integer>> leastSentFirst = new ArrayList<>(transmitCounts.entrySet());
    leastSentFirst.sort(Map.Entry.comparingByValue());
    for (Map.Entry<String, Integer> queued : leastSentFirst) {
      if (updates.size() == maxUpdates) {
        break;
      }
      Optional<MemberUpdate> update = currentUpdate(queued.getKey());
      if (update.isEmpty() || queued.getValue() >= maxTransmits) {
        transmitCounts.remove(queued.getKey());
      } else if (!queued.getKey().equals(receiver.update.name())) {
        updates.add(update.get());
        transmitCounts.put(queued.getKey(), queued.getValue() + 1);
      }
    }
    return updates;
  }

  private Optional<MemberUpdate> currentUpdate(String name) {
    return table
        .find(name)
        .map(entry -> entry.update)
        .or(() -> name.equals(local.name()) ? Optional.of(local.update()) : Optional.empty());
  }

  private static int bitLength(int value) {
    return Integer.SIZE - Integer.numberOfLeadingZeros(value);
  }
}
