package org.amberpath.registry.runtime;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryPage;
import org.amberpath.registry.RegistryRecord;

/**
 * Reads and writes a registry for operators and tasks. A read uses the first endpoint that
 * responds. A write is one transaction that includes the tip; it is not retried once it may have
 * been carried out. Futures fail with {@link RegistryRequestException}, or with {@link
 * org.amberpath.gateway.settings.InvalidDocumentException} if a response can't be decoded.
 * Thread-safe.
 */
public final class RegistryAdminClient implements AutoCloseable {
  private static final int PAGE_SIZE = 1000;
  private static final int MAX_WRITES = 32;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final long MAX_CLOCK_STEP_MILLIS = 3_600_000;

  /** How long the keys of a transaction exist. */
  private enum Lifetime {
    /** Until they are deleted. */
    PERMANENT,
    /**
     * For the retention of purges, if the registry has leases; otherwise until they are deleted.
     */
    RETENTION
  }

  private final RegistrySettings settings;
  private final AdminRequests requests;
  private final RegistryProtocol protocol;
  private final LeaseClient leases;

  /** Creates a client; it connects with its first request. */
  public RegistryAdminClient(Vertx vertx, RegistrySettings settings) {
    this.settings = settings;
    requests = new AdminRequests(vertx, settings);
    protocol = requests.protocol();
    leases = new LeaseClient(requests, settings.prefix());
  }

  /** Lists all keys at one revision. */
  public Future<List<RegistryEntry>> list() {
    return requests.fromFirstResponding(endpoint -> listPages(endpoint, 0, "", new ArrayList<>()));
  }

  private Future<List<RegistryEntry>> listPages(
      int endpoint, long revision, String afterKey, List<RegistryEntry> entries) {
    return requests
        .send(endpoint, protocol.listRequest(revision, afterKey, 0, PAGE_SIZE))
        .compose(
            response -> {
              RegistryPage page =
                  protocol.decodePage(response.status(), response.headers(), response.body());
              entries.addAll(page.entries());
              if (entries.size() > settings.maxKeys()) {
                return Future.failedFuture(
                    new RegistryRequestException.TooManyKeys(settings.maxKeys()));
              }
              if (!page.hasMore() || page.entries().isEmpty()) {
                return Future.succeededFuture(entries);
              }
              return listPages(
                  endpoint,
                  revision == 0 ? page.header().revision() : revision,
                  page.entries().get(page.entries().size() - 1).key(),
                  entries);
            });
  }

  /**
   * Writes keys and the tip in one transaction; returns false if nothing was written because one of
   * the keys had changed.
   */
  private Future<Boolean> commit(List<RegistryProtocol.Write> writes, Lifetime lifetime) {
    String tip = System.currentTimeMillis() + " " + Long.toHexString(System.nanoTime());
    return requests
        .firstReachable()
        .compose(
            endpoint ->
                leaseFor(endpoint, lifetime)
                    .compose(
                        leaseId ->
                            requests.send(
                                endpoint,
                                protocol.transactionRequest(
                                    writes, leaseId, tip.getBytes(StandardCharsets.US_ASCII))))
                    .map(response -> protocol.isCommitted(response.status(), response.body())));
  }

  private Future<Long> leaseFor(int endpoint, Lifetime lifetime) {
    return lifetime == Lifetime.RETENTION && hasLeases()
        ? leases.grant(endpoint, settings.purgeRetentionNanos() / NANOS_PER_SECOND)
        : Future.succeededFuture(0L);
  }

  private boolean hasLeases() {
    return settings.protocol() == RegistrySettings.ProtocolKind.ETCD;
  }

  /**
   * Writes one key if it has not changed since it was read.
   *
   * @param value the new value; null deletes the key
   * @param modRevision the revision at which the key was last written; 0 for a key that does not
   *     exist
   * @return whether the key was written; false if it had changed
   */
  public Future<Boolean> write(String key, RegistryRecord value, long modRevision) {
    return commit(
        List.of(new RegistryProtocol.Write(key, Optional.ofNullable(value), modRevision)),
        Lifetime.PERMANENT);
  }

