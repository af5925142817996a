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
 * An owner that stood still between reading and deleting, while another took over: its late act
 * deletes nothing.
 */
class FencedPurgeRetentionTest {
  private static final String PREFIX = "p/";
  private static final String KEY = PREFIX + RecordCodec.TASKS_PREFIX + PurgeRetention.TASK;
  private static final long SECOND = 1_000_000_000;
  private static final long RETENTION = 10 * SECOND;
  private static final long NOW_MS = 1_800_000_000_000L;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final StandInRegistry registry = new StandInRegistry(vertx, new HttpServerOptions());

  private <T> T on(Callable<T> what) throws Exception {
    return EventLoopWaiter.callOnLoop(vertx, what);
  }

  private void purge(String name, long agoMs) throws Exception {
    on(
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
  void aLateActOfAnOlderTermDeletesNothing(RegistrySettings.ProtocolKind form) throws Exception {
    int port = EventLoopWaiter.await(on(() -> registry.open(0))).port();
    RegistrySettings access =
        new RegistrySettings(
            form,
            List.of(SocketAddress.inetSocketAddress(port, "127.0.0.1")),
            PREFIX,
            null,
            null,
            null,
            null,
            null,
            null,
            null,
            SECOND,
            SECOND,
            RETENTION,
            1000,
            1 << 20);
    PurgeRetention sweep = new PurgeRetention(RETENTION, SECOND);
    purge("old", 60_000);
    try (RegistryAdminClient desk = new RegistryAdminClient(vertx, access)) {
      // The first owner reads, and stands still.
      assertEquals(List.of(), sweep.expiredPurges(EventLoopWaiter.await(desk.list()), 0, NOW_MS));
      purge("young", 1000);
      List<RegistryEntry> read = EventLoopWaiter.await(desk.list());
      RegistryEntry fence = PurgeRetention.findFence(read, KEY);
      List<RegistryEntry> old = sweep.expiredPurges(read, RETENTION + 1, NOW_MS);
      assertEquals(
          List.of(PREFIX + RecordCodec.PURGES_PREFIX + "old"),
          old.stream().map(RegistryEntry::key).toList());

      // The second acts under a higher term; another purge grows old.
      assertTrue(
          EventLoopWaiter.await(
              desk.deletePurges(
                  PurgeRetention.TASK, new RegistryRecord.Task(20, "g2"), fence, old)));
      purge("older", 90_000);
      List<RegistryEntry> left = EventLoopWaiter.await(desk.list());
      assertEquals(List.of(), sweep.expiredPurges(left, RETENTION + 2, NOW_MS));
      List<RegistryEntry> late =
          sweep.expiredPurges(left, 2 * RETENTION + 3, NOW_MS).stream()
              .filter(one -> one.key().endsWith("/older"))
              .toList();
      assertEquals(1, late.size());

      // The first wakes up, and goes on with what it read.
      assertFalse(
          EventLoopWaiter.await(
              desk.deletePurges(
                  PurgeRetention.TASK, new RegistryRecord.Task(10, "g1"), fence, late)));
      List<RegistryEntry> now = EventLoopWaiter.await(desk.list());
      assertEquals(new RegistryRecord.Task(20, "g2"), PurgeRetention.findFence(now, KEY).value());
      assertTrue(now.stream().anyMatch(one -> one.key().endsWith("/older")));

      // The second goes on by its own fence.
      assertTrue(
          EventLoopWaiter.await(
              desk.deletePurges(
                  PurgeRetention.TASK,
                  new RegistryRecord.Task(20, "g2"),
                  PurgeRetention.findFence(now, KEY),
                  late)));
      assertEquals(
          1,
          EventLoopWaiter.await(desk.list()).stream()
              .filter(one -> one.value() instanceof RegistryRecord.Purge)
              .count());
    }
  }
}
