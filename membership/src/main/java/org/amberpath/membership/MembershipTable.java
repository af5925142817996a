package org.amberpath.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * All other members that this process knows, by name, and how many of them are present and counted.
 * An update replaces the one that is held if it takes precedence by incarnation, and under the same
 * incarnation by status ({@link MemberUpdate#supersedes}).
 *
 * <p>Bounds: {@value #MAX_MEMBERS} members. A member that left is counted for {@value
 * #COUNTED_AFTER_LEAVE_PERIODS} periods more and remembered for {@value #REMEMBERED_PERIODS}.
 */
final class MembershipTable {
  private static final int MAX_MEMBERS = 2000;

  /** Long enough that the leave has reached all, so that no late update brings the name back. */
  private static final int REMEMBERED_PERIODS = 240;

  /**
   * Guards against a false update by which another left: for so long it is counted on, and can
   * refute the update.
   */
  private static final int COUNTED_AFTER_LEAVE_PERIODS = 24;

  private final NavigableMap<String, MemberEntry> entries = new TreeMap<>();
  private final String ownName;
  private final long ownNameHash;
  private final long periodNanos;
  private final int maxPageSize;
  private int countedNames;
  private int presentMembers;
  private long namesDigest;
  private long presentDigest;

  MembershipTable(String ownName, SwimTimings timings) {
    this.ownName = ownName;
    periodNanos = timings.probeIntervalNanos();
    maxPageSize = timings.maxUpdatesPerMessage();
    ownNameHash = NameDigest.hash(ownName);
    recount(0);
  }

  Optional<MemberEntry> find(String name) {
    return Optional.ofNullable(entries.get(name));
  }

  /** All entries, ordered by name. */
  Collection<MemberEntry> all() {
    return entries.values();
  }

  /** The page of the list that begins after a name, or at its beginning. */
  MemberPage page(Optional<String> after) {
    Collection<MemberEntry> rest = entries.tailMap(after.orElse(""), false).values();
    List<MemberUpdate> updates =
        rest.stream().limit(maxPageSize).map(entry -> entry.update).toList();
    return new MemberPage(updates, rest.stream().skip(maxPageSize).findAny().isPresent());
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Whether another name may be added. */
  boolean hasRoom() {
    return entries.size() < MAX_MEMBERS;
  }

  /** Adds a member that was not known before. */
  MemberEntry add(MemberUpdate update) {
    MemberEntry entry = new MemberEntry(update);
    entries.put(update.name(), entry);
    return entry;
  }

  /** Whether this very entry is still held. */
  boolean holds(MemberEntry entry) {
    return entries.get(entry.update.name()) == entry;
  }

  /** One of the entries that match, each as likely; draws no random number if none does. */
  Optional<MemberEntry> any(SplittableRandom random, Predicate<MemberEntry> matches) {
    List<MemberEntry> matching = entries.values().stream().filter(matches).toList();
    return matching.isEmpty()
        ? Optional.empty()
        : Optional.of(matching.get(random.nextInt(matching.size())));
  }

  /** The names of all that are present, this process's own among them, in their order. */
  List<String> presentNames() {
    List<String> names = new ArrayList<>(List.of(ownName));
    entries.values().stream()
        .filter(MemberEntry::isPresent)
        .forEach(entry -> names.add(entry.update.name()));
    names.sort(Comparator.naturalOrder());
    return names;
  }

  /**
   * Removes members that left long ago; whether there were any. Guards memory against names that
   * come and go for ever.
   */
  boolean removeLeft(long nowNanos) {
    return entries
        .values()
        .removeIf(
            entry ->
                entry.status() == MemberStatus.LEFT
                    && nowNanos - entry.changedAtNanos > REMEMBERED_PERIODS * periodNanos);
  }

  /** Whether a member counts in the division of shared limits: all do but those that left. */
  boolean isCounted(MemberEntry entry, long nowNanos) {
    return entry.status() != MemberStatus.LEFT
        || nowNanos - entry.changedAtNanos < COUNTED_AFTER_LEAVE_PERIODS * periodNanos;
  }

  /** Counts anew; to be called when a status has changed, and as time passes. */
  void recount(long nowNanos) {
    countedNames = 1;
    presentMembers = 1;
    namesDigest = ownNameHash;
    presentDigest = ownNameHash;
    for (MemberEntry entry : entries.values()) {
      if (entry.isPresent()) {
        presentDigest += entry.nameHash;
        presentMembers++;
      }
      if (isCounted(entry, nowNanos)) {
        countedNames++;
        namesDigest += entry.nameHash;
      }
    }
  }

  /** How many names count, this process's own among them. */
  int countedNames() {
    return countedNames;
  }

  /** How many members are present, this process among them. */
  int presentMembers() {
    return presentMembers;
  }

  /** A digest of the names that count. */
  long namesDigest() {
    return namesDigest;
  }

  /** A digest of the names of those that are present. */
  long presentDigest() {
    return presentDigest;
  }
}
