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
 * Several endpoints over one history on a virtual clock, and clients that call them. A call takes
 * from a quarter of a millisecond to one and a half each way, and meets what its endpoint does to
 * calls at that time.
 */
final class VirtualRegistry {
  static final String PREFIX = "p/";
  static final String TIP_KEY = PREFIX + "tip";
  private static final long MIN_ONE_WAY_NANOS = Simulation.NANOS_PER_MILLI / 4;
  private static final long MAX_ONE_WAY_NANOS = 3 * Simulation.NANOS_PER_MILLI / 2;

  /** How clients read: by watches, or by reads that block until something changes. */
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
  private long sentItems;
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

  /** Entries that went over the wire in all. */
  long sentItems() {
    return sentItems;
  }

  /** Answers that went over the wire in all. */
  long responseCount() {
    return responseCount;
  }

  void itemsSent(int count) {
    sentItems += count;
  }

  void responseSent() {
    responseCount++;
  }

  void added(VirtualClient client) {
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

  /** All that was written since a copy was made is gone; connections break. */
  void restore(RevisionedStore<RegistryRecord> backup) {
    history = backup;
    trace("restored to " + backup.clusterId() + " " + backup.revision());
    endpoints.forEach(VirtualEndpoint::breakConnections);
  }

  long drawOneWayNanos() {
    return random.nextLong(MIN_ONE_WAY_NANOS, MAX_ONE_WAY_NANOS);
  }

  /** What an answer says of the registry: who reads by blocking reads learns no cluster's id. */
  Header header() {
    return new Header(isBlocking() ? "" : history.clusterId(), history.revision());
  }

  static RegistryEntry toEntry(
      String key, RevisionedStore.VersionedValue<RegistryRecord> versioned) {
    return new RegistryEntry(
        key, versioned.value(), versioned.createRevision(), versioned.modRevision());
  }

  /** The entries of a state under the prefix, after a key, changed at a revision or later. */
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