  /**
   * Writes a purge that is kept for the retention time. If the registry has no leases, the same
   * transaction deletes purges that are past their retention.
   *
   * @return whether the purge was written; false if one of the keys had changed
   */
  public Future<Boolean> purge(String name, RegistryRecord.Purge purge) {
    RegistryProtocol.Write added =
        RegistryProtocol.Write.put(settings.prefix() + RecordCodec.PURGES_PREFIX + name, purge, 0);
    if (hasLeases()) {
      return commit(List.of(added), Lifetime.RETENTION);
    }
    return list()
        .compose(
            entries -> {
              List<RegistryProtocol.Write> writes = new ArrayList<>(List.of(added));
              expiredPurges(entries, purge.issuedAtMs(), settings.purgeRetentionNanos()).stream()
                  .limit(MAX_WRITES - 1)
                  .forEach(expired -> writes.add(deletion(expired)));
              return commit(writes, Lifetime.PERMANENT);
            });
  }

  private static RegistryProtocol.Write deletion(RegistryEntry entry) {
    return RegistryProtocol.Write.delete(entry.key(), entry.modRevision());
  }

  /**
   * Returns the purges that are past the retention, whichever clocks wrote their timestamps. The
   * timestamps are the only evidence of age, and the writer's clock and this one may each be off by
   * the largest step, in opposite directions.
   */
  static List<RegistryEntry> expiredPurges(
      List<RegistryEntry> entries, long nowMillis, long retentionNanos) {
    long cutoffMillis = nowMillis - retentionNanos / NANOS_PER_MILLI - 2 * MAX_CLOCK_STEP_MILLIS;
    return entries.stream()
        .filter(
            entry ->
                entry.value() instanceof RegistryRecord.Purge purge
                    && purge.issuedAtMs() < cutoffMillis)
        .toList();
  }

  /**
   * Deletes purges for the fleet in one transaction that also writes the task's fence, so that a
   * leader that was superseded meanwhile deletes nothing.
   *
   * @param fence the task's entry as it was read; null if it does not exist
   * @param expired the purges to delete; only the first {@value #MAX_WRITES} are deleted
   * @return whether the purges were deleted; false if one of the keys had changed
   */
  public Future<Boolean> deletePurges(
      String task, RegistryRecord.Task leader, RegistryEntry fence, List<RegistryEntry> expired) {
    List<RegistryProtocol.Write> writes = new ArrayList<>();
    writes.add(
        RegistryProtocol.Write.put(
            settings.prefix() + RecordCodec.TASKS_PREFIX + task,
            leader,
            fence == null ? 0 : fence.modRevision()));
    expired.stream().limit(MAX_WRITES).forEach(entry -> writes.add(deletion(entry)));
    return commit(writes, Lifetime.PERMANENT);
  }

  /** Lists the keys of the tasks' owners and terms. Only etcd has them. */
  public Future<List<RegistryEntry>> tasks() {
    return leases.tasks();
  }

  /**
   * Acquires a task under a new lease if the task has no owner and its term has not changed since
   * it was read.
   *
   * @param modRevision the revision at which the term's key was last written; 0 if it does not
   *     exist
   * @param ttlSeconds the lease's time to live
   * @return the lease's id; 0 if another candidate was first
   */
  public Future<Long> campaign(
      String task, RegistryRecord.Task candidate, long modRevision, long ttlSeconds) {
    return leases.campaign(task, candidate, modRevision, ttlSeconds);
  }

  /** Renews a lease; returns false if it has expired. */
  public Future<Boolean> keepAlive(long leaseId) {
    return leases.renew(leaseId);
  }

  /** Revokes a lease, which deletes the keys attached to it. */
  public Future<Void> revoke(long leaseId) {
    return leases.revoke(leaseId);
  }

  /**
   * Returns the name of the task that an entry belongs to; null if it belongs to none.
   *
   * @param isOwnerKey true to match owner keys, false to match term keys
   */
  public String taskName(RegistryEntry entry, boolean isOwnerKey) {
    String keyPrefix =
        settings.prefix() + (isOwnerKey ? RecordCodec.OWNERS_PREFIX : RecordCodec.TASKS_PREFIX);
    return entry.key().startsWith(keyPrefix) && entry.value() instanceof RegistryRecord.Task
        ? entry.key().substring(keyPrefix.length())
        : null;
  }

  @Override
  public void close() {
    requests.close();
  }
}
