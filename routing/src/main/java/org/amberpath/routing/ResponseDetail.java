package org.amberpath.routing;

/** How an endpoint came by its response, as far as the response says. The order is a wire form. */
public enum ResponseDetail {
  /** Nothing is said. */
  NONE,
  /** Answered from a fresh copy. */
  HIT,
  /** Filled from a parent cache. */
  FILLED,
  /** Filled from the origin, directly or through a parent. */
  FILLED_BY_ORIGIN,
  /** Coalesced with a fill that was already under way. */
  COALESCED,
  /** Answered from a copy past its fresh time. */
  STALE,
  /** The fill source rejected the fill. */
  FILL_REJECTED,
  /** The fill source could not be reached. */
  FILL_SOURCE_UNREACHABLE,
  /** The fill source was asked for a cached copy only and had none. */
  FILL_SOURCE_MISS,
  /** There was no space for the object. */
  NOT_STORED_NO_SPACE,
  /** The origin failed. */
  ORIGIN_FAILED
}
