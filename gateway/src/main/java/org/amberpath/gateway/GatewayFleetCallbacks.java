package org.amberpath.gateway;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Passes what a fleet coordinator says on to one gateway's router, and makes its requests. */
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
    pipeline.routingStage.enqueueDiscovery(events -> events.gatewayShareChanged(gateways, share));
  }

  @Override
  public void healthChecksCentralized(boolean centralized) {
    pipeline.routingStage.enqueueDiscovery(events -> events.healthChecksDelegated(centralized));
  }

  @Override
  public void healthCheckReported(String endpointId, boolean answered, long ageNanos) {
    Clock clock = pipeline.context.clock();
    long reportedAtNanos = clock.nowNanos();
    pipeline.routingStage.enqueueDiscovery(
        events -> {
          int endpoint = pipeline.endpoints.index(endpointId);
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
