package org.amberpath.membership.runtime;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.amberpath.routing.EndpointHealthStatus;

/**
 * Something that a gateway does together with others of its fleet, by messages to them: the port
 * through which a module above this one uses the fleet's datagrams. All methods are called on the
 * gateway's event loop, with Unix nanoseconds that only go forward. Between {@link
 * #membershipStarted} and {@link #close} any of them may come; before, none does.
 */
public interface FleetMessageHandler {
  /** Makes the handler of one gateway. */
  interface Factory {
    /** Makes a handler; it sends nothing before {@link FleetMessageHandler#membershipStarted}. */
    FleetMessageHandler create(Vertx vertx, MembershipService membership);
  }

  /** The gateway has begun to join its fleet; messages may be sent from now on. */
  void membershipStarted(long nowNanos);

  /** Tells the time, several times a probe interval. */
  void tick(long nowNanos);

  /**
   * A message from another member's handler; its sender is proved, and it comes once.
   *
   * @param sender the name of the sender
   * @param body at most {@link DatagramCodec#MAX_PAYLOAD_BYTES} bytes, not checked
   */
  void messageReceived(long nowNanos, String sender, byte[] body);

  /** The router's health state of an endpoint has changed. */
  void endpointHealthChanged(long nowNanos, String endpointId, EndpointHealthStatus health);

  /** An endpoint has just started and is in slow start until this time. */
  void endpointWarmingUp(long nowNanos, String endpointId, long untilNanos);

  /** SIGHUP was received: files that the settings name may have changed. */
  void settingsReloaded();

  /** The gateway has begun a graceful shutdown. */
  void drainStarted(long nowNanos);

  /** What operators see of this handler. */
  JsonObject status(long nowNanos);

  /**
   * Lets another member lead a task.
   *
   * @return whether this gateway led it
   */
  boolean release(long nowNanos, String name);

  /** The gateway leaves its fleet: the last call, in which messages can still be sent. */
  void close(long nowNanos);
}
