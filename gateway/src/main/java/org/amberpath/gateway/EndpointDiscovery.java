package org.amberpath.gateway;

import io.vertx.core.net.SocketAddress;
import java.util.Optional;
import org.amberpath.gateway.discovery.JournalClient;
import org.amberpath.gateway.discovery.JournalDecoder;
import org.amberpath.gateway.pipeline.PipelineContext;
import org.amberpath.gateway.pipeline.RequestPipeline;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.MergedEndpointLists;

/**
 * Where a gateway learns of endpoints and purges: the journal, or a source of the deployment's own,
 * or both.
 */
final class EndpointDiscovery {
  private final JournalDecoder journalDecoder;
  private final EndpointListener journalListener;

  /** Null where the source is used in its place. */
  private final JournalClient journalClient;

  /** Null where there is the journal alone. */
  private final EndpointSource source;

  /** Connects both to the pipeline; nothing is polled before {@link #start()}. */
  EndpointDiscovery(
      RequestPipeline pipeline, GatewayOptions options, EndpointSource.Factory sourceFactory) {
    PipelineContext context = pipeline.context();
    boolean usesJournal = options.journalAddress().isPresent();
    MergedEndpointLists merged = new MergedEndpointLists(pipeline.endpointListener());
    EndpointListener sourceListener =
        sourceFactory == null || !usesJournal ? pipeline.endpointListener() : merged.addSource();
    journalListener = sourceFactory == null ? pipeline.endpointListener() : merged.addSource();
    journalDecoder = new JournalDecoder(context.clock());
    source =
        sourceFactory == null
            ? null
            : sourceFactory.create(context.vertx(), sourceListener, options.routingConfig().seed());
    journalClient =
        options.journalAddress().map(address -> newClient(address, pipeline, options)).orElse(null);
  }

  private JournalClient newClient(
      SocketAddress address, RequestPipeline pipeline, GatewayOptions options) {
    PipelineContext context = pipeline.context();
    return new JournalClient(
        context.vertx(),
        address,
        new JournalClient.Bounds(JournalClient.MAX_WAIT_MILLIS, options.maxUnreadBytes()),
        new JournalClient.Sinks(
            journalDecoder,
            journalListener,
            context.discoveryFreshness(),
            pipeline::discoveryPolled),
        context.clock()::nowNanos);
  }

  /**
   * Replays the journal's entries that the configuration holds; only where the journal is used.
   *
   * @throws org.amberpath.gateway.settings.InvalidDocumentException for entries that can't be read
   */
  void replayKnown(GatewayOptions options) {
    if (journalClient != null) {
      journalDecoder.playKnown(options.knownEntries(), journalListener);
    }
  }

  /** Starts to poll the journal and to watch the source. */
  void start() {
    if (journalClient != null) {
      journalClient.start();
    }
    if (source != null) {
      source.start();
    }
  }

  /** SIGHUP was received: the source reads its files again. */
  void reloadSource() {
    if (source != null) {
      source.reload();
    }
  }

  /**
   * Polls the journal at the address of a new configuration, after its entries were replayed.
   *
   * @return the address; empty where the journal is not used
   */
  Optional<SocketAddress> moveJournal(GatewayOptions next) {
    if (journalClient == null) {
      return Optional.empty();
    }
    replayKnown(next);
    next.journalAddress().ifPresent(journalClient::moveTo);
    return next.journalAddress();
  }

  /** Ends both. */
  void close() {
    if (journalClient != null) {
      journalClient.close();
    }
    if (source != null) {
      source.close();
    }
  }
}
