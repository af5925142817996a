package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.VirtualScheduler;
import org.amberpath.lab.registry.VirtualRegistry.Way;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.RegistryView;
import org.amberpath.registry.WatchSession;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;

/**
 * The registry's pure half at size on the virtual clock: time to apply a change, cost a client, a
 * herd after an outage.
 */
public final class RegistrySizeExperiment {
  private static final long MS = VirtualRegistry.MS,
      SECOND = VirtualRegistry.SECOND,
      START = 1_700_000_000L * SECOND;
  private static final int ENDPOINTS = 3, BYTES_A_KEY = 300, HERD = 500;
  private static final long BUSY = 10 * SECOND,
      OUTAGE = 5 * SECOND,
      BIN = 100 * MS,
      HIGHEST_US = 60_000_000;

  private RegistrySizeExperiment() {}

  /** Who is told nothing but when. */
  private static final class Listener implements EndpointListener {
    private final Runnable told;

    Listener(Runnable told) {
      this.told = told;
    }

    @Override
    public void endpointListStarted(EndpointListKind kind) {}

    @Override
    public void endpointListed(ListedEndpoint endpoint) {}

    @Override
    public void endpointListCompleted() {
      told.run();
    }

    @Override
    public void objectPurged(long object, int group, long atMs) {}
  }

  private static RegistryRecord.Cache cache(int number, EndpointState state) {
    return new RegistryRecord.Cache(
        "c" + number, "127.0.0.1:" + (1000 + number % 60_000), "z", "box", 0, state, 1, 0);
  }

  private static void write(VirtualRegistry registry, int number, EndpointState state) {
    Map<String, RegistryRecord> writes = new TreeMap<>();
    writes.put(VirtualRegistry.PREFIX + "caches/c" + number, cache(number, state));
    writes.put(VirtualRegistry.TIP, new RegistryRecord.Other());
    registry.write(writes);
  }

  /** So many caches, watched by so many clients, with so many changes a second. */
  public static ExperimentReport run(long seed, int caches, int clients, int changes) {
    ExperimentReport result =
        new ExperimentReport(seed)
            .figure("caches", caches)
            .figure("clients", clients)
            .figure("changes_a_second", changes);
    applied(seed, caches, clients, changes, result);
    herd(seed, result);
    return result;
  }

  private static void applied(
      long seed, int caches, int clients, int changes, ExperimentReport result) {
    SplittableRandom chance = new SplittableRandom(seed);
    VirtualScheduler agenda = new VirtualScheduler(START);
    VirtualRegistry registry = new VirtualRegistry(agenda, ENDPOINTS, false, chance.nextLong());
    for (int number = 0; number < caches; number++) {
      write(registry, number, EndpointState.UP);
    }
    registry.history.compact(registry.history.revision());
    List<VirtualRegistry.Client> all = new ArrayList<>();
    Map<Long, Long> committed = new TreeMap<>();
    Histogram delay = new Histogram(HIGHEST_US, 3);
    long before = used();
    for (int one = 0; one < clients; one++) {
      VirtualRegistry.Client[] self = new VirtualRegistry.Client[1];
      RegistryView view =
          new RegistryView(
              new Listener(
                  () -> {
                    Long at = committed.get(self[0].view.appliedRevision());
                    if (at != null) {
                      delay.recordValue((agenda.now() - at) / 1000);
                    }
                  }),
              VirtualRegistry.TIP,
              caches * 2,
              600 * SECOND,
              line -> {});
      self[0] = registry.new Client(view, caches * 2, chance.nextLong(), line -> {});
      all.add(self[0]);
    }
    long listed = System.nanoTime();
    all.forEach(VirtualRegistry.Client::start);
    while (agenda.step(START + 2 * SECOND)) {
      // The condition does the work.
    }
    listed = System.nanoTime() - listed;
    long memory = used() - before;
    long items = registry.items, answers = registry.answers, busy = System.nanoTime();
    for (long at = 0; at < BUSY; at += SECOND / changes) {
      long when = START + 2 * SECOND + at;
      agenda.at(
          when,
          () -> {
            write(
                registry,
                chance.nextInt(caches),
                chance.nextBoolean() ? EndpointState.UP : EndpointState.DRAINING);
            committed.put(registry.history.revision(), agenda.now());
          });
    }
    while (agenda.step(START + 2 * SECOND + BUSY + SECOND)) {
      // The condition does the work.
    }
    busy = System.nanoTime() - busy;
    long seconds = (BUSY + SECOND) / SECOND;
    result
        .figure("first_list_cpu_ms_a_client", listed / 1e6 / clients)
        .figure("memory_kb_a_client", memory / 1024 / clients)
        .figure("apply_p50_ms", delay.getValueAtPercentile(50) / 1000.0)
        .figure("apply_p99_ms", delay.getValueAtPercentile(99) / 1000.0)
        .figure("apply_max_ms", delay.getMaxValue() / 1000.0)
        .figure(
            "kb_a_second_a_client",
            (registry.items - items) * BYTES_A_KEY / 1024 / seconds / clients)
        .figure("answers_a_second_a_client", (registry.answers - answers) / seconds / clients)
        .figure("cpu_us_a_change_a_client", busy / 1e3 / changes / (BUSY / SECOND) / clients)
        .bar(
            "all at the last revision",
            all.stream().allMatch(one -> one.view.appliedRevision() == registry.history.revision()))
        .bar("p99 under 250 ms", delay.getValueAtPercentile(99) < 250_000);
  }

