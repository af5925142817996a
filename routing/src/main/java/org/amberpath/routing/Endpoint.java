package org.amberpath.routing;

/**
 * An edge cache, a parent cache or the origin, as it is listed, with the state that this gateway
 * keeps about it.
 */
final class Endpoint {
  /** The role of an endpoint, which follows from the kind under which it is listed. */
  enum Role {
    EDGE,
    PARENT,
    ORIGIN
  }

  /** The index under which actions and events identify the endpoint. */
  final int index;

  /**
   * Hash of the endpoint's stable id, so that all gateways agree on the order of endpoints for a
   * key.
   */
  final long hash;

  /** Limit on the requests in flight at the endpoint, or on the fills from it. */
  final ConcurrencyLimit limit;

  /** State of the endpoint's slow start. */
  final WarmUp warmUp = new WarmUp();

  /** State of the endpoint's outlier detection. */
  final EndpointHealth health = new EndpointHealth();

  Role role;
  EndpointState state;
  String zone;
  int cell;

  /**
   * The endpoint's size, as a number of transfers at full rate, if the configuration says that
   * weights are sizes, else 1.
   */
  double weight;

  /** Creates an endpoint with its index and stable id; the rest of its description is set later. */
  Endpoint(int index, String id) {
    this.index = index;
    hash = RendezvousSelector.mix(id.hashCode());
    limit = new ConcurrencyLimit(warmUp::capacityFraction);
  }

  /** Whether the endpoint is an edge cache. */
  boolean isEdge() {
    return role == Role.EDGE;
  }

  /**
   * Whether new requests may be sent to the endpoint or filled from it: it is neither draining nor
   * gone.
   */
  boolean isUp() {
    return state == EndpointState.UP;
  }
}
