package org.amberpath.lab.registry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;

/**
 * Endpoint listener that records the caches that a registry view has listed, and reports
 * violations: nested listings, a removal of a cache that is not listed, an unchanged cache that an
 * incremental listing repeats, and a repeated purge.
 */
final class RecordedEndpointList implements EndpointListener {
  private final LongSupplier clock;
  private final Consumer<String> trace;
  private final Consumer<String> violation;
  private final Map<String, RegistryRecord.Cache> caches = new TreeMap<>();
  private final Map<Long, Long> purgedAtNanos = new HashMap<>();
  private final Set<Long> purgedInThisHistory = new HashSet<>();
  private EndpointListener downstream;
  private long allPurgedAtNanos = Long.MIN_VALUE;
  private long listingCount;
  private boolean listing;
  private boolean fullListing;
  private boolean changedSinceCheck;
  private boolean repeatedPurgesAllowed;

  RecordedEndpointList(LongSupplier clock, Consumer<String> trace, Consumer<String> violation) {
    this.clock = clock;
    this.trace = trace;
    this.violation = violation;
  }

  /** Allows several purges of one object without a violation. */
  RecordedEndpointList allowRepeatedPurges() {
    repeatedPurgesAllowed = true;
    return this;
  }

  /** Forwards every event to another listener. */
  RecordedEndpointList forwardingTo(EndpointListener listener) {
    downstream = listener;
    return this;
  }

  /** The caches that are listed now, by id; only for the view's thread. */
  Map<String, RegistryRecord.Cache> caches() {
    return caches;
  }

  /** The state of each listed cache, by id; callable from any thread. */
  synchronized Map<String, EndpointState> endpointStates() {
    Map<String, EndpointState> states = new TreeMap<>();
    caches.forEach((id, cache) -> states.put(id, cache.state()));
    return states;
  }

  long listingCount() {
    return listingCount;
  }

  /** Whether a listing has started since the previous call of this method. */
  boolean checkAndClearChanged() {
    boolean changedBefore = changedSinceCheck;
    changedSinceCheck = false;
    return changedBefore;
  }

  boolean purgedSince(long object, long sinceNanos) {
    return purgedAtNanos.getOrDefault(object, Long.MIN_VALUE) >= sinceNanos
        || allPurgedAtNanos >= sinceNanos;
  }

  /** Resets duplicate detection after a restore: purges that the registry holds may be repeated. */
  void historyReplaced() {
    purgedInThisHistory.clear();
  }

  @Override
  public synchronized void endpointListStarted(EndpointListKind kind) {
    if (listing) {
      violation.accept("endpoint listing started before the previous listing completed");
    }
    trace.accept(
        kind == EndpointListKind.FULL ? "full listing started" : "incremental listing started");
    listing = true;
    fullListing = kind == EndpointListKind.FULL;
    changedSinceCheck = true;
    listingCount++;
    if (kind == EndpointListKind.FULL) {
      caches.clear();
      purgedInThisHistory.clear();
    }
    if (downstream != null) {
      downstream.endpointListStarted(kind);
    }
  }

  @Override
  public synchronized void endpointListed(ListedEndpoint endpoint) {
    RegistryRecord.Cache cache =
        new RegistryRecord.Cache(
            endpoint.id(),
            endpoint.address(),
            endpoint.zone(),
            endpoint.kind(),
            endpoint.cell(),
            endpoint.state(),
            endpoint.weight(),
            endpoint.startedAtMillis());
    if (endpoint.state() == EndpointState.GONE) {
      if (caches.remove(endpoint.id()) == null) {
        violation.accept("endpoint " + endpoint.id() + " reported as GONE but was not listed");
      }
    } else if (cache.equals(caches.put(endpoint.id(), cache)) && !fullListing) {
      violation.accept("endpoint " + endpoint.id() + " listed again without a change");
    }
    if (downstream != null) {
      downstream.endpointListed(endpoint);
    }
  }

  @Override
  public synchronized void endpointListCompleted() {
    listing = false;
    if (downstream != null) {
      downstream.endpointListCompleted();
    }
  }

  @Override
  public synchronized void objectPurged(long object, int group, long atMillis) {
    trace.accept("purge reported: object " + object + ", group " + group);
    if (group == ALL_GROUPS) {
      allPurgedAtNanos = clock.getAsLong();
    } else if (purgedInThisHistory.add(object) || repeatedPurgesAllowed) {
      purgedAtNanos.put(object, clock.getAsLong());
    } else {
      violation.accept("purge of object " + object + " reported twice");
    }
    if (downstream != null) {
      downstream.objectPurged(object, group, atMillis);
    }
  }
}
