package org.amberpath.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.function.Consumer;
import org.amberpath.routing.RoutingActions;

/**
 * The other gateways, as far as this one knows them. It runs on the gateway's event loop, and tells
 * there.
 */
public interface FleetCoordinator {
  /** Makes the company of one gateway. */
  interface Maker {
    FleetCoordinator make(Vertx vertx, GatewayOptions options, Ways to);
  }

  /**
   * What came of a GET of this gateway's own: the cache answered it, with the part or without; or
   * not.
   */
  enum Own {
    ANSWERED,
    SILENT,
    NOT_SENT
  }

  /** What a company may tell the gateway's decisions, and ask of it. Caches go by their ids. */
  interface Ways {
    /**
     * By how many gateways shared bounds are divided, and this one's part: 0 while it may take
     * none.
     */
    void shared(int many, double part);

    /** Whether one gateway tries for all, by GETs of its own, the caches that are set aside. */
    void tried(boolean forAll);

    /**
     * Whoever tries asked a cache this long ago, after others had set it aside; whether it
     * answered.
     */
    void vouched(String cache, boolean answers, long ago);

    /**
     * Makes a GET of this gateway's own, if the decisions let it go.
     *
     * @param cache the cache to be tried; null for a copy ahead of the viewers, of the next object
     *     in turn
     * @param within how long it may take
     * @param end hears once what came of it, and not before this has been left
     * @return false where there was nothing to make one of: of copies ahead, that a turn is over
     */
    boolean own(String cache, long within, Consumer<Own> end);
  }

  /** Looks for the others; what fails it has a plain message. */
  Future<Void> start();

  /** How an edge cache is, as far as the decisions see it. */
  void health(String cache, RoutingActions.Health health);

  /** An edge cache of the zone has just started, and bears less than all until this time. */
  void cold(String cache, long until);

  /** SIGHUP came: files that it was told of may hold something else now. */
  void renewed();

  /**
   * This gateway has been told to end: it begins nothing more for the fleet, and hands over what it
   * owns.
   */
  void draining();

  /**
   * Tells some of them that this gateway leaves, and is done once that is sent; nothing more is
   * told.
   */
  Future<Void> close();
}
