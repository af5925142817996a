package org.amberpath.registry;

import java.util.ArrayList;
import java.util.List;

/** A watch: a stream of events or, for some protocols, a read that is held back for long. */
final class WatchCall extends RegistryCall {
  /** Events of frames whose last revision is not complete yet. */
  final List<WatchEvent> pendingEvents = new ArrayList<>();

  boolean isOpen;
  long openedAtNanos;

  /** All events up to this revision were received. */
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
