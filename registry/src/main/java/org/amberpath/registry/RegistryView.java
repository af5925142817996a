package org.amberpath.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;

/**
 * What a gateway believes of the registry, and the news that it makes of every difference: each
 * told once, in the order of revisions, all keys of one revision in one listing. Times are
 * nanoseconds since the Unix epoch by one clock that only goes forward.
 *
 * <p>Bounds: mostKeys keys are held; one that would be past it is passed over with a complaint,
 * while those held go on being followed.
 */
public final class RegistryView {
  /** By how much the clock of another process may be behind this one without a step. */
  static final long MAX_CLOCK_SKEW_NANOS = 2_000_000_000;

  private static final long MS = 1_000_000;

  private final EndpointListener to;
  private final int mostKeys;
  private final long retention;
  private final String tipKey;
  private final Consumer<String> complaints;
  private final EndpointStartTimes starts = new EndpointStartTimes();
  private Map<String, RegistryEntry> keys = new TreeMap<>();
  private String clusterId = "";
  private long appliedRevision, confirmedAtNanos;
  private boolean hasData, surplus;

  /**
   * Makes an empty view.
   *
   * @param tipKey the key that each write touches
   * @param retention how long the registry keeps the key of a purge at least
   * @param complaints takes a line for each value that can't be read, the key first
   */
  public RegistryView(
      EndpointListener to,
      String tipKey,
      int mostKeys,
      long retention,
      Consumer<String> complaints) {
    this.to = to;
    this.tipKey = tipKey;
    this.mostKeys = mostKeys;
    this.retention = retention;
    this.complaints = complaints;
  }

  /** Whether anything was ever told: from the registry, or from a snapshot. */
  public boolean hasData() {
    return hasData;
  }

  /** All changes up to this revision are in the view. */
  public long appliedRevision() {
    return appliedRevision;
  }

  /** The revision of the last write of which the view knows. */
  public long tipRevision() {
    RegistryEntry tip = keys.get(tipKey);
    return tip == null ? 0 : tip.modRevision();
  }

  /** The registry's own id; empty where it tells none. */
  public String clusterId() {
    return clusterId;
  }

  /** At this time the view held all that the registry did. */
  public long confirmedAtNanos() {
    return confirmedAtNanos;
  }

  public int keyCount() {
    return keys.size();
  }

  /** What is held, by key. */
  public Collection<RegistryEntry> entries() {
    return Collections.unmodifiableCollection(keys.values());
  }

  public void confirm(long asOf) {
    confirmedAtNanos = Math.max(confirmedAtNanos, asOf);
  }

  /** The view as it was kept at another time: told as a whole list, with its true age. */
  public void restoreSnapshot(
      long now, Collection<RegistryEntry> kept, String ofCluster, long revision, long asOf) {
    keys = bounded(kept);
    clusterId = ofCluster;
    appliedRevision = revision;
    confirmedAtNanos = asOf;
    tellWhole(now, true);
  }

  /**
   * Takes all keys at one revision. Tells the difference, or all where nothing was known or the
   * registry is not the one that it was.
   *
   * @param asOf when that list was asked for
   * @param restored whether it is known to be another history of revisions
   */
  public void applySnapshot(
      long now,
      Collection<RegistryEntry> all,
      String ofCluster,
      long revision,
      long asOf,
      boolean restored) {
    boolean other = restored || (hasData && !ofCluster.equals(clusterId)) || isOtherHistory(all);
    boolean gap = hasData && asOf - confirmedAtNanos > retention;
    Map<String, RegistryEntry> before = keys;
    boolean first = !hasData;
    keys = bounded(all);
    keepLastGood(before, other);
    clusterId = ofCluster;
    appliedRevision = revision;
    if (first || other) {
      tellWhole(now, first);
      if (!first) {
        tellPurges(before, now);
      }
    } else {
      TreeSet<String> touched = new TreeSet<>(before.keySet());
      touched.addAll(keys.keySet());
      tell(before, touched, now);
    }
    // Guards against purges that came and went unseen: their keys are no longer there to be told.
    if (gap || (other && !first)) {
      to.objectPurged(0, EndpointListener.ALL_GROUPS, now / MS);
    }
    confirmedAtNanos = asOf;
  }

