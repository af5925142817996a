package org.amberpath.leadership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.IntStream;

/**
 * Simulates several gateways of a fleet that eject caches and have them health-checked by a leader,
 * without I/O or a real clock. Faults: caches hang, single gateways lose the link to a cache,
 * messages are lost, delayed and duplicated, leaders change, act on after their leadership has
 * ended, or are absent. Every request, answer, health check and report is recorded in order. Random
 * numbers are drawn from the simulation's own generator, so that a seed gives the same events
 * everywhere.
 */
@SuppressWarnings("EnumOrdinal") // The order of the constants is part of the recorded seeds.
final class SeededHealthCheckWorld {
  /** The size of the fleet, the number of caches, and the message loss. */
  enum Setting {
    /** Five gateways, six caches. */
    SMALL,
    /** Twelve simulated gateways of a fleet of twenty-five, forty caches. */
    MIDDLE,
    /** Eight simulated gateways of a fleet of seven hundred, more caches than are tracked. */
    LARGE,
    /** As SMALL, and a third of all messages is lost. */
    LOSSY
  }

  private record Event(long atNanos, long order, Runnable action) {}

  static final long PLAYED_NANOS = 180_000_000_000L;
  private static final long MS = 1_000_000;
  private static final long SECOND = 1000 * MS;

  final RecordedActions actions = new RecordedActions();
  private final Setting setting;
  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
  private final List<Gateway> gateways = new ArrayList<>();
  private final List<String> fleet;
  private final boolean[] hung;
  private long now = 5 * SECOND;
  private long order;
  private long term = 3;
  private int leader = -1;
  private int formerLeader = -1;

  SeededHealthCheckWorld(Setting setting, long seed) {
    this.setting = setting;
    random = new SplittableRandom(seed * 31 + setting.ordinal());
    int fleetSize = new int[] {5, 25, 700, 5}[setting.ordinal()];
    fleet = IntStream.range(0, fleetSize).mapToObj(index -> "g" + index).toList();
    hung = new boolean[new int[] {6, 40, 90, 6}[setting.ordinal()]];
    int count = new int[] {5, 12, 8, 5}[setting.ordinal()];
    for (int index = 0; index < count; index++) {
      gateways.add(new Gateway(index, count));
    }
  }

  /** Runs all events. Returns the digest of all actions as hexadecimal digits. */
  String play() {
    gateways.forEach(gateway -> at(now + random.nextLong(100 * MS), gateway::tick));
    at(now, this::cacheChanges);
    at(now, this::leaderChanges);
    long end = now + PLAYED_NANOS;
    while (!events.isEmpty() && events.peek().atNanos <= end) {
      Event event = events.poll();
      now = event.atNanos;
      event.action.run();
    }
    return actions.digest();
  }

  private boolean withProbability(double probability) {
    return random.nextDouble() < probability;
  }

  private void at(long atNanos, Runnable action) {
    events.add(new Event(atNanos, ++order, action));
  }

  private void deliver(String to, Arrival arrival) {
    int index = number(to);
    if (index >= gateways.size() || withProbability(setting == Setting.LOSSY ? 0.33 : 0.02)) {
      actions.count("lost");
      return;
    }
    long delay = withProbability(0.02) ? random.nextLong(3 * SECOND) : random.nextLong(MS, 20 * MS);
    at(now + delay, () -> arrival.at(gateways.get(index)));
    if (withProbability(0.03)) {
      at(now + delay + random.nextLong(SECOND), () -> arrival.at(gateways.get(index)));
    }
  }

  private interface Arrival {
    void at(Gateway gateway);
  }

  private final class Gateway {
    private final int index;
    private final String name;
    private final boolean[] cut = new boolean[hung.length];
    private final TreeSet<String> ejected = new TreeSet<>();
    private final List<String> candidates;
    private HealthCheckCoordinator coordinator = new HealthCheckCoordinator();
    private long believedTerm;

    Gateway(int index, int count) {
      this.index = index;
      name = "g" + index;
      candidates =
          CandidateOrder.order(HealthCheckCoordinator.TASK, fleet).stream()
              .filter(other -> !other.equals(name) && number(other) < count + 2)
              .toList();
    }

    private boolean leads() {
      return index == leader || index == formerLeader;
    }

    private boolean answers(int cache) {
      return !hung[cache] && !cut[cache];
    }

    void restart() {
      coordinator = new HealthCheckCoordinator();
      ejected.clear();
      actions.record("restarted", name);
    }

    private void tick() {
      observe();
      boolean own = leads();
      HealthCheckCoordinator.ReportRequest request =
          coordinator.nextReportRequest(now, fleet.size(), () -> candidates, own);
      if (request != null) {
        actions.record(
            "ask",
            name,
            request.recipient(),
            request.requestedAtNanos(),
            String.join(",", request.endpoints()),
            ejected.size());
        deliver(
            request.recipient(),
            gateway ->
                gateway.reportRequested(this, request.requestedAtNanos(), request.endpoints()));
      }
      if (own) {
        check();
        report();
      } else {
        coordinator.leadershipLost();
      }
      actions.record(
          "state",
          name,
          own,
          coordinator.isCentralized(now, own),
          coordinator.hasSuspects(),
          coordinator.isIdle(),
          coordinator.highestTerm());
      actions.count("for all " + coordinator.isCentralized(now, own));
      actions.count("idle " + coordinator.isIdle());
      at(now + random.nextLong(60 * MS, 140 * MS), this::tick);
    }

