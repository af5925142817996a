package org.amberpath.lab.registry;

/** How an endpoint of a registry treats what is asked of it. */
public enum EndpointBehavior {
  /** It answers. */
  ANSWERS,

  /** It takes calls, and says nothing. */
  SILENT,

  /** It takes no connections. */
  REFUSES,

  /** It answers that it can't answer. */
  UNAVAILABLE,

  /** It lets nobody in. */
  UNAUTHORISED
}
