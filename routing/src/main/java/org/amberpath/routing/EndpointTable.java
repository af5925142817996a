package org.amberpath.routing;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** The endpoints of the list by index, and those among them that requests of this zone can use. */
final class EndpointTable {
  private final String zone;
  private final Map<Integer, Endpoint> all = new TreeMap<>();
  private Endpoint[] zoneEdges = {};
  private Endpoint[] parents = {};
  private Endpoint origin;

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

  /** The endpoint of that index, made if it is not known yet. */
  Endpoint getOrAdd(int index, String id) {
    return all.computeIfAbsent(index, missing -> new Endpoint(missing, id));
  }

  /** How many endpoints answer to that. */
  int count(Predicate<Endpoint> which) {
    return (int) all.values().stream().filter(which).count();
  }

  /** A list is complete: drops what is gone. Guards against ids that come and go for ever. */
  void rebuild() {
    all.values().removeIf(endpoint -> endpoint.state == RoutingEvents.State.GONE);
    zoneEdges = select(endpoint -> endpoint.isEdge() && endpoint.zone.equals(zone));
    parents = select(endpoint -> endpoint.role == Endpoint.Role.PARENT);
    Endpoint[] origins = select(endpoint -> endpoint.role == Endpoint.Role.ORIGIN);
    origin = origins.length == 0 ? null : origins[0];
  }

  private Endpoint[] select(Predicate<Endpoint> which) {
    return all.values().stream().filter(which).toArray(Endpoint[]::new);
  }
}
