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
 * Writes expired purges into a registry and checks the fence that leaders write when they delete
 * them: the term of the fence never decreases, and a term belongs to one leader only. Not
 * thread-safe; confined to the registry's event loop.
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

  /**
   * When each purge that the registry still holds was written, by key; bounded by the number of
   * purges of one run.
   */
  private final Map<String, Long> writtenAtNanos = new HashMap<>();

  private byte[] lastFence = new byte[0];
  private long highestTerm;
  private long termsThatActed;
  private long purgeCount;
  private long oldestPurgeMillis;

  /** When the faults ended; 0 until then. */
  private long faultsEndedNanos;

  private long vacantSinceNanos;
  private long longestVacancyNanos;

  /**
   * When the current leader was asked to terminate; 0 once another leader has acted, and when no
   * termination of a leader is pending.
   */
  private long leaderTerminationNanos;

  private long longestSuccessionNanos;

  PurgeFenceObserver(StandInRegistry registry, String prefix) {
    this.registry = registry;
    this.prefix = prefix;
  }

  /**
   * Writes a purge of an object that is never requested, dated three hours back, so that it has
   * expired by the clock of every gateway.
   */
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

  /** Reads the registry's keys and updates the figures and violations. */
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
      addViolation("fence: term " + term + " of " + leader + " written after term " + highestTerm);
    }
    if (previous != null && !previous.equals(leader)) {
      addViolation("fence: term " + term + " written by " + previous + " and by " + leader);
    }
    if (term > highestTerm && leaderTerminationNanos > 0) {
      longestSuccessionNanos =
          Math.max(longestSuccessionNanos, System.nanoTime() - leaderTerminationNanos);
      leaderTerminationNanos = 0;
    }
    highestTerm = Math.max(highestTerm, term);
  }

  /**
   * Measures vacancies only after the faults have ended: while there is no majority or the registry
   * is unavailable, no gateway may delete purges.
   */
  private void observeVacancy(long nowNanos) {
    if (faultsEndedNanos > 0 && oldestPurgeMillis > MAX_PURGE_MILLIS) {
      vacantSinceNanos = vacantSinceNanos == 0 ? nowNanos : vacantSinceNanos;
      longestVacancyNanos =
          Math.max(longestVacancyNanos, nowNanos - Math.max(faultsEndedNanos, vacantSinceNanos));
    } else {
      vacantSinceNanos = 0;
    }
  }

  private void addViolation(String message) {
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add(message);
    }
  }

  /** Records that the faults have ended. */
  void faultsEnded() {
    faultsEndedNanos = System.nanoTime();
  }

  /**
   * Returns the name of the leader with the highest term seen in the fence; empty before the first.
   */
  String leader() {
    return leadersByTerm.getOrDefault(highestTerm, "");
  }

  /** Records that a gateway is asked to terminate. */
  void terminationRequested(String name) {
    leaderTerminationNanos = leader().equals(name) ? System.nanoTime() : 0;
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

  /** Returns the time since the oldest purge that is still in the registry was written. */
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
