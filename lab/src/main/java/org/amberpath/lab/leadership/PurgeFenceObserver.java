package org.amberpath.lab.leadership;

import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.amberpath.lab.registry.StandInRegistry;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.runtime.RecordCodec;

/**
 * Writes old purges into a registry, and judges by its keys who deletes them: the terms of the
 * task's fence never fall, and one term is one leader's. Only for the registry's event loop.
 */
final class PurgeFenceObserver {
  private static final String TASK = "sweep";
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long PURGE_AGE_MILLIS = 3 * 3_600_000L;
  private static final long FIRST_OBJECT = 0xf000_0000L;
  private static final long MAX_PURGE_MILLIS = 1000;
  private static final int MAX_VIOLATIONS = 20;

  private final StandInRegistry registry;
  private final String prefix;
  private final Map<Long, String> leadersByTerm = new TreeMap<>();
  private final List<String> violations = new ArrayList<>();

  /** Of each purge that is still there, when it was written: bounded by the purges of one run. */
  private final Map<String, Long> writtenAtNanos = new HashMap<>();

  private byte[] lastFence = new byte[0];
  private long highestTerm;
  private long termsThatActed;
  private long purgeCount;
  private long oldestPurgeMillis;

  /** When faults ended; 0 before. */
  private long calmSinceNanos;

  private long vacantSinceNanos;
  private long longestVacancyNanos;

  /** When the leader was told to end, until another acts; 0 at all other times. */
  private long leaderEndedNanos;

  private long longestSuccessionNanos;

  PurgeFenceObserver(StandInRegistry registry, String prefix) {
    this.registry = registry;
    this.prefix = prefix;
  }

  /** Writes a purge that is old by any clock, of an object that nobody asks for. */
  void writePurge() {
    purgeCount++;
    String key = prefix + RecordCodec.PURGES_PREFIX + purgeCount;
    Map<String, byte[]> transaction = new TreeMap<>();
    transaction.put(
        key,
        RecordCodec.encode(
            new RegistryRecord.Purge(
                FIRST_OBJECT + purgeCount, 0, System.currentTimeMillis() - PURGE_AGE_MILLIS)));
    transaction.put(
        prefix + RecordCodec.TIP_KEY,
        Long.toString(purgeCount).getBytes(StandardCharsets.US_ASCII));
    registry.write(transaction);
    writtenAtNanos.put(key, System.nanoTime());
  }

  /** Looks at the registry's keys. */
  void observe() {
    long nowNanos = System.nanoTime();
    Map<String, byte[]> entries = registry.entries();
    writtenAtNanos.keySet().removeIf(key -> !entries.containsKey(key));
    long oldestNanos =
        writtenAtNanos.values().stream().mapToLong(written -> written).min().orElse(nowNanos);
    oldestPurgeMillis = Math.max(0, (nowNanos - oldestNanos) / NANOS_PER_MILLI);
    byte[] fence = entries.getOrDefault(prefix + RecordCodec.TASKS_PREFIX + TASK, lastFence);
    if (!Arrays.equals(fence, lastFence)) {
      lastFence = fence;
      fenceChanged(new JsonObject(new String(fence, StandardCharsets.UTF_8)));
    }
    observeVacancy(nowNanos);
  }

  private void fenceChanged(JsonObject fence) {
    termsThatActed++;
    long term = fence.getLong("term");
    String leader = fence.getString("by");
    String previous = leadersByTerm.putIfAbsent(term, leader);
    if (term < highestTerm) {
      violation("term " + term + " of " + leader + " after " + highestTerm);
    }
    if (previous != null && !previous.equals(leader)) {
      violation("term " + term + " is " + previous + "'s and " + leader + "'s");
    }
    if (term > highestTerm && leaderEndedNanos > 0) {
      longestSuccessionNanos =
          Math.max(longestSuccessionNanos, System.nanoTime() - leaderEndedNanos);
      leaderEndedNanos = 0;
    }
    highestTerm = Math.max(highestTerm, term);
  }

  /** Only once calm: without a majority, or with the registry away, nobody may delete. */
  private void observeVacancy(long nowNanos) {
    if (calmSinceNanos > 0 && oldestPurgeMillis > MAX_PURGE_MILLIS) {
      vacantSinceNanos = vacantSinceNanos == 0 ? nowNanos : vacantSinceNanos;
      longestVacancyNanos =
          Math.max(longestVacancyNanos, nowNanos - Math.max(calmSinceNanos, vacantSinceNanos));
    } else {
      vacantSinceNanos = 0;
    }
  }

  private void violation(String message) {
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add(message);
    }
  }

  /** Faults have ended. */
  void calm() {
    calmSinceNanos = System.nanoTime();
  }

  /** The name of who acted last; empty before anybody has. */
  String leader() {
    return leadersByTerm.getOrDefault(highestTerm, "");
  }

  /** A gateway has been told to end. */
  void ending(String name) {
    leaderEndedNanos = leader().equals(name) ? System.nanoTime() : 0;
  }

  List<String> violations() {
    return violations;
  }

  int leaderTerms() {
    return leadersByTerm.size();
  }

  long termsThatActed() {
    return termsThatActed;
  }

  long purgeCount() {
    return purgeCount;
  }

  /** For how long the oldest purge has been there. */
  long oldestPurgeMillis() {
    return oldestPurgeMillis;
  }

  long longestVacancyMillis() {
    return longestVacancyNanos / NANOS_PER_MILLI;
  }

  long longestSuccessionMillis() {
    return longestSuccessionNanos / NANOS_PER_MILLI;
  }
}