  /** A key that was written earlier than it is known to have been: revisions were given anew. */
  private boolean isOtherHistory(Collection<RegistryEntry> all) {
    for (RegistryEntry one : all) {
      RegistryEntry before = keys.get(one.key());
      if (before != null && one.modRevision() < before.modRevision()) {
        return hasData;
      }
    }
    return false;
  }

  /**
   * Takes all keys that were written after {@link #appliedRevision}, as they stand at a revision.
   *
   * @param count how many keys there are in all at that revision
   * @return whether that is the whole difference; otherwise keys were deleted too, and nothing was
   *     taken
   */
  public boolean applyWrites(
      long now, Collection<RegistryEntry> since, long count, long revision, long asOf) {
    long more = since.stream().filter(one -> !keys.containsKey(one.key())).count();
    if (surplus || keys.size() + more != count) {
      return false;
    }
    Map<String, RegistryEntry> before = new TreeMap<>();
    since.forEach(one -> put(before, one));
    appliedRevision = Math.max(appliedRevision, revision);
    tell(before, before.keySet(), now);
    confirm(asOf);
    return true;
  }

  /**
   * Takes the events of a watch, in the order of their revisions; those that are known are passed
   * over.
   */
  public void applyEvents(long now, List<WatchEvent> events) {
    int at = 0;
    while (at < events.size()) {
      long revision = events.get(at).revision();
      Map<String, RegistryEntry> before = new TreeMap<>();
      int end = at;
      for (; end < events.size() && events.get(end).revision() == revision; end++) {
        WatchEvent change = events.get(end);
        if (revision <= appliedRevision) {
          continue;
        }
        if (change.entry() == null) {
          before.putIfAbsent(change.key(), keys.remove(change.key()));
        } else {
          put(before, change.entry());
        }
      }
      at = end;
      if (revision > appliedRevision) {
        appliedRevision = revision;
        tell(before, before.keySet(), now);
      }
    }
  }

  /** All up to a revision has been told, though nothing of it was about these keys. */
  public void advanceTo(long revision) {
    appliedRevision = Math.max(appliedRevision, revision);
  }

  private void put(Map<String, RegistryEntry> before, RegistryEntry one) {
    RegistryEntry old = keys.get(one.key());
    if (old == null && keys.size() >= mostKeys) {
      overfull();
      return;
    }
    before.putIfAbsent(one.key(), old);
    keys.put(one.key(), lastGood(old, one));
  }

  private void overfull() {
    if (!surplus) {
      surplus = true;
      complaints.accept("more than " + mostKeys + " keys: those past it are passed over");
    }
  }

  private Map<String, RegistryEntry> bounded(Collection<RegistryEntry> all) {
    Map<String, RegistryEntry> made = new TreeMap<>();
    surplus = false;
    for (RegistryEntry one : all) {
      if (made.size() < mostKeys || made.containsKey(one.key())) {
        made.put(one.key(), one);
      } else {
        overfull();
      }
    }
    return made;
  }

  private void keepLastGood(Map<String, RegistryEntry> before, boolean other) {
    for (Map.Entry<String, RegistryEntry> entry : keys.entrySet()) {
      entry.setValue(lastGood(other ? null : before.get(entry.getKey()), entry.getValue()));
    }
  }

  /** A value that can't be read spoils its own key alone, and that only until it was good once. */
  private RegistryEntry lastGood(RegistryEntry old, RegistryEntry one) {
    if (!(one.value() instanceof RegistryRecord.Unreadable spoilt)) {
      return one;
    }
    if (old == null || old.modRevision() != one.modRevision()) {
      complaints.accept(one.key() + ": " + spoilt.reason());
    }
    return old != null && old.createRevision() == one.createRevision()
        ? one.withValue(old.value())
        : one;
  }

