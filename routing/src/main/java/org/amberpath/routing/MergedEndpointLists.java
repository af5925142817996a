package org.amberpath.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Merges the endpoint lists of several authoritative discovery sources while endpoints move from
 * one source to another: the most restrictive state of an endpoint holds. An endpoint that only
 * some sources list is reported as they list it. One that any source listed and then removed is
 * gone until that source lists it again, or until no source lists it any more.
 *
 * <p>Memory is bounded by the endpoints that the sources list. All calls come on the event loop
 * that owns the gateway.
 */
public final class MergedEndpointLists {
  private final EndpointListener listener;
  private final List<Source> sources = new ArrayList<>();
  private final Map<String, ListedEndpoint> reported = new HashMap<>();
  private boolean isFirstList = true;

  /** Creates a merger without sources that reports the merged list to the listener. */
  public MergedEndpointLists(EndpointListener listener) {
    this.listener = listener;
  }

  /**
   * Adds a source, which reports its list to the returned listener. If two sources agree on an
   * endpoint's state, the rest of its description comes from the source that was added first.
   */
  public EndpointListener addSource() {
    Source source = new Source();
    sources.add(source);
    return source;
  }

  /** Returns the most restrictive description of an endpoint; null if no source has it. */
  private ListedEndpoint merge(String id) {
    ListedEndpoint mostRestrictive = null;
    for (Source source : sources) {
      ListedEndpoint endpoint = source.endpoints.get(id);
      if (endpoint != null
          && (mostRestrictive == null || endpoint.state().compareTo(mostRestrictive.state()) > 0)) {
        mostRestrictive = endpoint;
      }
    }
    return mostRestrictive;
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
  }

  private final class Source implements EndpointListener {
    private final Map<String, ListedEndpoint> endpoints = new HashMap<>();
    private final Set<String> changedIds = new LinkedHashSet<>();

    @Override
    public void endpointListStarted(EndpointListKind kind) {
      changedIds.clear();
      if (kind == EndpointListKind.FULL) {
        changedIds.addAll(endpoints.keySet());
        endpoints.replaceAll(
            (id, endpoint) -> withAddressAndState(endpoint, "", EndpointState.GONE));
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
              ? withAddressAndState(endpoint, previous.address(), endpoint.state())
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

  private static ListedEndpoint withAddressAndState(
      ListedEndpoint endpoint, String address, EndpointState state) {
    return new ListedEndpoint(
        endpoint.id(),
        address,
        endpoint.zone(),
        endpoint.kind(),
        endpoint.cell(),
        state,
        endpoint.weight(),
        endpoint.startedAtMillis());
  }
}
