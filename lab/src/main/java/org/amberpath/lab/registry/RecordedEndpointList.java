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
  private final Consumer<String> story, wrong;
  private final Map<String, RegistryRecord.Cache> caches = new TreeMap<>();
  private final Map<Long, Long> purgedAt = new HashMap<>();
  private final Set<Long> purgedHere = new HashSet<>();
  private EndpointListener next;
  private long everythingAt = Long.MIN_VALUE, listings;
  private boolean listing, whole, changed, purgedOften;

  RecordedEndpointList(LongSupplier clock, Consumer<String> story, Consumer<String> wrong) {
    this.clock = clock;
    this.story = story;
    this.wrong = wrong;
  }

  /** One object may be purged more than once. */
  RecordedEndpointList purgedOften() {
    purgedOften = true;
    return this;
  }

  /** Passes all on to another listener too. */
  RecordedEndpointList to(EndpointListener other) {
    next = other;
    return this;
  }

  /** Only for the thread that is told. */
  Map<String, RegistryRecord.Cache> caches() {
    return caches;
  }

  /** For any thread. */
  synchronized Map<String, EndpointState> states() {
    Map<String, EndpointState> states = new TreeMap<>();
    caches.forEach((id, cache) -> states.put(id, cache.state()));
    return states;
  }

  long listings() {
    return listings;
  }

  /** Whether a list has been told since this was asked last. */
  boolean changed() {
    boolean was = changed;
    changed = false;
    return was;
  }

  boolean purgedSince(long object, long at) {
    return purgedAt.getOrDefault(object, Long.MIN_VALUE) >= at || everythingAt >= at;
  }

  /** The registry is another one from here on: what it had may be told again. */
  void otherHistory() {
    purgedHere.clear();
  }

  @Override
  public synchronized void endpointListStarted(EndpointListKind kind) {
    if (listing) {
      wrong.accept("a listing within a listing");
    }
    story.accept(kind == EndpointListKind.FULL ? "listing of all" : "listing");
    listing = true;
    whole = kind == EndpointListKind.FULL;
    changed = true;
    listings++;
    if (kind == EndpointListKind.FULL) {
      caches.clear();
      purgedHere.clear();
    }
    if (next != null) {
      next.endpointListStarted(kind);
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
        wrong.accept(endpoint.id() + " is told gone, and was not there");
      }
    } else if (cache.equals(caches.put(endpoint.id(), cache)) && !whole) {
      wrong.accept(endpoint.id() + " is told twice");
    }
    if (next != null) {
      next.endpointListed(endpoint);
    }
  }

  @Override
  public synchronized void endpointListCompleted() {
    listing = false;
    if (next != null) {
      next.endpointListCompleted();
    }
  }

  @Override
  public synchronized void objectPurged(long object, int group, long atMs) {
    story.accept("told purge of " + object + ", group " + group);
    if (group == ALL_GROUPS) {
      everythingAt = clock.getAsLong();
    } else if (purgedHere.add(object) || purgedOften) {
      purgedAt.put(object, clock.getAsLong());
    } else {
      wrong.accept("purge " + object + " is told twice");
    }
    if (next != null) {
      next.objectPurged(object, group, atMs);
    }
  }
}
