package org.amberpath.lab.registry;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/** Leases of a stand-in registry; an expired lease deletes the keys attached to it. */
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

  /** Grants a lease with a time to live in seconds, and returns its id. */
  long grant(long seconds) {
    long id = ++lastId;
    Lease lease = new Lease(seconds);
    leases.put(id, lease);
    startTimer(id, lease);
    return id;
  }

  /** Renews a lease, and returns its time to live in seconds; empty for an unknown lease. */
  OptionalLong renew(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return OptionalLong.empty();
    }
    startTimer(id, lease);
    return OptionalLong.of(lease.seconds);
  }

  /** Attaches a key to a lease; does nothing for an unknown lease. */
  void attach(long id, String key) {
    Lease lease = leases.get(id);
    if (lease != null) {
      lease.keys.add(key);
    }
  }

  /** Revokes a lease and deletes its keys; does nothing for an unknown lease. */
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
