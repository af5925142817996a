package org.amberpath.routing;

/**
 * How an endpoint produced its response, as far as the response states it. The order of the
 * constants is part of the wire format.
 */
public enum ResponseDetail {
  /** The response does not state it. */
  NONE,
  /** Served from a fresh copy. */
  HIT,
  /** Filled from a parent cache. */
  FILLED,
  /** Filled from the origin, directly or through a parent. */
  FILLED_BY_ORIGIN,
  /** Coalesced with a fill that was already in flight. */
  COALESCED,
  /** Served from a copy past its fresh time. */
  STALE,
  /** The fill source rejected the fill. */
  FILL_REJECTED,
  /** The fill source could not be reached. */
  FILL_SOURCE_UNREACHABLE,
  /** The fill source was asked for a cached copy only and had none. */
  FILL_SOURCE_MISS,
  /** The endpoint had no space to store the object. */
  NOT_STORED_NO_SPACE,
  /** The origin failed. */
  ORIGIN_FAILED
}
