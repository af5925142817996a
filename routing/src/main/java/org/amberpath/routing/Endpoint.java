package org.amberpath.routing;

/** A cache, a parent or the origin, as it is listed, with what this gateway has learnt about it. */
final class Endpoint {
  /** What an endpoint is to the gateway, by the kind that it is listed under. */
  enum Role {
    EDGE,
    PARENT,
    ORIGIN
  }

  /** The number under which the gateway's socket side knows it. */
  final int index;

  /** Of its stable id, so that all gateways agree on the order of endpoints for a key. */
  final long hash;

  /** What it may be sent at once. */
  final ConcurrencyLimit limit;

  /** How far it has warmed up. */
  final WarmUp warmUp = new WarmUp();

  /** Whether it answers. */
  final EndpointHealth health = new EndpointHealth();

  Role role;
  EndpointState state;
  String zone;
  int cell;

  /** Its size in transfers at full pace where the site lists sizes, else 1. */
  double weight;

  /** An endpoint under a stable id, before the rest of its description is known. */
  Endpoint(int index, String id) {
    this.index = index;
    hash = RendezvousSelector.mix(id.hashCode());
    limit = new ConcurrencyLimit(warmUp::capacityFraction);
  }

  /** Whether it is an edge cache. */
  boolean isEdge() {
    return role == Role.EDGE;
  }

  /** Whether new requests may go to it or through it: neither draining nor gone. */
  boolean isUp() {
    return state == EndpointState.UP;
  }
}