  private void tellWhole(long now, boolean withPurges) {
    hasData = true;
    to.endpointListStarted(EndpointListKind.FULL);
    Set<String> ids = new HashSet<>();
    for (RegistryEntry one : keys.values()) {
      if (one.value() instanceof RegistryRecord.Cache cache) {
        ids.add(cache.id());
        member(
            cache,
            cache.state(),
            starts.startedAt(cache.id(), cache.startedAtMs(), now / MS, MAX_CLOCK_SKEW_NANOS / MS));
      }
    }
    starts.retain(ids);
    to.endpointListCompleted();
    if (withPurges) {
      for (RegistryEntry one : keys.values()) {
        if (one.value() instanceof RegistryRecord.Purge purge) {
          // Guards against the writer's clock or this one, which may have stepped: it happened at
          // the latest now.
          to.objectPurged(purge.object(), purge.group(), now / MS);
        }
      }
    }
  }

  /**
   * One listing with what differs; a cache that was created anew goes in one of its own before it.
   */
  private void tell(Map<String, RegistryEntry> before, Collection<String> touched, long now) {
    List<RegistryRecord.Cache> replaced = new ArrayList<>(),
        gone = new ArrayList<>(),
        there = new ArrayList<>();
    for (String key : touched) {
      RegistryEntry old = before.get(key), held = keys.get(key);
      RegistryRecord.Cache was =
          old != null && old.value() instanceof RegistryRecord.Cache cache ? cache : null;
      RegistryRecord.Cache is =
          held != null && held.value() instanceof RegistryRecord.Cache cache ? cache : null;
      if (was != null && is == null) {
        gone.add(was);
      } else if (is != null && was != null && old.createRevision() != held.createRevision()) {
        replaced.add(was);
        there.add(is);
      } else if (is != null && !is.equals(was)) {
        there.add(is);
      }
    }
    if (!replaced.isEmpty()) {
      to.endpointListStarted(EndpointListKind.CHANGES);
      replaced.forEach(this::gone);
      to.endpointListCompleted();
    }
    if (!gone.isEmpty() || !there.isEmpty()) {
      to.endpointListStarted(EndpointListKind.CHANGES);
      gone.forEach(this::gone);
      // One that this view saw come started since, whatever its writer's clock had: within a step
      // of it.
      there.forEach(
          cache ->
              member(
                  cache,
                  cache.state(),
                  starts.startedAt(
                      cache.id(),
                      cache.startedAtMs(),
                      now / MS,
                      EndpointStartTimes.MAX_CLOCK_STEP_MILLIS)));
      to.endpointListCompleted();
    }
    for (String key : touched) {
      purged(before.get(key), keys.get(key), now);
    }
  }

  private void tellPurges(Map<String, RegistryEntry> before, long now) {
    keys.forEach((key, held) -> purged(before.get(key), held, now));
  }

  /** A purge that is new to the view was committed since it was last proven: at the latest now. */
  private void purged(RegistryEntry old, RegistryEntry held, long now) {
    if (held != null
        && held.value() instanceof RegistryRecord.Purge purge
        && (old == null || !purge.equals(old.value()))) {
      to.objectPurged(purge.object(), purge.group(), now / MS);
    }
  }

  private void gone(RegistryRecord.Cache cache) {
    starts.remove(cache.id());
    member(cache, EndpointState.GONE, 0);
  }

  private void member(RegistryRecord.Cache cache, EndpointState state, long startedAtMs) {
    to.endpointListed(
        new ListedEndpoint(
            cache.id(),
            cache.address(),
            cache.zone(),
            cache.kind(),
            cache.cell(),
            state,
            cache.weight(),
            startedAtMs));
  }
}
