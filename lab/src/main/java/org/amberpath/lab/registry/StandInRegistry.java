package org.amberpath.lab.registry;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A test registry on loopback: several endpoints that share one history, speak the published
 * protocols of etcd and Consul, and can be made to fail as these registries fail in production.
 * Runs on the event loop of a Vert.x instance that has only one.
 *
 * <p>Memory use has no fixed bound: the history grows until it is compacted, and each connection
 * that a client opens is kept.
 */
public final class StandInRegistry {
  private final Vertx vertx;
  private final HttpServerOptions options;
  private final List<StandInEndpoint> endpoints = new ArrayList<>();
  private final EtcdResponder etcd;
  private final ConsulResponder consul;
  private RevisionedStore<byte[]> history = new RevisionedStore<>("101");

  /** The token that requests must carry; empty if none is required. */
  private String requiredToken = "";

  /**
   * Creates a registry without endpoints.
   *
   * @param options options for the HTTP server of each endpoint, such as TLS
   */
  public StandInRegistry(Vertx vertx, HttpServerOptions options) {
    this.vertx = vertx;
    this.options = options;
    etcd = new EtcdResponder(vertx, this);
    consul = new ConsulResponder(vertx, this);
  }

  /** Opens another endpoint; port 0 has the operating system choose a port. */
  public Future<StandInEndpoint> open(int port) {
    StandInEndpoint endpoint = new StandInEndpoint(vertx, options, this, port);
    endpoints.add(endpoint);
    return endpoint.listen().map(endpoint);
  }

  /** The endpoints, in the order in which they were opened. */
  public List<StandInEndpoint> endpoints() {
    return endpoints;
  }

  /** Rejects requests that do not carry this token; an empty token admits all requests. */
  public void requireToken(String token) {
    requiredToken = token;
  }

  /** The last revision. */
  public long revision() {
    return history.revision();
  }

  /** A copy of the current keys and values. */
  public Map<String, byte[]> entries() {
    Map<String, byte[]> entries = new TreeMap<>();
    history.current().forEach((key, versioned) -> entries.put(key, versioned.value()));
    return entries;
  }

  /**
   * Writes keys in one transaction and notifies watchers; a null value deletes its key.
   *
   * @return the last revision after the write
   */
  public long write(Map<String, byte[]> writes) {
    long before = history.revision();
    history.write(writes);
    if (history.revision() > before) {
      endpoints.forEach(StandInEndpoint::notifyWatchers);
    }
    return history.revision();
  }

  /** Compacts the history; the states at the given number of last revisions stay readable. */
  public void compact(long keptRevisions) {
    history.compact(history.revision() - keptRevisions);
  }

  /**
   * Makes a backup of the current state and history.
   *
   * @param clusterId the cluster id after the restore; empty to keep the current id
   * @return a task that restores the backup
   */
  public Runnable backupAs(String clusterId) {
    RevisionedStore<byte[]> copy =
        history.copyAs(clusterId.isEmpty() ? history.clusterId() : clusterId);
    return () -> history = copy;
  }

  RevisionedStore<byte[]> history() {
    return history;
  }

  String requiredToken() {
    return requiredToken;
  }

  EtcdResponder etcd() {
    return etcd;
  }

  ConsulResponder consul() {
    return consul;
  }
}
