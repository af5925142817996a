package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.amberpath.lab.VirtualScheduler;
import org.amberpath.lab.registry.VirtualRegistry.Node;
import org.amberpath.lab.registry.VirtualRegistry.Way;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.RegistryView;
import org.amberpath.routing.EndpointState;

/**
 * One run of the registry's pure half on a virtual clock: changes and faults in any order from a
 * seed, with all bars checked after each step. Everything in it follows from the seed alone.
 */
final class RegistryModel {
  private static final long MS = VirtualRegistry.MS, SECOND = VirtualRegistry.SECOND;
  private static final long START = 1_700_000_000L * SECOND, BUSY = 20 * SECOND, QUIET = 5 * SECOND;
  private static final long RETENTION = 4 * SECOND,
      REACHED = 1250 * MS,
      DRAIN = 250 * MS,
      PURGE = 300 * MS;
  private static final List<Way> FAULTS = List.of(Way.SILENT, Way.REFUSES, Way.UNAVAILABLE);
  private static final int CACHES = 12, MOST_KEYS = 400, LATEST_TRUTHS = 400;

  /** A bar that was missed. */
  static final class Missed extends RuntimeException {
    Missed(String what) {
      super(what);
    }
  }

  /** What the caches were at a revision; a value of null is one that can't be read. */
  private record Truth(long revision, Map<String, RegistryRecord.Cache> caches) {}

  private final SplittableRandom chance;
  private final VirtualScheduler agenda = new VirtualScheduler(START);
  private final VirtualRegistry registry;
  private final VirtualRegistry.Client client;
  private final RecordedEndpointList told;
  private final Set<Long> unserved = new HashSet<>();
  private final List<Truth> truths = new ArrayList<>();
  private final long busyUntil = START + BUSY;
  private long purges;
  private boolean restoring;
  private long steps, drains;
  private int fresh;

  RegistryModel(long seed, Consumer<String> story) {
    chance = new SplittableRandom(seed);
    boolean blocking = chance.nextInt(4) == 0;
    registry = new VirtualRegistry(agenda, chance.nextInt(1, 5), blocking, chance.nextLong());
    Consumer<String> timed = line -> story.accept((agenda.now() - START) / 1000 + " us: " + line);
    registry.story = timed;
    told =
        new RecordedEndpointList(
            agenda::now,
            timed,
            what -> {
              throw new Missed(what);
            });
    RegistryView view = new RegistryView(told, VirtualRegistry.TIP, MOST_KEYS, RETENTION, timed);
    client = registry.new Client(view, MOST_KEYS, chance.nextLong(), timed);
  }

  /** Plays it all. */
  Map<String, Long> run() {
    truth();
    for (int cache = 0; cache < CACHES; cache++) {
      write("c" + cache, cache(cache, EndpointState.UP), true);
    }
    client.start();
    agenda.at(START + chance.nextLong(SECOND), this::change);
    agenda.at(START + chance.nextLong(SECOND), this::fault);
    agenda.at(busyUntil, this::heal);
    while (agenda.step(busyUntil + QUIET)) {
      steps++;
      check();
    }
    boolean judged = registry.goodFor(REACHED);
    if (judged
        && (client.view.appliedRevision() < lastOfOurs()
            || !matches(truths.get(truths.size() - 1)))) {
      throw new Missed(
          "quiet, but the view is at "
              + client.view.appliedRevision()
              + " of "
              + registry.history.revision()
              + ": "
              + client.recovery.phase());
    }
    return Map.of(
        "steps",
        steps,
        "drains",
        drains,
        "quiet_judged",
        judged ? 1L : 0L,
        "listings",
        told.listings());
  }

  private long lastOfOurs() {
    return registry.history.now().entrySet().stream()
        .filter(one -> one.getKey().startsWith(VirtualRegistry.PREFIX))
        .mapToLong(one -> one.getValue().changed())
        .max()
        .orElse(0);
  }

  // ---- What is written.

  private RegistryRecord.Cache cache(int number, EndpointState state) {
    return new RegistryRecord.Cache(
        "c" + number, "127.0.0.1:" + (1000 + chance.nextInt(9000)), "z", "box", 0, state, 1, 0);
  }

  private void write(String id, RegistryRecord content, boolean touchesTip) {
    Map<String, RegistryRecord> writes = new TreeMap<>();
    writes.put(VirtualRegistry.PREFIX + "caches/" + id, content);
    write(writes, touchesTip);
  }

