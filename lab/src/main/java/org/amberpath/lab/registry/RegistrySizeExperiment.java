package org.amberpath.lab.registry;

import java.util.Map;
import java.util.TreeMap;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;

/**
 * Scalability experiment for the registry client's protocol logic ({@code WatchSession} and {@code
 * RegistryView}) on a virtual clock: the delay until clients apply a change, the cost of a client,
 * and the load of many clients that reconnect after an outage.
 */
public final class RegistrySizeExperiment {
  static final int ENDPOINT_COUNT = 3;
  private static final int PORTS = 60_000;
  private static final int MIN_PORT = 1000;

  private RegistrySizeExperiment() {}

  /** Runs a callback when a list completes, and ignores all other events. */
  static final class CompletionListener implements EndpointListener {
    private final Runnable listCompleted;

    CompletionListener(Runnable listCompleted) {
      this.listCompleted = listCompleted;
    }

    @Override
    public void endpointListStarted(EndpointListKind kind) {}

    @Override
    public void endpointListed(ListedEndpoint endpoint) {}

    @Override
    public void endpointListCompleted() {
      listCompleted.run();
    }

    @Override
    public void objectPurged(long object, int group, long atMillis) {}
  }

  /** Writes one cache's record and the tip key in one transaction. */
  static void write(VirtualRegistry registry, int number, EndpointState state) {
    Map<String, RegistryRecord> writes = new TreeMap<>();
    String address = "127.0.0.1:" + (MIN_PORT + number % PORTS);
    writes.put(
        VirtualRegistry.PREFIX + "caches/c" + number,
        RegistryWorkload.cache("c" + number, address, state));
    writes.put(VirtualRegistry.TIP_KEY, new RegistryRecord.Other());
    registry.write(writes);
  }

  /**
   * Runs both measurements and reports their figures and bars.
   *
   * @param cacheCount caches in the registry
   * @param clientCount clients that watch the caches
   * @param changesPerSecond cache records written a second of virtual time
   */
  public static ExperimentReport run(
      long seed, int cacheCount, int clientCount, int changesPerSecond) {
    ExperimentReport result =
        new ExperimentReport(seed)
            .figure("caches", cacheCount)
            .figure("clients", clientCount)
            .figure("changes_a_second", changesPerSecond);
    new RegistryApplyDelay(seed, cacheCount, clientCount, changesPerSecond).measure(result);
    new RegistryReconnectLoad(seed).measure(result);
    return result;
  }
}
