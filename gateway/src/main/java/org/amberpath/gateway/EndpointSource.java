package org.amberpath.gateway;

import io.vertx.core.Vertx;
import org.amberpath.routing.EndpointListener;

/**
 * A source of endpoints and purges other than the journal, such as a registry. It is called on the
 * gateway's event loop and notifies its listener there.
 */
public interface EndpointSource {
  /** Creates the source of one gateway. */
  interface Factory {
    /**
     * Creates a source that is not started yet.
     *
     * @param listener is notified of endpoints and purges
     * @param seed seeds what the source draws at random, such as backoff jitter
     */
    EndpointSource create(Vertx vertx, EndpointListener listener, long seed);
  }

  /** Starts to watch. */
  void start();

  /** SIGHUP was received: files named in the settings may have changed. */
  void reload();

  /** Ends the watch; the listener is not notified any more. */
  void close();
}
