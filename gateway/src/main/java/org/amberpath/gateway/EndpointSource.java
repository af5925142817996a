package org.amberpath.gateway;

import io.vertx.core.Vertx;
import org.amberpath.routing.EndpointListener;

/**
 * A source of news of caches and purges beside the journal. It is called on the gateway's event
 * loop, and tells on it.
 */
public interface EndpointSource {
  /** Makes the source of one gateway. */
  interface Maker {
    EndpointSource make(Vertx vertx, EndpointListener to, long seed);
  }

  void start();

  /** SIGHUP came: files that it was told of may hold something else now. */
  void renewed();

  void close();
}
