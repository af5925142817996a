package org.amberpath.registry;

import java.util.ArrayList;
import java.util.List;

/** A watch: a stream of events or, for protocols without one, a blocking read. */
final class WatchCall extends RegistryCall {
  /**
   * Events that were received but not yet applied, since more events of the last revision follow.
   */
  final List<WatchEvent> pendingEvents = new ArrayList<>();

  boolean isOpen;
  long openedAtNanos;

  /** The revision up to which this watch has delivered all events. */
  long receivedRevision;

  WatchCall(Start start, long timeoutNanos, boolean isOpen) {
    super(start, timeoutNanos);
    this.isOpen = isOpen;
    receivedRevision = start.viewRevision();
  }

  @Override
  Kind kind() {
    return Kind.WATCH;
  }
}
