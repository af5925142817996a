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
 * Requests that this gateway makes itself on behalf of the fleet, modelled on what clients asked
 * for recently. From {@link RoutingStage} on they are processed like any other, and no client waits
 * for the response.
 *
 * <p>Bounds: {@value #MAX_RECENT} recent requests are kept, each with {@value #MAX_BODY_BYTES}
 * bytes of body at most; {@value #MAX_IN_FLIGHT} synthetic requests are in flight at a time.
 */
public final class SyntheticRequests {
  private static final int MAX_RECENT = 256;
  private static final int MAX_BODY_BYTES = 1024;
  private static final int MAX_IN_FLIGHT = 16;

  /** What makes two recent requests the same. */
  private record SegmentKey(long objectId, int partNumber) {}

  /** A client's request that may be made again. */
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

  /** Keeps a client's request, if it is idempotent, cacheable and small enough. */
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

  /** Makes a request as {@link FleetCallbacks#sendSyntheticRequest} specifies. */
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
    routingStage.submit(request, events -> offer(events, request, endpoint));
    return true;
  }

  private void offer(RoutingEventHandler events, ClientRequest request, int endpoint) {
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

  /** The same request under a new reference, without the client's copy and token. */
  private DecodedRequest copyOf(DecodedRequest original, long timeoutNanos) {
    String reference = String.format("%016x", random.nextLong());
    return new DecodedRequest(
        original.trafficClass(),
        ByteString.ofAscii(reference),
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
