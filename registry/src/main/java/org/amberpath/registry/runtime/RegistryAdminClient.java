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
 * Reads and writes a registry for operators and tasks: each read from the first endpoint that
 * answers, each write one transaction together with the tip, which is not tried again when it may
 * have been carried out. Futures fail with {@link RegistryRequestException}, or with {@link
 * org.amberpath.gateway.settings.InvalidDocumentException} where an answer can't be decoded. Called
 * from any thread.
 */
public final class RegistryAdminClient implements AutoCloseable {
  private static final int PAGE_SIZE = 1000;
  private static final int MAX_WRITES = 32;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final long MAX_CLOCK_STEP_MILLIS = 3_600_000;

  /** How long the keys of a transaction stay. */
  private enum Lifetime {
    /** Until they are deleted. */
    PERMANENT,
    /** For the retention of purges, where the registry has leases. */
    RETENTION
  }

  private final RegistrySettings settings;
  private final AdminRequests requests;
  private final RegistryProtocol protocol;
  private final LeaseClient leases;

  /** Makes a client that has requested nothing yet. */
  public RegistryAdminClient(Vertx vertx, RegistrySettings settings) {
    this.settings = settings;
    requests = new AdminRequests(vertx, settings);
    protocol = requests.protocol();
    leases = new LeaseClient(requests, settings.prefix());
  }

  /** All keys at one revision. */
  public Future<List<RegistryEntry>> list() {
    return requests.firstAnswering(endpoint -> listPages(endpoint, 0, "", new ArrayList<>()));
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

  /** Writes keys and the tip, or nothing; returns whether nothing was written meanwhile. */
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
   * Changes one key, or makes it, if it is as it was read.
   *
   * @param value the new value; null deletes the key
   * @param modRevision at which revision it was last written; 0 for a key that is not there
   * @return whether it was; otherwise nothing was written
   */
  public Future<Boolean> write(String key, RegistryRecord value, long modRevision) {
    return commit(
        List.of(new RegistryProtocol.Write(key, Optional.ofNullable(value), modRevision)),
        Lifetime.PERMANENT);
  }

  /**
   * Writes a purge that stays for the retention. Where the registry has no leases, purges that are
   * past their retention are deleted with it.
   *
   * @return whether it was written; otherwise one of the keys was written meanwhile
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
              expiredPurges(entries, purge.atMs(), settings.purgeRetentionNanos()).stream()
                  .limit(MAX_WRITES - 1)
                  .forEach(expired -> writes.add(deletion(expired)));
              return commit(writes, Lifetime.PERMANENT);
            });
  }

  private static RegistryProtocol.Write deletion(RegistryEntry entry) {
    return RegistryProtocol.Write.delete(entry.key(), entry.modRevision());
  }

  /**
   * Purges that are past the retention whichever clocks wrote their stamps: there is nothing else
   * to tell it by here, so both may be a step off, each to its own side.
   */
  static List<RegistryEntry> expiredPurges(
      List<RegistryEntry> entries, long nowMillis, long retentionNanos) {
    long beforeMillis = nowMillis - retentionNanos / NANOS_PER_MILLI - 2 * MAX_CLOCK_STEP_MILLIS;
    return entries.stream()
        .filter(
            entry ->
                entry.value() instanceof RegistryRecord.Purge purge && purge.atMs() < beforeMillis)
        .toList();
  }

  /**
   * Deletes keys for the fleet, or nothing: the task's fence is written with them, so a leader that
   * was superseded meanwhile deletes nothing.
   *
   * @param fence the task's key as it was read; null where there is none
   * @param expired what is deleted; the first {@value #MAX_WRITES} of them
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

  /** The keys that say who owns which task, and under which term; etcd alone has them. */
  public Future<List<RegistryEntry>> tasks() {
    return leases.tasks();
  }

  /**
   * Takes a task for the time to live of a new lease, if nobody has it and its term is as it was
   * read.
   *
   * @param modRevision at which revision the term's key was last written; 0 for none
   * @return the lease's id; 0 where another one was first
   */
  public Future<Long> campaign(
      String task, RegistryRecord.Task candidate, long modRevision, long ttlSeconds) {
    return leases.campaign(task, candidate, modRevision, ttlSeconds);
  }

  /** Lease renewal; false where the lease has expired. */
  public Future<Boolean> keepAlive(long leaseId) {
    return leases.renew(leaseId);
  }

  /** Gives a lease back, and with it the keys that hang on it. */
  public Future<Void> revoke(long leaseId) {
    return leases.revoke(leaseId);
  }

  /** The task that a key is of, its owner's or its term's; null for another key. */
  public String taskName(RegistryEntry entry, boolean owner) {
    String begins =
        settings.prefix() + (owner ? RecordCodec.OWNERS_PREFIX : RecordCodec.TASKS_PREFIX);
    return entry.key().startsWith(begins) && entry.value() instanceof RegistryRecord.Task
        ? entry.key().substring(begins.length())
        : null;
  }

  @Override
  public void close() {
    requests.close();
  }
}
