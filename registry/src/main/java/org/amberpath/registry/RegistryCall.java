package org.amberpath.registry;

/** One open call to an endpoint: a list, a watch or a heartbeat. Times are nanoseconds. */
abstract sealed class RegistryCall permits HeartbeatCall, ListCall, WatchCall {
  /** The kind of a call, which log lines name. */
  enum Kind {
    LIST,
    WATCH,
    HEARTBEAT
  }

  /**
   * The session's state at the time when the call is sent.
   *
   * @param viewRevision the view's revision: a linearizable response to this call can't be older
   * @param tipRevision the revision at which the tip was last written, as the view has it
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