  private void write(Map<String, RegistryRecord> writes, boolean touchesTip) {
    if (touchesTip) {
      writes.put(VirtualRegistry.TIP, new RegistryRecord.Other());
    }
    registry.write(writes);
    registry.story.accept("written as " + registry.history.revision() + ": " + writes);
    truth();
  }

  private void truth() {
    Map<String, RegistryRecord.Cache> caches = new TreeMap<>();
    registry
        .history
        .now()
        .forEach(
            (key, kept) -> {
              if (kept.value() instanceof RegistryRecord.Cache cache) {
                caches.put(cache.id(), cache);
              } else if (kept.value() instanceof RegistryRecord.Unreadable) {
                caches.put(key.substring(key.lastIndexOf('/') + 1), null);
              }
            });
    truths.add(new Truth(registry.history.revision(), caches));
    if (truths.size() > LATEST_TRUTHS) {
      truths.remove(0);
    }
  }

  private void change() {
    if (agenda.now() >= busyUntil) {
      return;
    }
    if (!restoring) {
      changeOne();
    }
    agenda.at(
        agenda.now() + chance.nextLong(chance.nextInt(5) == 0 ? SECOND : 120 * MS), this::change);
  }

  private void changeOne() {
    int number = chance.nextInt(CACHES + 4);
    String id = "c" + number;
    boolean tip = chance.nextInt(10) > 0;
    switch (chance.nextInt(12)) {
      case 0, 1, 2 -> {
        write(id, cache(number, EndpointState.DRAINING), tip);
        watchDrain(id, tip);
      }
      case 3, 4, 5 -> write(id, cache(number, EndpointState.UP), tip);
      case 6 -> write(id, null, tip);
      case 7 -> {
        // Gone, and another one under the same id at once.
        write(id, null, tip);
        write(id, cache(number, EndpointState.UP), tip);
      }
      case 8 -> {
        Map<String, RegistryRecord> several = new TreeMap<>();
        for (int more = 0; more < 4; more++) {
          int other = chance.nextInt(CACHES + 4);
          several.put(VirtualRegistry.PREFIX + "caches/c" + other, cache(other, EndpointState.UP));
        }
        write(several, tip);
      }
      case 9 -> write(id, new RegistryRecord.Unreadable("spoilt"), tip);
      case 10 -> purge();
      default ->
          registry.write(new TreeMap<>(Map.of("other/" + number, new RegistryRecord.Other())));
    }
    if (chance.nextInt(6) == 0) {
      registry.history.compact(registry.history.revision() - chance.nextLong(20));
    }
  }

  private void purge() {
    long object = ++purges;
    String key = VirtualRegistry.PREFIX + "purges/" + object;
    Map<String, RegistryRecord> writes = new TreeMap<>();
    writes.put(key, new RegistryRecord.Purge(object, 0, agenda.now() / MS - chance.nextLong(1500)));
    write(writes, true);
    long at = agenda.now();
    RevisionedStore<RegistryRecord> of = registry.history;
    agenda.at(
        at + RETENTION,
        () -> {
          // Who never had a list by then has served nothing that it could be about.
          if (!client.view.hasData()) {
            unserved.add(object);
          }
          if (of == registry.history) {
            Map<String, RegistryRecord> over = new TreeMap<>();
            over.put(key, null);
            registry.write(over);
            truth();
          }
        });
    agenda.at(at + PURGE, () -> duePurge(object, at, of));
  }

  private void duePurge(long object, long at, RevisionedStore<RegistryRecord> of) {
    // What a restored registry never held, nobody can hear of.
    if (unserved.contains(object)
        || (of != registry.history
            && !registry.history.now().containsKey(VirtualRegistry.PREFIX + "purges/" + object))
        || told.purgedSince(object, at)) {
      return;
    }
    if (registry.goodFor(REACHED) && !restoring) {
      throw new Missed("purge " + object + " of " + at + " not told by " + agenda.now());
    }
    if (agenda.now() < busyUntil + QUIET - PURGE) {
      agenda.at(agenda.now() + 10 * MS, () -> duePurge(object, at, of));
    }
  }

  private void watchDrain(String id, boolean tip) {
    long revision = registry.history.revision(), at = agenda.now();
    RevisionedStore<RegistryRecord> of = registry.history;
    if (tip) {
      drains++;
      agenda.at(at + DRAIN, () -> dueDrain(id, revision, at, of));
    }
  }

