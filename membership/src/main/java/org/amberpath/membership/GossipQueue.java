package org.amberpath.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The updates that are still to be spread, piggybacked on other messages: first the one about the
 * receiver itself, so that a suspected member hears of it at once (Lifeguard's buddy system), then
 * those that were sent least often.
 *
 * <p>Bounds: one update a member; each is sent as often as {@value #SPREAD_FACTOR} times the
 * doublings that make up the fleet's size, then dropped.
 */
final class GossipQueue {
  private static final int SPREAD_FACTOR = 3;

  private final MembershipTable table;
  private final LocalMember local;
  private final int maxUpdates;

  /** How often the newest update of each member was sent. */
  private final Map<String, Integer> sentCounts = new LinkedHashMap<>();

  GossipQueue(MembershipTable table, LocalMember local, int maxUpdates) {
    this.table = table;
    this.local = local;
    this.maxUpdates = maxUpdates;
  }

  /** The update of this member is new: it is spread from the beginning. */
  void enqueue(String name) {
    sentCounts.put(name, 0);
  }

  /** What goes along with a message to this member. */
  List<MemberUpdate> updatesFor(MemberEntry receiver) {
    List<MemberUpdate> updates = new ArrayList<>();
    if (receiver.status() != MemberStatus.ALIVE) {
      updates.add(receiver.update);
    }
    int maxSends = SPREAD_FACTOR * doublings(table.countedNames());
    List<Map.Entry<String, Integer>> leastSentFirst = new ArrayList<>(sentCounts.entrySet());
    leastSentFirst.sort(Map.Entry.comparingByValue());
    for (Map.Entry<String, Integer> queued : leastSentFirst) {
      if (updates.size() == maxUpdates) {
        break;
      }
      Optional<MemberUpdate> update = newest(queued.getKey());
      if (update.isEmpty() || queued.getValue() >= maxSends) {
        sentCounts.remove(queued.getKey());
      } else if (!queued.getKey().equals(receiver.update.name())) {
        updates.add(update.get());
        sentCounts.put(queued.getKey(), queued.getValue() + 1);
      }
    }
    return updates;
  }

  private Optional<MemberUpdate> newest(String name) {
    return table
        .find(name)
        .map(entry -> entry.update)
        .or(() -> name.equals(local.name()) ? Optional.of(local.update()) : Optional.empty());
  }

  private static int doublings(int members) {
    return Integer.SIZE - Integer.numberOfLeadingZeros(members);
  }
}
