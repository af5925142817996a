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
 * The table of all other members that this process knows, ordered by name, with the number of
 * present and of counted members. Counted members are those among which fleet-wide limits are
 * divided. {@link UpdateMerger} replaces the update of an entry by one that takes precedence
 * ({@link MemberUpdate#supersedes}).
 *
 * <p>Bounds: {@value #MAX_MEMBERS} members. After a member left, it is counted for another {@value
 * #LEFT_COUNTED_PERIODS} probe intervals and removed after {@value #LEFT_RETENTION_PERIODS}.
 */
final class MembershipTable {
  private static final int MAX_MEMBERS = 2000;

  /**
   * How many probe intervals the entry of a member that left is kept: long enough for the leave to
   * reach all members, so that no delayed update adds the name again.
   */
  private static final int LEFT_RETENTION_PERIODS = 240;

  /**
   * How many probe intervals a member is still counted after its leave. Guards against a false
   * update that reports a running member as left: the member has this time to refute the update.
   */
  private static final int LEFT_COUNTED_PERIODS = 24;

  private final NavigableMap<String, MemberEntry> entries = new TreeMap<>();
  private final String ownName;
  private final long ownNameHash;
  private final long periodNanos;
  private final int maxPageSize;
  private int countedMembers;
  private int presentMembers;
  private long countedDigest;
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

  /** Returns a live view of all entries, ordered by name. */
  Collection<MemberEntry> all() {
    return entries.values();
  }

  /** Returns the page of the member list that begins after a name, or the first page. */
  MemberPage page(Optional<String> after) {
    Collection<MemberEntry> remaining = entries.tailMap(after.orElse(""), false).values();
    List<MemberUpdate> updates =
        remaining.stream().limit(maxPageSize).map(entry -> entry.update).toList();
    return new MemberPage(updates, remaining.stream().skip(maxPageSize).findAny().isPresent());
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Whether the table has room for another member. */
  boolean hasRoom() {
    return entries.size() < MAX_MEMBERS;
  }

  /** Adds an entry for a member that is not in the table. */
  MemberEntry add(MemberUpdate update) {
    MemberEntry entry = new MemberEntry(update);
    entries.put(update.name(), entry);
    return entry;
  }

  /** Whether the table still contains this entry, and not another one for the same name. */
  boolean contains(MemberEntry entry) {
    return entries.get(entry.update.name()) == entry;
  }

  /** Returns a uniformly random matching entry; draws no random number if no entry matches. */
  Optional<MemberEntry> randomMember(SplittableRandom random, Predicate<MemberEntry> matches) {
    List<MemberEntry> matching = entries.values().stream().filter(matches).toList();
    return matching.isEmpty()
        ? Optional.empty()
        : Optional.of(matching.get(random.nextInt(matching.size())));
  }

  /** Returns the names of all present members including this process, sorted. */
  List<String> presentNames() {
    List<String> names = new ArrayList<>(List.of(ownName));
    entries.values().stream()
        .filter(MemberEntry::isPresent)
        .forEach(entry -> names.add(entry.update.name()));
    names.sort(Comparator.naturalOrder());
    return names;
  }

  /**
   * Removes members that left more than {@value #LEFT_RETENTION_PERIODS} probe intervals ago.
   * Guards against unbounded growth of the table when members with new names keep joining and
   * leaving.
   *
   * @return whether any member was removed
   */
  boolean removeExpiredLeft(long nowNanos) {
    return entries
        .values()
        .removeIf(
            entry ->
                entry.status() == MemberStatus.LEFT
                    && nowNanos - entry.statusChangedAtNanos
                        > LEFT_RETENTION_PERIODS * periodNanos);
  }

  /**
   * Whether a member is counted when fleet-wide limits are divided. All members are, except those
   * that left at least {@value #LEFT_COUNTED_PERIODS} probe intervals ago.
   */
  boolean isCounted(MemberEntry entry, long nowNanos) {
    return entry.status() != MemberStatus.LEFT
        || nowNanos - entry.statusChangedAtNanos < LEFT_COUNTED_PERIODS * periodNanos;
  }

  /**
   * Recomputes the counts and digests. Must be called after a status change and regularly, because
   * members that left cease to be counted as time passes.
   */
  void recount(long nowNanos) {
    countedMembers = 1;
    presentMembers = 1;
    countedDigest = ownNameHash;
    presentDigest = ownNameHash;
    for (MemberEntry entry : entries.values()) {
      if (entry.isPresent()) {
        presentDigest += entry.nameHash;
        presentMembers++;
      }
      if (isCounted(entry, nowNanos)) {
        countedMembers++;
        countedDigest += entry.nameHash;
      }
    }
  }

  /** Returns the number of counted members including this process. */
  int countedMembers() {
    return countedMembers;
  }

  /** Returns the number of present members including this process. */
  int presentMembers() {
    return presentMembers;
  }

  /** Returns the digest of the names of counted members including this process. */
  long countedDigest() {
    return countedDigest;
  }

  /** Returns the digest of the names of present members including this process. */
  long presentDigest() {
    return presentDigest;
  }
}
