package org.amberpath.registry.runtime;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryFailure;
import org.amberpath.registry.RegistryRecord;

/**
 * Reads and writes a registry for people: each read from the first endpoint that answers, each
 * write one transaction together with the tip, which is not tried again when it may have been
 * carried out.
 */
public final class RegistryAdminClient implements AutoCloseable {
  private static final int PAGE = 1000, MAX_WRITES = 32;
  private static final long TIMEOUT_MILLIS = 3000,
      SECOND = 1_000_000_000,
      MAX_CLOCK_STEP_MILLIS = 3_600_000;

  /** What a person is told when nothing can be read or written. */
  public static final class Refused extends RuntimeException {
    Refused(String message) {
      super(message);
    }
  }

  @SuppressWarnings("ArrayRecordComponent") // Handed over, never compared.
  private record Got(int status, MultiMap headers, byte[] body) {}

  private final RegistrySettings settings;
  private final RegistryProtocol form;
  private final RegistryHttpClient client;
  private final Context loop;

  /**
   * Asked from any thread; works on the event loop of the one that makes it, or on one of Vert.x's.
   */
  public RegistryAdminClient(Vertx vertx, RegistrySettings access) {
    loop = vertx.getOrCreateContext();
    this.settings = access;
    form = RegistrySource.protocol(access);
    client = new RegistryHttpClient(vertx, access, form);
  }

  /** All keys at one revision; fails with what staff can act on. */
  public Future<List<RegistryEntry>> list() {
    return list(0);
  }

  private Future<List<RegistryEntry>> list(int endpoint) {
    return pages(endpoint, 0, "", new ArrayList<>())
        .recover(
            e ->
                endpoint + 1 < settings.endpoints().size()
                    ? list(endpoint + 1)
                    : Future.failedFuture(e));
  }

  private Future<List<RegistryEntry>> pages(
      int endpoint, long revision, String after, List<RegistryEntry> all) {
    return ask(endpoint, form.listRequest(revision, after, 0, PAGE))
        .compose(
            got -> {
              RegistryProtocol.Page page = form.decodePage(got.status, got.headers, got.body);
              all.addAll(page.items());
              if (all.size() > settings.maxKeys()) {
                return Future.failedFuture(
                    new Refused("more than " + settings.maxKeys() + " keys"));
              }
              if (!page.more() || page.items().isEmpty()) {
                return Future.succeededFuture(all);
              }
              return pages(
                  endpoint,
                  revision == 0 ? page.header().revision() : revision,
                  page.items().get(page.items().size() - 1).key(),
                  all);
            });
  }

  /**
   * Writes keys and the tip, or nothing.
   *
   * @param leased whether the keys go by themselves after the retention, where the registry can do
   *     that
   * @return whether nothing had moved meanwhile
   */
  private Future<Boolean> write(List<RegistryProtocol.Write> writes, boolean leased) {
    byte[] tip =
        (System.currentTimeMillis() + " " + Long.toHexString(System.nanoTime()))
            .getBytes(StandardCharsets.US_ASCII);
    boolean grants = leased && settings.protocol() == RegistrySettings.ProtocolKind.ETCD;
    return reached(0)
        .compose(
            endpoint -> {
              Future<Long> lease =
                  grants
                      ? ask(
                              endpoint,
                              EtcdProtocol.leaseGrantRequest(
                                  settings.purgeRetentionNanos() / SECOND))
                          .map(got -> EtcdProtocol.decodeLeaseGrant(got.body))
                      : Future.succeededFuture(0L);
              return lease
                  .compose(id -> ask(endpoint, form.transactionRequest(writes, id, tip)))
                  .map(got -> form.isCommitted(got.status, got.body));
            });
  }

  /**
   * Changes one key from what it was when it was read, or makes it: 0 for a key that is not there.
   */
  public Future<Boolean> write(String key, RegistryRecord content, long changed) {
    return write(List.of(new RegistryProtocol.Write(key, content, changed)), false);
  }

  /**
   * Writes a purge that stays for the retention; those that are past it go with it where nothing
   * else lets them go.
   */
  public Future<Boolean> purge(String name, RegistryRecord.Purge purge) {
    RegistryProtocol.Write made =
        new RegistryProtocol.Write(settings.prefix() + RecordCodec.PURGES_PREFIX + name, purge, 0);
    if (settings.protocol() == RegistrySettings.ProtocolKind.ETCD) {
      return write(List.of(made), true);
    }
    return list()
        .compose(
            all -> {
              List<RegistryProtocol.Write> writes = new ArrayList<>(List.of(made));
              expiredPurges(all, purge.atMs(), settings.purgeRetentionNanos()).stream()
                  .limit(MAX_WRITES - 1)
                  .forEach(
                      held ->
                          writes.add(
                              new RegistryProtocol.Write(held.key(), null, held.modRevision())));
              return write(writes, false);
            });
  }

  /**
   * Purges that are past the retention whichever clocks wrote their stamps: there is nothing else
   * to tell it by here, so both may be a step off, each to its own side.
   */
  static List<RegistryEntry> expiredPurges(List<RegistryEntry> all, long nowMs, long retention) {
    long before = nowMs - retention / (SECOND / 1000) - 2 * MAX_CLOCK_STEP_MILLIS;
    return all.stream()
        .filter(one -> one.value() instanceof RegistryRecord.Purge old && old.atMs() < before)
        .toList();
  }

