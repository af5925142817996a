package org.amberpath.lab.registry;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/** Leases of a stand-in registry: the keys of one are deleted unless it is renewed. */
final class StandInLeases {
  private static final long MILLIS_PER_SECOND = 1000;

  private static final class Lease {
    private final long seconds;
    private final Set<String> keys = new LinkedHashSet<>();
    private long timerId = -1;

    Lease(long seconds) {
      this.seconds = seconds;
    }
  }

  private final Vertx vertx;
  private final StandInRegistry registry;
  private final Map<Long, Lease> leases = new HashMap<>();
  private long lastId;

  StandInLeases(Vertx vertx, StandInRegistry registry) {
    this.vertx = vertx;
    this.registry = registry;
  }

  /** Grants a lease for so many seconds, and gives its id. */
  long grant(long seconds) {
    long id = ++lastId;
    Lease lease = new Lease(seconds);
    leases.put(id, lease);
    startTimer(id, lease);
    return id;
  }

  /** Renews a lease, and gives its seconds; nothing where there is none. */
  OptionalLong renew(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return OptionalLong.empty();
    }
    startTimer(id, lease);
    return OptionalLong.of(lease.seconds);
  }

  /** Has a key end with a lease, if there is one. */
  void attach(long id, String key) {
    Lease lease = leases.get(id);
    if (lease != null) {
      lease.keys.add(key);
    }
  }

  /** Ends a lease, if there is one, and deletes its keys. */
  void revoke(long id) {
    Lease lease = leases.remove(id);
    if (lease != null) {
      vertx.cancelTimer(lease.timerId);
      Map<String, byte[]> deletions = new TreeMap<>();
      lease.keys.forEach(key -> deletions.put(key, null));
      if (!deletions.isEmpty()) {
        registry.write(deletions);
      }
    }
  }

  private void startTimer(long id, Lease lease) {
    vertx.cancelTimer(lease.timerId);
    lease.timerId =
        vertx.setTimer(Math.max(1, lease.seconds * MILLIS_PER_SECOND), timer -> revoke(id));
  }
}
