package org.amberpath.gateway;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.amberpath.gateway.discovery.Clock;
import org.amberpath.gateway.pipeline.FleetCallbacks;
import org.amberpath.gateway.pipeline.RequestPipeline;
import org.amberpath.gateway.pipeline.SyntheticRequests;

/**
 * Forwards the notifications of a fleet coordinator to the router of one gateway, and sends the
 * synthetic requests that the coordinator asks for.
 */
final class GatewayFleetCallbacks implements FleetCallbacks {
  private final RequestPipeline pipeline;
  private final SyntheticRequests syntheticRequests;
  private final BooleanSupplier serving;

  GatewayFleetCallbacks(
      RequestPipeline pipeline, SyntheticRequests syntheticRequests, BooleanSupplier serving) {
    this.pipeline = pipeline;
    this.syntheticRequests = syntheticRequests;
    this.serving = serving;
  }

  @Override
  public void quotaShareChanged(int gateways, double share) {
    pipeline.enqueueDiscovery(events -> events.gatewayShareChanged(gateways, share));
  }

  @Override
  public void healthChecksCentralized(boolean centralized) {
    pipeline.enqueueDiscovery(events -> events.healthChecksDelegated(centralized));
  }

  @Override
  public void healthCheckReported(String endpointId, boolean answered, long ageNanos) {
    Clock clock = pipeline.context().clock();
    long reportedAtNanos = clock.nowNanos();
    pipeline.enqueueDiscovery(
        events -> {
          int endpoint = pipeline.endpointIndex(endpointId);
          if (endpoint >= 0) {
            events.healthReported(
                endpoint, answered, ageNanos + clock.nowNanos() - reportedAtNanos);
          }
        });
  }

  @Override
  public boolean sendSyntheticRequest(
      String endpointId, long timeoutNanos, Consumer<SyntheticOutcome> completion) {
    return serving.getAsBoolean() && syntheticRequests.send(endpointId, timeoutNanos, completion);
  }
}