    /**
     * Reports to the coordinator whether some randomly chosen caches respond to this gateway's own
     * requests.
     */
    private void observe() {
      for (int looked = 0; looked < 4; looked++) {
        int cache = random.nextInt(hung.length);
        String cacheName = "c" + cache;
        if (!answers(cache)) {
          if (withProbability(0.6)) {
            ejected.add(cacheName);
            coordinator.healthChanged(now, cacheName, false);
          }
        } else {
          String owner = coordinator.endpointResponded(now, cacheName);
          if (!owner.isEmpty()) {
            actions.record("heard", name, owner, cacheName);
            deliver(owner, gateway -> gateway.endpointsResponsive(List.of(cacheName)));
          }
          if (ejected.remove(cacheName)) {
            coordinator.healthChanged(now, cacheName, true);
          }
        }
      }
    }

    private void check() {
      for (String cache : coordinator.dueHealthChecks(now)) {
        actions.record("check", name, cache);
        int number = number(cache);
        boolean answers = answers(number);
        if (withProbability(0.05)) {
          ended(cache, HealthCheckCoordinator.HealthCheckOutcome.NOT_SENT);
        } else {
          at(
              now + (answers ? random.nextLong(5 * MS, 90 * MS) : 400 * MS),
              () ->
                  ended(
                      cache,
                      answers
                          ? HealthCheckCoordinator.HealthCheckOutcome.ANSWERED
                          : HealthCheckCoordinator.HealthCheckOutcome.SILENT));
        }
      }
    }

    private void ended(String cache, HealthCheckCoordinator.HealthCheckOutcome outcome) {
      actions.record("checked", name, cache, outcome.ordinal());
      actions.count("checked " + outcome.ordinal());
      coordinator.healthCheckEnded(now, cache, outcome);
    }

    private void report() {
      Map<String, HealthCheckCoordinator.HealthReport> reports = coordinator.broadcastReport(now);
      if (!reports.isEmpty()) {
        actions.record("news", name, describe(reports));
        long reportedUnder = believedTerm;
        List<String> recipients = coordinator.broadcastRecipients(now, fleet);
        actions.record("to", name, String.join(",", recipients));
        for (String recipient : recipients) {
          deliver(recipient, gateway -> gateway.reportReceived(name, reportedUnder, 0, reports));
        }
      }
    }

    private void reportRequested(Gateway by, long stamp, List<String> caches) {
      if (leads()) {
        Map<String, HealthCheckCoordinator.HealthReport> reports =
            coordinator.reportRequested(now, by.name, caches);
        actions.record("answer", name, by.name, describe(reports));
        long answeredUnder = believedTerm;
        deliver(by.name, gateway -> gateway.reportReceived(name, answeredUnder, stamp, reports));
        check();
      }
    }

    private void endpointsResponsive(List<String> caches) {
      if (leads()) {
        coordinator.endpointsResponsive(now, caches);
        actions.record("heard of", name, String.join(",", caches));
      }
    }

    private void reportReceived(
        String from,
        long ofTerm,
        long stamp,
        Map<String, HealthCheckCoordinator.HealthReport> reports) {
      Map<String, HealthCheckCoordinator.HealthReport> accepted =
          coordinator.reportReceived(now, from, ofTerm, stamp, reports);
      if (accepted == null) {
        actions.record("word refused", name, from, ofTerm, coordinator.highestTerm());
      } else {
        actions.record("word", name, from, ofTerm, stamp, describe(accepted));
      }
    }
  }

  private static int number(String name) {
    return Integer.parseInt(name.substring(1));
  }

  private String describe(Map<String, HealthCheckCoordinator.HealthReport> reports) {
    StringBuilder text = new StringBuilder();
    reports.forEach(
        (cache, result) -> {
          text.append(cache)
              .append('=')
              .append(result.responded())
              .append(result.ageNanos())
              .append(',');
          actions.count(
              result.ageNanos() < 0
                  ? "result none"
                  : result.responded() ? "result up" : "result silent");
        });
    return text.toString();
  }

  // ---- Changes and faults.

  private void cacheChanges() {
    int cache = random.nextInt(hung.length);
    if (withProbability(0.5)) {
      hung[cache] = !hung[cache] && withProbability(0.7);
    } else {
      Gateway gateway = gateways.get(random.nextInt(gateways.size()));
      gateway.cut[cache] = !gateway.cut[cache] && withProbability(0.6);
    }
    if (setting == Setting.LARGE && withProbability(0.03)) {
      boolean hang = withProbability(0.5);
      for (int each = 0; each < hung.length; each++) {
        hung[each] = hang && each % 10 != 0;
      }
    }
    if (withProbability(0.02)) {
      gateways.get(random.nextInt(gateways.size())).restart();
    }
    long pause = setting == Setting.SMALL || setting == Setting.LOSSY ? 1500 * MS : 300 * MS;
    at(now + random.nextLong(pause), this::cacheChanges);
  }

  private void leaderChanges() {
    formerLeader = withProbability(0.4) ? leader : -1;
    leader = withProbability(0.15) ? -1 : random.nextInt(gateways.size());
    if (leader >= 0) {
      term += withProbability(0.1) ? 0 : 1 + random.nextInt(3);
      gateways.get(leader).believedTerm = term;
    }
    actions.record("leader", leader, formerLeader, term);
    at(now + 3 * SECOND, () -> formerLeader = -1);
    at(now + 3 * SECOND + random.nextLong(30 * SECOND), this::leaderChanges);
  }
}
