package org.amberpath.lab.registry;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A registry on loopback: several endpoints over one history, which speak the published protocols
 * of etcd and Consul, with the failures that they have in service. Runs on the event loop of a
 * Vert.x with one.
 *
 * <p>Bounds: the history, until it is compacted, and the connections that its clients open.
 */
public final class StandInRegistry {
  private final Vertx vertx;
  private final HttpServerOptions options;
  private final List<StandInEndpoint> endpoints = new ArrayList<>();
  private final EtcdResponder etcd;
  private final ConsulResponder consul;
  private RevisionedStore<byte[]> history = new RevisionedStore<>("101");

  /** The token that clients must show; empty for none. */
  private String requiredToken = "";

  /**
   * A registry with no endpoints yet.
   *
   * @param options of each endpoint's server, such as TLS
   */
  public StandInRegistry(Vertx vertx, HttpServerOptions options) {
    this.vertx = vertx;
    this.options = options;
    etcd = new EtcdResponder(vertx, this);
    consul = new ConsulResponder(vertx, this);
  }

  /** Opens another endpoint, on a port from the system for 0. */
  public Future<StandInEndpoint> open(int port) {
    StandInEndpoint endpoint = new StandInEndpoint(vertx, options, this, port);
    endpoints.add(endpoint);
    return endpoint.listen().map(endpoint);
  }

  /** The endpoints in the order of their opening. */
  public List<StandInEndpoint> endpoints() {
    return endpoints;
  }

  /** Lets only clients in that show this token; all for an empty one. */
  public void requireToken(String token) {
    requiredToken = token;
  }

  /** The last revision. */
  public long revision() {
    return history.revision();
  }

  /** A copy of the keys as they are now. */
  public Map<String, byte[]> entries() {
    Map<String, byte[]> entries = new TreeMap<>();
    history.current().forEach((key, versioned) -> entries.put(key, versioned.value()));
    return entries;
  }

  /**
   * Writes keys in one transaction; a null value deletes.
   *
   * @return the last revision then
   */
  public long write(Map<String, byte[]> writes) {
    long before = history.revision();
    history.write(writes);
    if (history.revision() > before) {
      endpoints.forEach(StandInEndpoint::notifyWatchers);
    }
    return history.revision();
  }

  /** Forgets all states before the last so many revisions. */
  public void compact(long keptRevisions) {
    history.compact(history.revision() - keptRevisions);
  }

  /**
   * Makes a backup as of now.
   *
   * @param clusterId the id under which it comes back; empty for the present one
   * @return restores it
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
