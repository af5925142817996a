package org.amberpath.registry;

/**
 * One call to an endpoint that has not ended: a list, a watch or a heartbeat. Times are
 * nanoseconds.
 */
abstract sealed class RegistryCall permits HeartbeatCall, ListCall, WatchCall {
  /** The kind of a call, as the log names it. */
  enum Kind {
    LIST,
    WATCH,
    HEARTBEAT
  }

  /**
   * What is known of a call when it is sent.
   *
   * @param viewRevision the revision that the view was at: what a majority answers later is not
   *     from before it
   * @param tipRevision the tip's revision in the view
   */
  record Start(
      long id, RegistryEndpoint endpoint, long sentAtNanos, long viewRevision, long tipRevision) {}

  final long id;
  final RegistryEndpoint endpoint;
  final long sentAtNanos;
  final long viewRevision;
  final long tipRevision;
  long deadlineNanos;

  RegistryCall(Start start, long timeoutNanos) {
    id = start.id;
    endpoint = start.endpoint;
    sentAtNanos = start.sentAtNanos;
    viewRevision = start.viewRevision;
    tipRevision = start.tipRevision;
    deadlineNanos = sentAtNanos + timeoutNanos;
  }

  abstract Kind kind();
}
