package org.amberpath.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * The order in which members are probed: round-robin over a random permutation, which is shuffled
 * again after each round. A new member is inserted at a random position. As in SWIM, the
 * round-robin order bounds the time until a crash is detected.
 */
final class ProbeOrder {
  private final SplittableRandom random;
  private final List<MemberEntry> order = new ArrayList<>();
  private int position;

  ProbeOrder(SplittableRandom random) {
    this.random = random;
  }

  void add(MemberEntry entry) {
    order.add(random.nextInt(order.size() + 1), entry);
  }

  /** Removes entries that are no longer in the table. */
  void retain(MembershipTable table) {
    order.removeIf(entry -> !table.holds(entry));
    position = Math.min(position, order.size());
  }

  /** Returns the next present member and advances the order; empty if no member is present. */
  Optional<MemberEntry> next() {
    for (int tried = 0; tried < order.size(); tried++) {
      if (position >= order.size()) {
        position = 0;
        shuffle();
      }
      MemberEntry next = order.get(position++);
      if (next.isPresent()) {
        return Optional.of(next);
      }
    }
    return Optional.empty();
  }

  private void shuffle() {
    for (int last = order.size() - 1; last > 0; last--) {
      int other = random.nextInt(last + 1);
      MemberEntry moved = order.get(last);
      order.set(last, order.get(other));
      order.set(other, moved);
    }
  }
}
