package org.amberpath.gateway.pipeline;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.amberpath.gateway.client.ByteString;
import org.amberpath.gateway.client.DecodedRequest;
import org.amberpath.gateway.discovery.Clock;
import org.amberpath.gateway.pipeline.FleetCallbacks.SyntheticOutcome;
import org.amberpath.routing.Idempotency;
import org.amberpath.routing.RecentRequests;
import org.amberpath.routing.RequestDetails;
import org.amberpath.routing.RoutingConfig;
import org.amberpath.routing.RoutingEventHandler;

/**
 * Makes synthetic requests on behalf of the fleet, modelled on recent requests of clients: health
 * checks of one endpoint, and prefetches. From {@link RoutingStage} on they are processed like a
 * client's request, but no client waits for the response.
 *
 * <p>Limits: {@value #MAX_RECENT} recent requests are kept, each with {@value #MAX_BODY_BYTES}
 * bytes of body at most; {@value #MAX_IN_FLIGHT} synthetic requests are in flight at a time.
 */
public final class SyntheticRequests {
  private static final int MAX_RECENT = 256;
  private static final int MAX_BODY_BYTES = 1024;
  private static final int MAX_IN_FLIGHT = 16;

  /** Identifies a segment; recent requests with equal keys are counted together. */
  private record SegmentKey(long objectId, int partNumber) {}

  /** A recent request of a client, as the model of synthetic requests. */
  private record Template(DecodedRequest decoded, int trafficClass) {}

  private final RoutingConfig config;
  private final Clock clock;
  private final InFlightRequests inFlight;
  private final RoutingStage routingStage;
  private final CacheEndpoints endpoints;
  private final SplittableRandom random;
  private final RecentRequests<SegmentKey, Template> recent = new RecentRequests<>(MAX_RECENT);
  private int inFlightCount;

  SyntheticRequests(
      RoutingConfig config,
      Clock clock,
      InFlightRequests inFlight,
      RoutingStage routingStage,
      CacheEndpoints endpoints) {
    this.config = config;
    this.clock = clock;
    this.inFlight = inFlight;
    this.routingStage = routingStage;
    this.endpoints = endpoints;
    random = new SplittableRandom(config.seed() ^ clock.nowNanos());
  }

  /**
   * Records a client's request as a model, if its traffic class is idempotent and cacheable and its
   * body is at most {@value #MAX_BODY_BYTES} bytes long.
   */
  void addRecent(ClientRequest request) {
    DecodedRequest decoded = request.decoded;
    if (config.trafficClass(request.trafficClass).idempotency() == Idempotency.IDEMPOTENT
        && !config.trafficClass(request.trafficClass).neverCached()
        && decoded.body().length() <= MAX_BODY_BYTES) {
      recent.add(
          new SegmentKey(decoded.objectId(), decoded.partNumber()),
          new Template(decoded, request.trafficClass));
    }
  }

  /** Makes a synthetic request, as {@link FleetCallbacks#sendSyntheticRequest} specifies. */
  public boolean send(String endpointId, long timeoutNanos, Consumer<SyntheticOutcome> completion) {
    boolean prefetch = endpointId == null;
    Template template = prefetch ? recent.nextInPass() : recent.latest();
    int endpoint = prefetch ? -1 : endpoints.indexOf(endpointId);
    if (template == null && prefetch) {
      recent.startPass();
    }
    if (template == null || (!prefetch && endpoint < 0) || inFlightCount == MAX_IN_FLIGHT) {
      return false;
    }
    DecodedRequest decoded = copyOf(template.decoded, timeoutNanos);
    inFlightCount++;
    ClientRequest request =
        new ClientRequest(
            inFlight.nextId(),
            decoded,
            template.trafficClass,
            clock.nowNanos() + timeoutNanos,
            outcome -> {
              inFlightCount--;
              completion.accept(outcome);
            });
    inFlight.add(request);
    routingStage.submit(request, events -> reportReceived(events, request, endpoint));
    return true;
  }

  private void reportReceived(RoutingEventHandler events, ClientRequest request, int endpoint) {
    DecodedRequest decoded = request.decoded;
    events.syntheticRequestReceived(
        new RequestDetails(
            request.id,
            request.trafficClass,
            decoded.objectId(),
            decoded.purgeGroup(),
            decoded.partNumber(),
            request.deadlineNanos - clock.nowNanos(),
            decoded.sizeKb(),
            false),
        endpoint);
  }

  /**
   * Returns a copy of a request with a new random reference, and without the entity tag of the
   * client's copy and its idempotency key.
   */
  private DecodedRequest copyOf(DecodedRequest original, long timeoutNanos) {
    String requestId = String.format("%016x", random.nextLong());
    return new DecodedRequest(
        original.trafficClass(),
        ByteString.ofAscii(requestId),
        original.objectName(),
        original.partName(),
        ByteString.EMPTY,
        ByteString.EMPTY,
        original.body(),
        original.objectId(),
        original.partNumber(),
        original.purgeGroup(),
        timeoutNanos,
        original.sizeKb());
  }
}
