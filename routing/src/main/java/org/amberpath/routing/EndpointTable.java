package org.amberpath.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The endpoints of the list by index, and those among them that requests of this zone can use. */
final class EndpointTable {
  private final String zone;
  private final Map<Integer, Endpoint> all = new TreeMap<>();
  private Endpoint[] zoneEdges = {};
  private Endpoint[] parents = {};
  private Endpoint origin;
  private int upEdges;

  /** An empty table of a gateway in that zone. */
  EndpointTable(String zone) {
    this.zone = zone;
  }

  /** All endpoints that are listed, in the order of their indices. */
  Collection<Endpoint> all() {
    return all.values();
  }

  /** The edge caches of this gateway's zone. */
  Endpoint[] zoneEdges() {
    return zoneEdges;
  }

  /** The parents of all zones. */
  Endpoint[] parents() {
    return parents;
  }

  /** The origin; null where none is listed. */
  Endpoint origin() {
    return origin;
  }

  /** The endpoint of that index, or null. */
  Endpoint get(int index) {
    return all.get(index);
  }

  /** How many edge caches of all zones were up when the list was complete. */
  int upEdges() {
    return upEdges;
  }

  /** The endpoint of that index, made if it is not known yet. */
  Endpoint getOrAdd(int index, String id) {
    return all.computeIfAbsent(index, missing -> new Endpoint(missing, id));
  }

  /**
   * A list is complete: drops what is gone, in one pass. Guards against ids that come and go for
   * ever.
   */
  void rebuild() {
    List<Endpoint> edges = new ArrayList<>();
    List<Endpoint> parentsOfAll = new ArrayList<>();
    origin = null;
    upEdges = 0;
    for (Iterator<Endpoint> each = all.values().iterator(); each.hasNext(); ) {
      Endpoint endpoint = each.next();
      if (endpoint.state == EndpointState.GONE) {
        each.remove();
      } else if (endpoint.isEdge()) {
        upEdges += endpoint.isUp() ? 1 : 0;
        if (endpoint.zone.equals(zone)) {
          edges.add(endpoint);
        }
      } else if (endpoint.role == Endpoint.Role.PARENT) {
        parentsOfAll.add(endpoint);
      } else if (origin == null) {
        origin = endpoint;
      }
    }
    zoneEdges = edges.toArray(Endpoint[]::new);
    parents = parentsOfAll.toArray(Endpoint[]::new);
  }
}
