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
  private final List<MemberEntry> entries = new ArrayList<>();
  private int position;

  ProbeOrder(SplittableRandom random) {
    this.random = random;
  }

  void add(MemberEntry entry) {
    entries.add(random.nextInt(entries.size() + 1), entry);
  }

  /** Removes entries that are no longer in the table. */
  void removeStaleEntries(MembershipTable table) {
    entries.removeIf(entry -> !table.contains(entry));
    position = Math.min(position, entries.size());
  }

  /** Returns the next present member and advances the order; empty if no member is present. */
  Optional<MemberEntry> next() {
    for (int examined = 0; examined < entries.size(); examined++) {
      if (position >= entries.size()) {
        position = 0;
        shuffle();
      }
      MemberEntry next = entries.get(position++);
      if (next.isPresent()) {
        return Optional.of(next);
      }
    }
    return Optional.empty();
  }

  private void shuffle() {
    for (int last = entries.size() - 1; last > 0; last--) {
      int swapWith = random.nextInt(last + 1);
      MemberEntry swapped = entries.get(last);
      entries.set(last, entries.get(swapWith));
      entries.set(swapWith, swapped);
    }
  }
}