  /**
   * Deletes keys for the fleet, or nothing: the task's fence moves with them, so an owner that was
   * overtaken meanwhile deletes nothing.
   *
   * @param fence what the task's key holds by what was read; null where there is none
   */
  public Future<Boolean> deletePurges(
      String task, RegistryRecord.Task as, RegistryEntry fence, List<RegistryEntry> old) {
    List<RegistryProtocol.Write> writes = new ArrayList<>();
    writes.add(
        new RegistryProtocol.Write(
            settings.prefix() + RecordCodec.TASKS_PREFIX + task,
            as,
            fence == null ? 0 : fence.modRevision()));
    old.stream()
        .limit(MAX_WRITES)
        .forEach(one -> writes.add(new RegistryProtocol.Write(one.key(), null, one.modRevision())));
    return write(writes, false);
  }

  // ---- Leases, of the form that has them.

  /** The keys that say who owns which task, and under which term. */
  public Future<List<RegistryEntry>> tasks() {
    return each(
        0,
        endpoint ->
            ask(endpoint, etcd().tasksRequest())
                .map(got -> form.decodePage(got.status, got.headers, got.body).items()));
  }

  /**
   * Takes a task for the seconds of a lease, if nobody has it and its term is as it was read.
   *
   * @param changed at what revision the term's key was read; 0 for none
   * @return the lease; 0 where another was first
   */
  public Future<Long> campaign(String task, RegistryRecord.Task as, long changed, long seconds) {
    RegistryProtocol.Write term =
        new RegistryProtocol.Write(
            settings.prefix() + RecordCodec.TASKS_PREFIX + task, as, changed);
    RegistryProtocol.Write owner =
        new RegistryProtocol.Write(settings.prefix() + RecordCodec.OWNERS_PREFIX + task, as, 0);
    return reached(0)
        .compose(
            endpoint ->
                ask(endpoint, EtcdProtocol.leaseGrantRequest(seconds))
                    .map(got -> EtcdProtocol.decodeLeaseGrant(got.body))
                    .compose(
                        lease ->
                            ask(endpoint, etcd().campaignRequest(term, owner, lease))
                                .map(got -> form.isCommitted(got.status, got.body) ? lease : 0L)));
  }

  /** Whether the lease was there to be kept. */
  public Future<Boolean> keepAlive(long lease) {
    return each(
        0,
        endpoint ->
            ask(endpoint, EtcdProtocol.leaseRenewalRequest(lease))
                .map(got -> EtcdProtocol.decodeLeaseRenewal(got.body)));
  }

  /** Gives a lease back, and with it what hangs on it. */
  public Future<Void> revoke(long lease) {
    return each(0, endpoint -> ask(endpoint, EtcdProtocol.leaseRevokeRequest(lease)).mapEmpty());
  }

  private EtcdProtocol etcd() {
    return (EtcdProtocol) form;
  }

  /** The first endpoint that answers; for what may be said twice. */
  private <T> Future<T> each(int endpoint, Function<Integer, Future<T>> what) {
    return what.apply(endpoint)
        .recover(
            e ->
                endpoint + 1 < settings.endpoints().size()
                    ? each(endpoint + 1, what)
                    : Future.failedFuture(e));
  }

  /** The task that a key is of, its owner's or its term's; null for another key. */
  public String taskName(RegistryEntry held, boolean owner) {
    String begins =
        settings.prefix() + (owner ? RecordCodec.OWNERS_PREFIX : RecordCodec.TASKS_PREFIX);
    return held.key().startsWith(begins) && held.value() instanceof RegistryRecord.Task
        ? held.key().substring(begins.length())
        : null;
  }

  /** The first endpoint that answers a read. */
  private Future<Integer> reached(int endpoint) {
    return ask(endpoint, form.heartbeatRequest())
        .map(endpoint)
        .recover(
            e ->
                endpoint + 1 < settings.endpoints().size()
                    ? reached(endpoint + 1)
                    : Future.failedFuture(e));
  }

  private Future<Got> ask(int endpoint, RegistryProtocol.Request ask) {
    // Guards against an answer that comes while a thread of its own is still about to listen to it.
    return Future.future(
        asked -> loop.runOnContext(now -> askHere(endpoint, ask).onComplete(asked)));
  }

  private Future<Got> askHere(int endpoint, RegistryProtocol.Request ask) {
    Promise<Got> got = Promise.promise();
    RegistryHttpClient.Exchange sent =
        client.send(
            endpoint,
            ask,
            false,
            new RegistryHttpClient.ResponseHandler() {
              @Override
              public void completed(int status, MultiMap headers, byte[] body) {
                got.tryComplete(new Got(status, headers, body));
              }

              @Override
              public void failed(RegistryFailure why, long retryAfter) {
                got.tryFail(new Refused(settings.endpoints().get(endpoint) + ": " + say(why)));
              }
            });
    return got.future()
        .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .recover(
            e -> {
              sent.cancel();
              return Future.failedFuture(
                  e instanceof Refused
                      ? e
                      : new Refused(
                          settings.endpoints().get(endpoint)
                              + ": no answer in "
                              + TIMEOUT_MILLIS
                              + " ms; a write may have been carried out"));
            });
  }

  private static String say(RegistryFailure why) {
    return switch (why) {
      case REFUSED -> "nothing listens there";
      case TIMED_OUT -> "no connection in time";
      case UNAUTHORISED -> "it does not take this token or user";
      case UNTRUSTED -> "no TLS connection: look at trust, certificate and key";
      case UNAVAILABLE -> "it can't serve now";
      case THROTTLED -> "it asks for fewer calls";
      default -> "the connection broke, or what came can't be read";
    };
  }

  @Override
  public void close() {
    client.close();
  }
}