  private static long used() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /**
   * Hundreds of clients lose all endpoints for some seconds: how many calls come in the dearest
   * moment of the return.
   */
  private static void herd(long seed, ExperimentReport result) {
    SplittableRandom chance = new SplittableRandom(seed);
    VirtualScheduler agenda = new VirtualScheduler(START);
    VirtualRegistry registry = new VirtualRegistry(agenda, ENDPOINTS, false, chance.nextLong());
    for (int number = 0; number < 50; number++) {
      write(registry, number, EndpointState.UP);
    }
    List<VirtualRegistry.Client> all = new ArrayList<>();
    for (int one = 0; one < HERD; one++) {
      RegistryView view =
          new RegistryView(
              new Listener(() -> {}), VirtualRegistry.TIP, 1000, 600 * SECOND, line -> {});
      all.add(registry.new Client(view, 1000, chance.nextLong(), line -> {}));
    }
    all.forEach(VirtualRegistry.Client::start);
    long down = START + 3 * SECOND, back = down + OUTAGE;
    agenda.at(down, () -> registry.nodes.forEach(node -> node.become(Way.REFUSES)));
    agenda.at(
        back,
        () -> {
          registry.nodes.forEach(node -> node.become(Way.ANSWERS));
          write(registry, 0, EndpointState.DRAINING);
        });
    while (agenda.step(back)) {
      // The condition does the work.
    }
    long dearest = 0, steady = 0, current = 0;
    for (long at = back; at < back + 8 * SECOND; at += BIN) {
      long[] before = registry.nodes.stream().mapToLong(node -> node.connects).toArray();
      while (agenda.step(at + BIN)) {
        // The condition does the work.
      }
      for (int node = 0; node < ENDPOINTS; node++) {
        long calls = registry.nodes.get(node).connects - before[node];
        dearest = Math.max(dearest, calls);
        steady = at >= back + 7 * SECOND ? Math.max(steady, calls) : steady;
      }
      boolean there =
          all.stream()
              .allMatch(
                  one ->
                      one.recovery.phase() == WatchSession.Phase.CURRENT
                          && one.view.appliedRevision() == registry.history.revision());
      current = there && current == 0 ? at + BIN - back : current;
    }
    result
        .figure("herd_clients", HERD)
        .figure("herd_dearest_calls_in_100_ms_an_endpoint", dearest)
        .figure("herd_steady_calls_in_100_ms_an_endpoint", steady)
        .figure("herd_all_current_ms", current / MS)
        .bar("no herd: under a call a client in the dearest 100 ms", dearest < HERD)
        .bar("all current within 2 s of the return", current > 0 && current <= 2 * SECOND);
  }
}
