package org.amberpath.registry;

/** A linearizable read of the tip's revision, which shows whether the view is current. */
final class HeartbeatCall extends RegistryCall {
  HeartbeatCall(Start start, long timeoutNanos) {
    super(start, timeoutNanos);
  }

  @Override
  Kind kind() {
    return Kind.HEARTBEAT;
  }
}
