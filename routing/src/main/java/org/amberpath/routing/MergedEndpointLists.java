package org.amberpath.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Merges the endpoint lists of several authoritative discovery sources while endpoints move from
 * one source to another. What the sources list of one endpoint is merged field by field, on the
 * safe side, by {@link EndpointListingMerge}: any source may know of a drain or of a restart that
 * the others do not. An endpoint that only some sources list is reported as they list it. One that
 * any source listed and then removed is gone until that source lists it again, or until no source
 * lists it any more.
 *
 * <p>Memory is bounded by the endpoints that the sources list. All calls come on the event loop
 * that owns the gateway.
 */
public final class MergedEndpointLists {
  private final EndpointListener listener;
  private final List<Source> sources = new ArrayList<>();
  private final Map<String, ListedEndpoint> reported = new HashMap<>();

  /** The contradictions that were reported, by endpoint id, so that each is reported once. */
  private final Map<String, String> reportedContradictions = new HashMap<>();

  /** Cells that no source lists, by endpoint id; the configuration's cells are not negative. */
  private final Map<String, Integer> isolatedCells = new HashMap<>();

  private final BiConsumer<String, String> contradictionListener;
  private int lastIsolatedCell;
  private boolean isFirstList = true;

  /**
   * Creates a merger without sources.
   *
   * @param listener receives the merged list
   * @param contradictionListener receives, once for each endpoint id, the fields on which the
   *     sources contradict each other, with what each of them lists
   */
  public MergedEndpointLists(
      EndpointListener listener, BiConsumer<String, String> contradictionListener) {
    this.listener = listener;
    this.contradictionListener = contradictionListener;
  }

  /**
   * Adds a source, which reports its list to the returned listener. Where sources contradict each
   * other on an endpoint's address, zone or kind, the one that was added first holds; for the
   * address, the one with the latest start of the endpoint.
   *
   * @param name the source's name in contradictions
   */
  public EndpointListener addSource(String name) {
    Source source = new Source(name);
    sources.add(source);
    return source;
  }

  /** Returns the merged description of an endpoint; null if no source has it. */
  private ListedEndpoint merge(String id) {
    Map<String, ListedEndpoint> listings = new LinkedHashMap<>();
    for (Source source : sources) {
      ListedEndpoint endpoint = source.endpoints.get(id);
      if (endpoint != null) {
        listings.put(source.name, endpoint);
      }
    }
    if (listings.isEmpty()) {
      return null;
    }
    reportContradictions(id, EndpointListingMerge.contradictions(listings));
    return EndpointListingMerge.merge(
        listings, isolatedCells.computeIfAbsent(id, added -> --lastIsolatedCell));
  }

  private void reportContradictions(String id, String contradictions) {
    if (contradictions.isEmpty()) {
      reportedContradictions.remove(id);
    } else if (!contradictions.equals(reportedContradictions.put(id, contradictions))) {
      contradictionListener.accept(id, contradictions);
    }
  }

  private void report(String id) {
    ListedEndpoint endpoint = merge(id);
    ListedEndpoint previous = reported.get(id);
    boolean isGone = endpoint != null && endpoint.state() == EndpointState.GONE;
    if (endpoint == null || endpoint.equals(previous) || (isGone && previous == null)) {
      return;
    }
    listener.endpointListed(endpoint);
    if (isGone) {
      reported.remove(id);
    } else {
      reported.put(id, endpoint);
    }
  }

  /** Removes an endpoint from all sources once each of them lists it as gone or not at all. */
  private void removeIfGoneEverywhere(String id) {
    for (Source source : sources) {
      ListedEndpoint endpoint = source.endpoints.get(id);
      if (endpoint != null && endpoint.state() != EndpointState.GONE) {
        return;
      }
    }
    sources.forEach(source -> source.endpoints.remove(id));
    reportedContradictions.remove(id);
    isolatedCells.remove(id);
  }

  private final class Source implements EndpointListener {
    private final String name;
    private final Map<String, ListedEndpoint> endpoints = new HashMap<>();
    private final Set<String> changedIds = new LinkedHashSet<>();

    Source(String name) {
      this.name = name;
    }

    @Override
    public void endpointListStarted(EndpointListKind kind) {
      changedIds.clear();
      if (kind == EndpointListKind.FULL) {
        changedIds.addAll(endpoints.keySet());
        endpoints.replaceAll(
            (id, endpoint) -> endpoint.withAddressAndState("", EndpointState.GONE));
      }
    }

    @Override
    public void endpointListed(ListedEndpoint endpoint) {
      ListedEndpoint previous = endpoints.get(endpoint.id());
      if (endpoint.state() == EndpointState.GONE && previous == null) {
        return;
      }
      boolean keepsAddress = endpoint.address().isEmpty() && previous != null;
      endpoints.put(
          endpoint.id(),
          keepsAddress
              ? endpoint.withAddressAndState(previous.address(), endpoint.state())
              : endpoint);
      changedIds.add(endpoint.id());
    }

    @Override
    public void endpointListCompleted() {
      listener.endpointListStarted(isFirstList ? EndpointListKind.FULL : EndpointListKind.CHANGES);
      isFirstList = false;
      for (String id : changedIds) {
        report(id);
        removeIfGoneEverywhere(id);
      }
      listener.endpointListCompleted();
      changedIds.clear();
    }

    @Override
    public void objectPurged(long object, int group, long atMillis) {
      listener.objectPurged(object, group, atMillis);
    }
  }
}
