package org.amberpath.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The listed endpoints by index, and the subsets that requests of this zone can use. */
final class EndpointTable {
  private final String zone;
  private final Map<Integer, Endpoint> endpointsByIndex = new TreeMap<>();
  private Endpoint[] zoneEdges = {};
  private Endpoint[] parents = {};
  private Endpoint origin;
  private int upEdgeCount;

  /** Creates an empty table for a gateway in the given zone. */
  EndpointTable(String zone) {
    this.zone = zone;
  }

  /** Returns all listed endpoints, in the order of their indices. */
  Collection<Endpoint> all() {
    return endpointsByIndex.values();
  }

  /** Returns the edge caches of this gateway's zone. */
  Endpoint[] zoneEdges() {
    return zoneEdges;
  }

  /** Returns the parents of all zones. */
  Endpoint[] parents() {
    return parents;
  }

  /** Returns the origin; null if none is listed. */
  Endpoint origin() {
    return origin;
  }

  /** Returns the endpoint of the index; null if there is none. */
  Endpoint get(int index) {
    return endpointsByIndex.get(index);
  }

  /**
   * Returns the number of edge caches of all zones that were up when the last list was completed.
   */
  int upEdgeCount() {
    return upEdgeCount;
  }

  /** Returns the endpoint of the index; creates it if it is unknown. */
  Endpoint getOrAdd(int index, String id) {
    return endpointsByIndex.computeIfAbsent(index, missing -> new Endpoint(missing, id));
  }

  /**
   * Rebuilds the subsets when a list is complete, and removes the endpoints that are gone. Guards
   * against unbounded growth by ids that are listed and removed again.
   */
  void rebuild() {
    List<Endpoint> edges = new ArrayList<>();
    List<Endpoint> allParents = new ArrayList<>();
    origin = null;
    upEdgeCount = 0;
    for (Iterator<Endpoint> iterator = endpointsByIndex.values().iterator(); iterator.hasNext(); ) {
      Endpoint endpoint = iterator.next();
      if (endpoint.state == EndpointState.GONE) {
        iterator.remove();
      } else if (endpoint.isEdge()) {
        upEdgeCount += endpoint.isUp() ? 1 : 0;
        if (endpoint.zone.equals(zone)) {
          edges.add(endpoint);
        }
      } else if (endpoint.role == Endpoint.Role.PARENT) {
        allParents.add(endpoint);
      } else if (origin == null) {
        origin = endpoint;
      }
    }
    zoneEdges = edges.toArray(Endpoint[]::new);
    parents = allParents.toArray(Endpoint[]::new);
  }
}