  private void dueDrain(String id, long revision, long at, RevisionedStore<RegistryRecord> of) {
    if (of != registry.history) {
      return;
    }
    if (client.view.appliedRevision() >= revision
        && client.view.clusterId().equals(client.view.clusterId().isEmpty() ? "" : of.cluster)) {
      return;
    }
    if (registry.goodFor(REACHED)) {
      throw new Missed(
          "drain of "
              + id
              + " at revision "
              + revision
              + ", "
              + at
              + ", view at "
              + client.view.appliedRevision()
              + " by "
              + agenda.now()
              + ": "
              + client.recovery.phase());
    }
    agenda.at(agenda.now() + 10 * MS, () -> dueDrain(id, revision, at, of));
  }

  // ---- What goes wrong.

  private void fault() {
    if (agenda.now() >= busyUntil) {
      return;
    }
    Node node = registry.nodes.get(chance.nextInt(registry.nodes.size()));
    switch (chance.nextInt(10)) {
      case 0, 1 -> node.cut();
      case 2, 3 -> away(node, Way.SILENT);
      case 4 -> away(node, Way.REFUSES);
      case 5 -> away(node, chance.nextBoolean() ? Way.UNAVAILABLE : Way.UNAUTHORISED);
      case 6 -> node.slowness(chance.nextLong(800 * MS), 0);
      case 7 -> node.slowness(0, chance.nextLong(400 * MS));
      case 8 -> {
        Way way = FAULTS.get(chance.nextInt(FAULTS.size()));
        registry.nodes.forEach(each -> away(each, way));
      }
      default -> restore();
    }
    // Now and then two in the same moment.
    long next = chance.nextInt(4) == 0 ? 0 : chance.nextLong(1500 * MS);
    agenda.at(agenda.now() + next, this::fault);
    if (chance.nextInt(2) == 0) {
      agenda.at(
          agenda.now() + chance.nextLong(2 * SECOND),
          () -> {
            if (!restoring) {
              node.slowness(0, 0);
              node.become(Way.ANSWERS);
            }
          });
    }
  }

  private void away(Node node, Way way) {
    node.become(way);
    agenda.at(
        agenda.now() + chance.nextLong(chance.nextInt(4) == 0 ? 7 * SECOND : SECOND),
        () -> {
          if (!restoring) {
            node.become(Way.ANSWERS);
          }
        });
  }

  /**
   * The registry goes down, and comes back as it was some writes ago: under its id or another one.
   */
  private void restore() {
    if (restoring || agenda.now() > busyUntil - 5 * SECOND || chance.nextInt(2) == 0) {
      return;
    }
    String id = chance.nextBoolean() ? registry.history.cluster : "c" + (2 + ++fresh);
    RevisionedStore<RegistryRecord> backup = registry.history.copy(id);
    agenda.at(
        agenda.now() + chance.nextLong(3 * SECOND),
        () -> {
          if (restoring || agenda.now() > busyUntil - 4 * SECOND) {
            return;
          }
          restoring = true;
          registry.nodes.forEach(node -> node.become(Way.REFUSES));
          agenda.at(
              agenda.now() + 1200 * MS + chance.nextLong(SECOND),
              () -> {
                restoring = false;
                registry.restore(backup);
                told.otherHistory();
                truth();
                registry.nodes.forEach(
                    node -> {
                      node.slowness(0, 0);
                      node.become(Way.ANSWERS);
                    });
              });
        });
  }

  private void heal() {
    registry.nodes.forEach(
        node -> {
          node.slowness(0, 0);
          node.become(Way.ANSWERS);
        });
  }

  // ---- What is told, and the bars.

  private void check() {
    if (!told.changed()) {
      return;
    }
    long revision = client.view.appliedRevision();
    for (int at = truths.size() - 1; at >= 0; at--) {
      // The last truth at or under the revision, in this history or one before it.
      Truth truth = truths.get(at);
      boolean last =
          at == truths.size() - 1
              || truths.get(at + 1).revision > revision
              || truths.get(at + 1).revision <= truth.revision;
      if (truth.revision <= revision && last && matches(truth)) {
        return;
      }
    }
    registry.story.accept("told: " + told.caches());
    throw new Missed("what was told is no state of the registry at revision " + revision);
  }

  private boolean matches(Truth truth) {
    for (String id : truth.caches.keySet()) {
      RegistryRecord.Cache cache = truth.caches.get(id);
      if (cache != null && !cache.equals(told.caches().get(id))) {
        return false;
      }
    }
    return truth.caches.keySet().containsAll(told.caches().keySet());
  }
}
