package org.amberpath.lab.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.amberpath.lab.Loops;
import org.amberpath.lab.registry.StandInRegistry;
import org.amberpath.leadership.Sweep;
import org.amberpath.registry.Content;
import org.amberpath.registry.Held;
import org.amberpath.registry.runtime.KeyForm;
import org.amberpath.registry.runtime.RegistryAccess;
import org.amberpath.registry.runtime.RegistryDesk;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.SocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** An owner that stood still between reading and deleting, while another took over: its late act deletes nothing. */
class FencedSweepTest {
  private static final String PREFIX = "p/", KEY = PREFIX + KeyForm.TASKS + Sweep.TASK;
  private static final long SECOND = 1_000_000_000, RETENTION = 10 * SECOND, NOW_MS = 1_800_000_000_000L;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final StandInRegistry registry = new StandInRegistry(vertx, new HttpServerOptions());

  private <T> T on(Callable<T> what) throws Exception {
    return Loops.on(vertx, what);
  }

  private void purge(String name, long agoMs) throws Exception {
    on(() -> registry.write(Map.of(PREFIX + KeyForm.PURGES + name,
        KeyForm.write(new Content.Purge(7, 0, NOW_MS - agoMs)))));
  }

  @AfterEach
  void stop() throws Exception {
    Loops.await(vertx.close());
  }

  @ParameterizedTest
  @EnumSource(RegistryAccess.Form.class)
  void aLateActOfAnOlderTermDeletesNothing(RegistryAccess.Form form) throws Exception {
    int port = Loops.await(on(() -> registry.open(0))).port();
    RegistryAccess access = new RegistryAccess(form, List.of(SocketAddress.inetSocketAddress(port, "127.0.0.1")),
        PREFIX, null, null, null, null, null, null, null, SECOND, SECOND, RETENTION, 1000, 1 << 20);
    Sweep sweep = new Sweep(RETENTION, SECOND);
    purge("old", 60_000);
    try (RegistryDesk desk = new RegistryDesk(vertx, access)) {
      // The first owner reads, and stands still.
      assertEquals(List.of(), sweep.old(Loops.await(desk.list()), 0, NOW_MS));
      purge("young", 1000);
      List<Held> read = Loops.await(desk.list());
      Held fence = Sweep.fence(read, KEY);
      List<Held> old = sweep.old(read, RETENTION + 1, NOW_MS);
      assertEquals(List.of(PREFIX + KeyForm.PURGES + "old"), old.stream().map(Held::key).toList());

      // The second acts under a higher term; another purge grows old.
      assertTrue(Loops.await(desk.sweep(Sweep.TASK, new Content.Task(20, "g2"), fence, old)));
      purge("older", 90_000);
      List<Held> left = Loops.await(desk.list());
      assertEquals(List.of(), sweep.old(left, RETENTION + 2, NOW_MS));
      List<Held> late = sweep.old(left, 2 * RETENTION + 3, NOW_MS).stream()
          .filter(one -> one.key().endsWith("/older")).toList();
      assertEquals(1, late.size());

      // The first wakes up, and goes on with what it read.
      assertFalse(Loops.await(desk.sweep(Sweep.TASK, new Content.Task(10, "g1"), fence, late)));
      List<Held> now = Loops.await(desk.list());
      assertEquals(new Content.Task(20, "g2"), Sweep.fence(now, KEY).content());
      assertTrue(now.stream().anyMatch(one -> one.key().endsWith("/older")));

      // The second goes on by its own fence.
      assertTrue(Loops.await(desk.sweep(Sweep.TASK, new Content.Task(20, "g2"), Sweep.fence(now, KEY), late)));
      assertEquals(1, Loops.await(desk.list()).stream().filter(one -> one.content() instanceof Content.Purge).count());
    }
  }
}
