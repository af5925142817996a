package org.amberpath.gateway;

import io.vertx.core.net.SocketAddress;
import java.util.Optional;
import java.util.logging.Logger;
import org.amberpath.gateway.discovery.JournalClient;
import org.amberpath.gateway.discovery.JournalDecoder;
import org.amberpath.gateway.pipeline.PipelineContext;
import org.amberpath.gateway.pipeline.RequestPipeline;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.MergedEndpointLists;

/**
 * Discovers endpoints and purges for one gateway, from the platform's journal, from the
 * deployment's own {@link EndpointSource}, or from both. Where both are used, their endpoint lists
 * are merged by {@link MergedEndpointLists}.
 */
final class EndpointDiscovery {
  private static final Logger LOG = Logger.getLogger(EndpointDiscovery.class.getName());

  private final JournalDecoder journalDecoder;
  private final EndpointListener journalListener;

  /** Null where the journal is not used. */
  private final JournalClient journalClient;

  /** Null where the journal is the only source. */
  private final EndpointSource source;

  /**
   * Creates the journal client and the source, which report to the pipeline's endpoint listener.
   * Neither polls nor watches before {@link #start()}.
   *
   * @param sourceFactory creates the deployment's source; null where there is none
   */
  EndpointDiscovery(
      RequestPipeline pipeline, GatewayOptions options, EndpointSource.Factory sourceFactory) {
    PipelineContext context = pipeline.context();
    boolean usesJournal = options.journalAddress().isPresent();
    MergedEndpointLists mergedLists =
        new MergedEndpointLists(pipeline.endpointListener(), EndpointDiscovery::logContradiction);
    EndpointListener sourceListener =
        sourceFactory == null || !usesJournal
            ? pipeline.endpointListener()
            : mergedLists.addSource("registry");
    journalListener =
        sourceFactory == null ? pipeline.endpointListener() : mergedLists.addSource("journal");
    journalDecoder = new JournalDecoder(context.clock());
    source =
        sourceFactory == null
            ? null
            : sourceFactory.create(context.vertx(), sourceListener, options.routingConfig().seed());
    journalClient =
        options
            .journalAddress()
            .map(address -> newJournalClient(address, pipeline, options))
            .orElse(null);
  }

  private static void logContradiction(String id, String contradictions) {
    LOG.warning("endpoint " + id + ": discovery sources contradict each other: " + contradictions);
  }

  private JournalClient newJournalClient(
      SocketAddress address, RequestPipeline pipeline, GatewayOptions options) {
    PipelineContext context = pipeline.context();
    return new JournalClient(
        context.vertx(),
        address,
        new JournalClient.Bounds(
            JournalClient.MAX_WAIT_MILLIS, options.memory().unreadResponseBytes()),
        new JournalClient.Sinks(
            journalDecoder,
            journalListener,
            context.discoveryFreshness(),
            pipeline::discoveryPolled),
        context.clock()::nowNanos);
  }

  /**
   * Applies the journal entries that the configuration contains. Does nothing where the journal is
   * not used.
   *
   * @throws org.amberpath.gateway.settings.InvalidDocumentException if an entry is invalid
   */
  void applyKnownEntries(GatewayOptions options) {
    if (journalClient != null) {
      journalDecoder.decodeKnownEntries(options.knownEntries(), journalListener);
    }
  }

  /** Starts polling the journal and watching the source. */
  void start() {
    if (journalClient != null) {
      journalClient.start();
    }
    if (source != null) {
      source.start();
    }
  }

  /** Returns whether the first list of the source is awaited. */
  boolean awaitsFirstList() {
    return source != null && source.awaitsFirstList();
  }

  /** Has the source reread its files; called when the process has received SIGHUP. */
  void reloadSource() {
    if (source != null) {
      source.reload();
    }
  }

  /**
   * Applies the journal entries of a new configuration, then polls the journal at its new address.
   *
   * @return the new address; empty where the journal is not used
   */
  Optional<SocketAddress> changeJournalAddress(GatewayOptions newOptions) {
    if (journalClient == null) {
      return Optional.empty();
    }
    applyKnownEntries(newOptions);
    newOptions.journalAddress().ifPresent(journalClient::changeAddress);
    return newOptions.journalAddress();
  }

  /** Stops polling the journal and watching the source. */
  void close() {
    if (journalClient != null) {
      journalClient.close();
    }
    if (source != null) {
      source.close();
    }
  }
}
