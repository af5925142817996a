package org.amberpath.gateway;

import io.vertx.core.Vertx;
import org.amberpath.routing.EndpointListener;

/**
 * A source of endpoints and purges other than the journal, such as a registry. The gateway calls it
 * on its event loop, and the source notifies its listener there.
 */
public interface EndpointSource {
  /** Creates the endpoint source of one gateway. */
  interface Factory {
    /**
     * Creates a source, which {@link #start()} starts later.
     *
     * @param listener receives endpoints and purges
     * @param seed the seed of the source's random numbers, such as those of backoff jitter
     */
    EndpointSource create(Vertx vertx, EndpointListener listener, long seed);
  }

  /** Starts watching for endpoints and purges. */
  void start();

  /**
   * Returns whether the gateway has to wait for the source before it serves: what the source has
   * reported since {@link #start} may be from an earlier run.
   */
  boolean awaitsFirstList();

  /**
   * Rereads the files that the source's settings name, such as credentials; called when the process
   * has received SIGHUP.
   */
  void reload();

  /** Stops watching; the listener is not called afterwards. */
  void close();
}
