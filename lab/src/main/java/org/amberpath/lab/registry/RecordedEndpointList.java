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

/** The caches as a registry's view has told them, and what is wrong with the way it did. */
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
  private boolean changedSinceAsked;
  private boolean repeatedPurgesAllowed;

  RecordedEndpointList(LongSupplier clock, Consumer<String> trace, Consumer<String> violation) {
    this.clock = clock;
    this.trace = trace;
    this.violation = violation;
  }

  /** One object may be purged more than once. */
  RecordedEndpointList allowRepeatedPurges() {
    repeatedPurgesAllowed = true;
    return this;
  }

  /** Passes all on to another listener too. */
  RecordedEndpointList forwardingTo(EndpointListener listener) {
    downstream = listener;
    return this;
  }

  /** Only for the thread that is told. */
  Map<String, RegistryRecord.Cache> caches() {
    return caches;
  }

  /** For any thread. */
  synchronized Map<String, EndpointState> endpointStates() {
    Map<String, EndpointState> states = new TreeMap<>();
    caches.forEach((id, cache) -> states.put(id, cache.state()));
    return states;
  }

  long listingCount() {
    return listingCount;
  }

  /** Whether a list has been told since this was asked last. */
  boolean takeChanged() {
    boolean changedBefore = changedSinceAsked;
    changedSinceAsked = false;
    return changedBefore;
  }

  boolean purgedSince(long object, long sinceNanos) {
    return purgedAtNanos.getOrDefault(object, Long.MIN_VALUE) >= sinceNanos
        || allPurgedAtNanos >= sinceNanos;
  }

  /** The registry is another one from here on: what it had may be told again. */
  void historyReplaced() {
    purgedInThisHistory.clear();
  }

  @Override
  public synchronized void endpointListStarted(EndpointListKind kind) {
    if (listing) {
      violation.accept("a listing within a listing");
    }
    trace.accept(kind == EndpointListKind.FULL ? "listing of all" : "listing");
    listing = true;
    fullListing = kind == EndpointListKind.FULL;
    changedSinceAsked = true;
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
        violation.accept(endpoint.id() + " is told gone, and was not there");
      }
    } else if (cache.equals(caches.put(endpoint.id(), cache)) && !fullListing) {
      violation.accept(endpoint.id() + " is told twice");
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
    trace.accept("told purge of " + object + ", group " + group);
    if (group == ALL_GROUPS) {
      allPurgedAtNanos = clock.getAsLong();
    } else if (purgedInThisHistory.add(object) || repeatedPurgesAllowed) {
      purgedAtNanos.put(object, clock.getAsLong());
    } else {
      violation.accept("purge " + object + " is told twice");
    }
    if (downstream != null) {
      downstream.objectPurged(object, group, atMillis);
    }
  }
}
