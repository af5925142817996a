package org.amberpath.gateway;

import org.amberpath.gateway.discovery.JournalClient;
import org.amberpath.gateway.discovery.JournalDecoder;
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
    PipelineContext context = pipeline.context;
    boolean usesJournal = options.journal() != null;
    MergedEndpointLists merged = new MergedEndpointLists(pipeline.endpoints);
    EndpointListener sourceListener =
        sourceFactory == null || !usesJournal ? pipeline.endpoints : merged.addSource();
    journalListener = sourceFactory == null ? pipeline.endpoints : merged.addSource();
    journalDecoder = new JournalDecoder(context.clock());
    source =
        sourceFactory == null
            ? null
            : sourceFactory.create(context.vertx(), sourceListener, options.routingConfig().seed());
    journalClient =
        usesJournal
            ? new JournalClient(
                context.vertx(),
                options.journal(),
                new JournalClient.Bounds(JournalClient.MAX_WAIT_MILLIS, options.unreadOfAll()),
                new JournalClient.Sinks(
                    journalDecoder,
                    journalListener,
                    context.discoveryFreshness(),
                    pipeline.routingStage::discoveryPolled),
                context.clock()::nowNanos)
            : null;
  }

  /**
   * Replays the journal's entries that the configuration holds; only where the journal is used.
   *
   * @throws org.amberpath.gateway.settings.InvalidDocumentException for entries that can't be read
   */
  void replayKnown(GatewayOptions options) {
    if (journalClient != null) {
      journalDecoder.playKnown(options.known(), journalListener);
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
   * @return whether the journal is used at all
   */
  boolean moveJournal(GatewayOptions next) {
    if (journalClient == null) {
      return false;
    }
    replayKnown(next);
    journalClient.moveTo(next.journal());
    return true;
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
