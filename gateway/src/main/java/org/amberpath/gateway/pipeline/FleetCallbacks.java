package org.amberpath.gateway.pipeline;

import java.util.function.Consumer;
import org.amberpath.gateway.FleetCoordinator;

/**
 * What a {@link FleetCoordinator} may tell its gateway, and ask of it. Endpoints are named by their
 * ids. All methods are called on the gateway's event loop.
 */
public interface FleetCallbacks {
  /** How a synthetic request ended. */
  enum SyntheticOutcome {
    /** The endpoint responded, with the segment or without. */
    ANSWERED,
    /** An attempt was sent, and no response came in time. */
    SILENT,
    /** No attempt was sent. */
    NOT_SENT
  }

  /**
   * The fleet's size or this gateway's share of fleet-wide limits has changed.
   *
   * @param gateways the number of gateways that share them
   * @param share this gateway's part, from 0 to 1; 0 while it may use none
   */
  void quotaShareChanged(int gateways, double share);

  /**
   * Whether one gateway health-checks ejected endpoints for the whole fleet.
   *
   * @param centralized true while it does; false when each gateway does so by itself
   */
  void healthChecksCentralized(boolean centralized);

  /**
   * The result of a health check that the fleet's health checker made.
   *
   * @param endpointId the endpoint that was checked; an unknown one is ignored
   * @param answered whether it responded
   * @param ageNanos how long ago it was sent the check
   */
  void healthCheckReported(String endpointId, boolean answered, long ageNanos);

  /**
   * Makes a synthetic request, if the router lets it pass.
   *
   * @param endpointId the endpoint to be health-checked; null to prefetch the next recent object
   * @param timeoutNanos how long it may take
   * @param completion is called once with the outcome, after this method has returned
   * @return false where no request was made: the gateway is not serving, the endpoint is unknown,
   *     too many are in flight, or (for a prefetch) the recent objects have all had their turn
   */
  boolean sendSyntheticRequest(
      String endpointId, long timeoutNanos, Consumer<SyntheticOutcome> completion);
}
