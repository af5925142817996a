package org.amberpath.membership.runtime;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.amberpath.routing.EndpointHealthStatus;

/**
 * Something that a gateway does together with others of its fleet, by letters to them. It is called
 * on the gateway's event loop.
 */
public interface FleetMessageHandler {
  /** Makes the guest of one gateway. */
  interface Factory {
    FleetMessageHandler create(Vertx vertx, MembershipService company);
  }

  /** The fleet's view has begun. */
  void membershipStarted(long now);

  /** Several times a period. */
  void tick(long now);

  /** A letter from one of the fleet, proved and new. */
  void messageReceived(long now, String from, byte[] body);

  /** How an edge cache is, as far as this gateway's decisions see it. */
  void endpointHealthChanged(long now, String cache, EndpointHealthStatus health);

  /** An edge cache has just started, and bears less than all until this time. */
  void endpointWarmingUp(long now, String cache, long until);

  /** SIGHUP came: files may hold something else now. */
  void settingsReloaded();

  /** The gateway has been told to end. */
  void drainStarted(long now);

  /** What operators see of it. */
  JsonObject status(long now);

  /** Lets something go that goes by this name; whether it was there to be let go. */
  boolean release(long now, String name);

  /** The gateway ends. */
  void close(long now);
}
