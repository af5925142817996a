package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.lab.simulation.VirtualScheduler;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.WatchSession.Header;

/**
 * A simulated registry on a virtual clock: several endpoints that share one history, and the
 * clients that call them. A call takes from 0.25 ms to 1.5 ms each way; the endpoint's fault mode
 * when the call arrives decides how the call is treated.
 */
final class VirtualRegistry {
  static final String PREFIX = "p/";
  static final String TIP_KEY = PREFIX + "tip";
  private static final long MIN_ONE_WAY_NANOS = Simulation.NANOS_PER_MILLI / 4;
  private static final long MAX_ONE_WAY_NANOS = 3 * Simulation.NANOS_PER_MILLI / 2;

  /** How clients follow changes: by watch streams, or by reads that block until a change. */
  enum ReadStyle {
    WATCH,
    BLOCKING_READ
  }

  private final VirtualScheduler scheduler;
  private final SplittableRandom random;
  private final ReadStyle readStyle;
  private final Consumer<String> trace;
  private final List<VirtualEndpoint> endpoints = new ArrayList<>();
  private final List<VirtualClient> clients = new ArrayList<>();
  private RevisionedStore<RegistryRecord> history = new RevisionedStore<>("c1");
  private long sentEntryCount;
  private long responseCount;

  VirtualRegistry(
      VirtualScheduler scheduler,
      int endpointCount,
      ReadStyle readStyle,
      long seed,
      Consumer<String> trace) {
    this.scheduler = scheduler;
    this.readStyle = readStyle;
    this.trace = trace;
    random = new SplittableRandom(seed);
    for (int index = 0; index < endpointCount; index++) {
      endpoints.add(new VirtualEndpoint(this));
    }
  }

  VirtualScheduler scheduler() {
    return scheduler;
  }

  SplittableRandom random() {
    return random;
  }

  boolean isBlocking() {
    return readStyle == ReadStyle.BLOCKING_READ;
  }

  List<VirtualEndpoint> endpoints() {
    return endpoints;
  }

  RevisionedStore<RegistryRecord> history() {
    return history;
  }

  /** Total number of entries and events sent to clients. */
  long sentItems() {
    return sentEntryCount;
  }

  /** Total number of responses and watch frames delivered to clients. */
  long responseCount() {
    return responseCount;
  }

  void recordEntriesSent(int count) {
    sentEntryCount += count;
  }

  void recordResponseSent() {
    responseCount++;
  }

  void addClient(VirtualClient client) {
    clients.add(client);
  }

  void trace(String line) {
    trace.accept(line);
  }

  boolean anyHealthyFor(long durationNanos) {
    return endpoints.stream().anyMatch(endpoint -> endpoint.isHealthyFor(durationNanos));
  }

  void write(Map<String, RegistryRecord> writes) {
    long before = history.revision();
    history.write(writes);
    if (history.revision() > before) {
      clients.forEach(VirtualClient::registryChanged);
    }
  }

  /** Replaces the history by a backup, which discards later writes, and breaks all connections. */
  void restore(RevisionedStore<RegistryRecord> backup) {
    history = backup;
    trace("restored: cluster " + backup.clusterId() + ", revision " + backup.revision());
    endpoints.forEach(VirtualEndpoint::breakConnections);
  }

  long randomOneWayDelayNanos() {
    return random.nextLong(MIN_ONE_WAY_NANOS, MAX_ONE_WAY_NANOS);
  }

  /** The header of a response; a response to a blocking read carries no cluster id. */
  Header header() {
    return new Header(isBlocking() ? "" : history.clusterId(), history.revision());
  }

  static RegistryEntry toEntry(
      String key, RevisionedStore.VersionedValue<RegistryRecord> versioned) {
    return new RegistryEntry(
        key, versioned.value(), versioned.createRevision(), versioned.modRevision());
  }

  /**
   * Selects the entries of a state whose key is under the prefix and after a given key, and whose
   * last change is at or after a given revision.
   */
  List<RegistryEntry> entries(
      Map<String, RevisionedStore.VersionedValue<RegistryRecord>> state,
      String afterKey,
      long minModRevision) {
    List<RegistryEntry> found = new ArrayList<>();
    state.forEach(
        (key, versioned) -> {
          if (key.startsWith(PREFIX)
              && key.compareTo(afterKey) > 0
              && versioned.modRevision() >= minModRevision) {
            found.add(toEntry(key, versioned));
          }
        });
    return found;
  }
}
