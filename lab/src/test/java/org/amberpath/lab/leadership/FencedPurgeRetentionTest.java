package org.amberpath.lab.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.SocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.amberpath.lab.EventLoopWaiter;
import org.amberpath.lab.registry.StandInRegistry;
import org.amberpath.leadership.PurgeRetention;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.runtime.RecordCodec;
import org.amberpath.registry.runtime.RegistryAdminClient;
import org.amberpath.registry.runtime.RegistrySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a stale leader: a leader that is paused between reading and deleting, while
 * another leader takes over, must delete nothing when it resumes.
 */
class FencedPurgeRetentionTest {
  private static final String PREFIX = "p/";
  private static final String KEY = PREFIX + RecordCodec.TASKS_PREFIX + PurgeRetention.TASK;
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final long RETENTION_NANOS = 10 * NANOS_PER_SECOND;
  private static final long NOW_MS = 1_800_000_000_000L;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final StandInRegistry registry = new StandInRegistry(vertx, new HttpServerOptions());

  private <T> T callOnLoop(Callable<T> callable) throws Exception {
    return EventLoopWaiter.callOnLoop(vertx, callable);
  }

  private void writePurge(String name, long agoMs) throws Exception {
    callOnLoop(
        () ->
            registry.write(
                Map.of(
                    PREFIX + RecordCodec.PURGES_PREFIX + name,
                    RecordCodec.encode(new RegistryRecord.Purge(7, 0, NOW_MS - agoMs)))));
  }

  @AfterEach
  void stop() throws Exception {
    EventLoopWaiter.await(vertx.close());
  }

  @ParameterizedTest
  @EnumSource(RegistrySettings.ProtocolKind.class)
  void lateDeletionOfLowerTermDeletesNothing(RegistrySettings.ProtocolKind protocolKind)
      throws Exception {
    int port = EventLoopWaiter.await(callOnLoop(() -> registry.open(0))).port();
    RegistrySettings settings =
        new RegistrySettings(
            protocolKind,
            List.of(SocketAddress.inetSocketAddress(port, "127.0.0.1")),
            PREFIX,
            null,
            null,
            null,
            null,
            null,
            null,
            null,
            NANOS_PER_SECOND,
            NANOS_PER_SECOND,
            RETENTION_NANOS,
            1000,
            1 << 20);
    PurgeRetention retention = new PurgeRetention(RETENTION_NANOS, NANOS_PER_SECOND);
    writePurge("old", 60_000);
    try (RegistryAdminClient adminClient = new RegistryAdminClient(vertx, settings)) {
      // The first leader reads the purges and is then paused.
      assertEquals(
          List.of(), retention.expiredPurges(EventLoopWaiter.await(adminClient.list()), 0, NOW_MS));
      writePurge("young", 1000);
      List<RegistryEntry> entriesRead = EventLoopWaiter.await(adminClient.list());
      RegistryEntry fence = PurgeRetention.findFence(entriesRead, KEY);
      List<RegistryEntry> expiredPurges =
          retention.expiredPurges(entriesRead, RETENTION_NANOS + 1, NOW_MS);
      assertEquals(
          List.of(PREFIX + RecordCodec.PURGES_PREFIX + "old"),
          expiredPurges.stream().map(RegistryEntry::key).toList());

      // The second leader deletes under a higher term; then another purge expires.
      assertTrue(
          EventLoopWaiter.await(
              adminClient.deletePurges(
                  PurgeRetention.TASK, new RegistryRecord.Task(20, "g2"), fence, expiredPurges)));
      writePurge("older", 90_000);
      List<RegistryEntry> remainingEntries = EventLoopWaiter.await(adminClient.list());
      assertEquals(
          List.of(), retention.expiredPurges(remainingEntries, RETENTION_NANOS + 2, NOW_MS));
      List<RegistryEntry> laterExpired =
          retention.expiredPurges(remainingEntries, 2 * RETENTION_NANOS + 3, NOW_MS).stream()
              .filter(one -> one.key().endsWith("/older"))
              .toList();
      assertEquals(1, laterExpired.size());

      // The first leader resumes, and tries to delete with the fence that it read before.
      assertFalse(
          EventLoopWaiter.await(
              adminClient.deletePurges(
                  PurgeRetention.TASK, new RegistryRecord.Task(10, "g1"), fence, laterExpired)));
      List<RegistryEntry> currentEntries = EventLoopWaiter.await(adminClient.list());
      assertEquals(
          new RegistryRecord.Task(20, "g2"), PurgeRetention.findFence(currentEntries, KEY).value());
      assertTrue(currentEntries.stream().anyMatch(one -> one.key().endsWith("/older")));

      // The second leader deletes with its own, current fence.
      assertTrue(
          EventLoopWaiter.await(
              adminClient.deletePurges(
                  PurgeRetention.TASK,
                  new RegistryRecord.Task(20, "g2"),
                  PurgeRetention.findFence(currentEntries, KEY),
                  laterExpired)));
      assertEquals(
          1,
          EventLoopWaiter.await(adminClient.list()).stream()
              .filter(one -> one.value() instanceof RegistryRecord.Purge)
              .count());
    }
  }
}
