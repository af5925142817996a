package org.amberpath.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;

/**
 * Publishes the difference between two states of a view to the listener of endpoints and purges:
 * each change once, all changes of one state in one list. Times are nanoseconds since the Unix
 * epoch.
 */
final class EndpointChangePublisher {
  /** How far the clock of another process may be behind this one without a step. */
  static final long MAX_CLOCK_SKEW_NANOS = 2_000_000_000;

  private static final long MS = 1_000_000;

  private final EndpointListener listener;
  private final EndpointStartTimes startTimes = new EndpointStartTimes();

  EndpointChangePublisher(EndpointListener listener) {
    this.listener = listener;
  }

  /** Publishes all endpoints as a full list. */
  void publishAll(Collection<RegistryEntry> entries, long nowNanos) {
    listener.endpointListStarted(EndpointListKind.FULL);
    Set<String> ids = new HashSet<>();
    for (RegistryEntry entry : entries) {
      if (entry.value() instanceof RegistryRecord.Cache endpoint) {
        ids.add(endpoint.id());
        publishPresent(endpoint, nowNanos, MAX_CLOCK_SKEW_NANOS / MS);
      }
    }
    startTimes.retain(ids);
    listener.endpointListCompleted();
  }

  /** Publishes all purges of the view. */
  void publishAllPurges(Collection<RegistryEntry> entries, long nowNanos) {
    entries.forEach(entry -> publishPurge(null, entry, nowNanos));
  }

  /** Publishes that all cached copies from before now are purged. */
  void publishEverythingPurged(long nowNanos) {
    listener.objectPurged(0, EndpointListener.ALL_GROUPS, nowNanos / MS);
  }

  /** Publishes the purges that are new or changed. */
  void publishNewPurges(
      Map<String, RegistryEntry> before, Map<String, RegistryEntry> after, long nowNanos) {
    after.forEach((key, entry) -> publishPurge(before.get(key), entry, nowNanos));
  }

  /**
   * Publishes the difference in one list. An endpoint whose key was deleted and created again is
   * first published as removed, in a list of its own.
   *
   * @param changedKeys the keys to compare, in the order in which they are published
   */
  void publishChanges(
      Map<String, RegistryEntry> before,
      Map<String, RegistryEntry> after,
      Collection<String> changedKeys,
      long nowNanos) {
    List<RegistryRecord.Cache> recreated = new ArrayList<>();
    List<RegistryRecord.Cache> removed = new ArrayList<>();
    List<RegistryRecord.Cache> updated = new ArrayList<>();
    for (String key : changedKeys) {
      RegistryEntry oldEntry = before.get(key);
      RegistryEntry newEntry = after.get(key);
      RegistryRecord.Cache oldEndpoint = endpointOf(oldEntry);
      RegistryRecord.Cache newEndpoint = endpointOf(newEntry);
      if (oldEndpoint != null && newEndpoint == null) {
        removed.add(oldEndpoint);
      } else if (newEndpoint != null
          && oldEndpoint != null
          && oldEntry.createRevision() != newEntry.createRevision()) {
        recreated.add(oldEndpoint);
        updated.add(newEndpoint);
      } else if (newEndpoint != null && !newEndpoint.equals(oldEndpoint)) {
        updated.add(newEndpoint);
      }
    }
    publishList(recreated, List.of(), nowNanos);
    publishList(removed, updated, nowNanos);
    for (String key : changedKeys) {
      publishPurge(before.get(key), after.get(key), nowNanos);
    }
  }

  private static RegistryRecord.Cache endpointOf(RegistryEntry entry) {
    return entry != null && entry.value() instanceof RegistryRecord.Cache endpoint
        ? endpoint
        : null;
  }

  private void publishList(
      List<RegistryRecord.Cache> removed, List<RegistryRecord.Cache> updated, long nowNanos) {
    if (removed.isEmpty() && updated.isEmpty()) {
      return;
    }
    listener.endpointListStarted(EndpointListKind.CHANGES);
    removed.forEach(this::publishRemoved);
    // An endpoint that appeared while this view was kept has started since then, whatever its
    // writer's clock showed: within the largest step of that clock.
    updated.forEach(
        endpoint -> publishPresent(endpoint, nowNanos, EndpointStartTimes.MAX_CLOCK_STEP_MILLIS));
    listener.endpointListCompleted();
  }

  private void publishPresent(
      RegistryRecord.Cache endpoint, long nowNanos, long maxClockErrorMillis) {
    long startedAtMillis =
        startTimes.startedAt(
            endpoint.id(), endpoint.startedAtMs(), nowNanos / MS, maxClockErrorMillis);
    publish(endpoint, endpoint.state(), startedAtMillis);
  }

  private void publishRemoved(RegistryRecord.Cache endpoint) {
    startTimes.remove(endpoint.id());
    publish(endpoint, EndpointState.GONE, 0);
  }

  private void publish(RegistryRecord.Cache endpoint, EndpointState state, long startedAtMillis) {
    listener.endpointListed(
        new ListedEndpoint(
            endpoint.id(),
            endpoint.address(),
            endpoint.zone(),
            endpoint.kind(),
            endpoint.cell(),
            state,
            endpoint.weight(),
            startedAtMillis));
  }

  /**
   * Publishes a purge that is new to the view. It was committed after the view was last current and
   * no later than now, so now is published in place of the writer's timestamp, whose clock may have
   * stepped.
   */
  private void publishPurge(RegistryEntry before, RegistryEntry after, long nowNanos) {
    if (after != null
        && after.value() instanceof RegistryRecord.Purge purge
        && (before == null || !purge.equals(before.value()))) {
      listener.objectPurged(purge.object(), purge.group(), nowNanos / MS);
    }
  }
}
