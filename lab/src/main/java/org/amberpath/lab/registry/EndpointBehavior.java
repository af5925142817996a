package org.amberpath.lab.registry;

/** Fault mode of a registry endpoint: how the endpoint treats requests and connections. */
public enum EndpointBehavior {
  /** Answers requests. */
  ANSWERS,

  /** Accepts requests and sends nothing. */
  SILENT,

  /** Refuses connections. */
  REFUSES,

  /** Answers each request with an error that reports the registry as unavailable. */
  UNAVAILABLE,

  /** Rejects the credentials of every client. */
  UNAUTHORISED
}
