package org.amberpath.membership.runtime;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.amberpath.routing.EndpointHealthStatus;

/**
 * Handles messages between the members of a fleet: the interface through which a module that
 * depends on this one uses the fleet's datagrams. All methods are called on the gateway's event
 * loop; the times that they receive are Unix nanoseconds that never go back. They may be called in
 * any order between {@link #membershipStarted} and {@link #close}, and none is called before {@link
 * #membershipStarted}.
 */
public interface FleetMessageHandler {
  /** Creates the handler of one gateway. */
  interface Factory {
    /**
     * Creates a handler, which must not send before {@link FleetMessageHandler#membershipStarted}.
     */
    FleetMessageHandler create(Vertx vertx, MembershipService membership);
  }

  /** Called when the gateway has begun to join its fleet; from now on messages may be sent. */
  void membershipStarted(long nowNanos);

  /** Called several times per probe interval. */
  void tick(long nowNanos);

  /**
   * Called for a message from another member's handler. Its signature was verified and replayed
   * copies are rejected, so each message is delivered at most once.
   *
   * @param sender the name of the member that sent the message
   * @param body at most {@link DatagramCodec#MAX_PAYLOAD_BYTES} bytes, whose content is not checked
   */
  void messageReceived(long nowNanos, String sender, byte[] body);

  /** Called when the router's health state of an endpoint has changed. */
  void endpointHealthChanged(long nowNanos, String endpointId, EndpointHealthStatus health);

  /** Called when an endpoint has just started and is in slow start until the given time. */
  void endpointWarmingUp(long nowNanos, String endpointId, long untilNanos);

  /** Called after SIGHUP: files that the settings name may have changed. */
  void settingsReloaded();

  /** Called when the gateway has begun a graceful shutdown. */
  void drainStarted(long nowNanos);

  /** Returns the status that the admin endpoint shows. */
  JsonObject status(long nowNanos);

  /**
   * Releases the leadership of a task, so that another member can lead it.
   *
   * @param name the name of the task
   * @return whether this gateway led the task
   */
  boolean release(long nowNanos, String name);

  /**
   * Called when the gateway leaves its fleet. This is the last call; messages can still be sent
   * from within it.
   */
  void close(long nowNanos);
}
