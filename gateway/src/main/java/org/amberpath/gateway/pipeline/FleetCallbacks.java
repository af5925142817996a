package org.amberpath.gateway.pipeline;

import java.util.function.Consumer;
import org.amberpath.gateway.FleetCoordinator;

/**
 * The calls that a {@link FleetCoordinator} may make to its gateway: it reports the state of the
 * fleet and requests synthetic requests. Endpoints are identified by their ids. All methods are
 * called on the gateway's event loop.
 */
public interface FleetCallbacks {
  /** How a synthetic request ended. */
  enum SyntheticOutcome {
    /** An endpoint responded, with the segment or without holding a copy of it. */
    ANSWERED,
    /** An attempt was made and ended otherwise, such as by a timeout or with an error. */
    SILENT,
    /** The router made no attempt. */
    NOT_SENT
  }

  /**
   * Called when the size of the fleet or this gateway's share of fleet-wide limits has changed.
   *
   * @param gateways the number of gateways that share them
   * @param share this gateway's part, from 0 to 1; 0 while it may use none
   */
  void quotaShareChanged(int gateways, double share);

  /**
   * Called when health checking of ejected endpoints changes between central and local.
   *
   * @param centralized true while one gateway checks them for the entire fleet; false while each
   *     gateway makes its own checks
   */
  void healthChecksCentralized(boolean centralized);

  /**
   * Called with the result of a health check that the fleet's health checker made.
   *
   * @param endpointId the endpoint that was checked; an unknown one is ignored
   * @param answered whether it responded
   * @param ageNanos how long ago the check was sent to the endpoint
   */
  void healthCheckReported(String endpointId, boolean answered, long ageNanos);

  /**
   * Makes a synthetic request, modelled on a recent request of a client. The router may still
   * decide not to send it, which ends it as {@link SyntheticOutcome#NOT_SENT}.
   *
   * @param endpointId the endpoint to be health-checked; null to prefetch the next recent object
   * @param timeoutNanos the longest time that the request may take
   * @param completion is called once with the outcome, after this method has returned
   * @return false if no request was made: the gateway is not serving, the endpoint is unknown or
   *     not up, no request of a client was recorded yet, too many synthetic requests are in flight,
   *     or (for a prefetch) the pass over the recent objects has ended; the next call begins a new
   *     one
   */
  boolean sendSyntheticRequest(
      String endpointId, long timeoutNanos, Consumer<SyntheticOutcome> completion);
}
