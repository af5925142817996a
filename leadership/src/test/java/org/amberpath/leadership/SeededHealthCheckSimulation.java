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
final class SeededHealthCheckSimulation {
  /** The size of the fleet, the number of caches, and the message loss. */
  enum Scenario {
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

  static final long DURATION_NANOS = 180_000_000_000L;
  private static final long MS = 1_000_000;
  private static final long SECOND = 1000 * MS;

  final RecordedActions actions = new RecordedActions();
  private final Scenario scenario;
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

  SeededHealthCheckSimulation(Scenario scenario, long seed) {
    this.scenario = scenario;
    random = new SplittableRandom(seed * 31 + scenario.ordinal());
    int fleetSize = new int[] {5, 25, 700, 5}[scenario.ordinal()];
    fleet = IntStream.range(0, fleetSize).mapToObj(index -> "g" + index).toList();
    hung = new boolean[new int[] {6, 40, 90, 6}[scenario.ordinal()]];
    int count = new int[] {5, 12, 8, 5}[scenario.ordinal()];
    for (int index = 0; index < count; index++) {
      gateways.add(new Gateway(index, count));
    }
  }

  /** Runs all events. Returns the digest of all actions as hexadecimal digits. */
  String run() {
    gateways.forEach(gateway -> schedule(now + random.nextLong(100 * MS), gateway::tick));
    schedule(now, this::changeCaches);
    schedule(now, this::changeLeader);
    long end = now + DURATION_NANOS;
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

  private void schedule(long atNanos, Runnable action) {
    events.add(new Event(atNanos, ++order, action));
  }

  private void deliver(String to, Delivery delivery) {
    int index = indexOf(to);
    if (index >= gateways.size() || withProbability(scenario == Scenario.LOSSY ? 0.33 : 0.02)) {
      actions.count("lost");
      return;
    }
    long delay = withProbability(0.02) ? random.nextLong(3 * SECOND) : random.nextLong(MS, 20 * MS);
    schedule(now + delay, () -> delivery.deliverTo(gateways.get(index)));
    if (withProbability(0.03)) {
      schedule(
          now + delay + random.nextLong(SECOND), () -> delivery.deliverTo(gateways.get(index)));
    }
  }

  private interface Delivery {
    void deliverTo(Gateway gateway);
  }

  private final class Gateway {
    private final int index;
    private final String name;
    private final boolean[] linkDown = new boolean[hung.length];
    private final TreeSet<String> ejected = new TreeSet<>();
    private final List<String> candidates;
    private HealthCheckCoordinator coordinator = new HealthCheckCoordinator();
    private long believedTerm;

    Gateway(int index, int count) {
      this.index = index;
      name = "g" + index;
      candidates =
          CandidateOrder.order(HealthCheckCoordinator.TASK, fleet).stream()
              .filter(other -> !other.equals(name) && indexOf(other) < count + 2)
              .toList();
    }

    private boolean leads() {
      return index == leader || index == formerLeader;
    }

    private boolean responds(int cache) {
      return !hung[cache] && !linkDown[cache];
    }

    void restart() {
      coordinator = new HealthCheckCoordinator();
      ejected.clear();
      actions.record("restarted", name);
    }

    private void tick() {
      observe();
      boolean leading = leads();
      HealthCheckCoordinator.ReportRequest request =
          coordinator.nextReportRequest(now, fleet.size(), () -> candidates, leading);
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
      if (leading) {
        sendDueChecks();
        broadcastReport();
      } else {
        coordinator.leadershipLost();
      }
      actions.record(
          "state",
          name,
          leading,
          coordinator.isCentralized(now, leading),
          coordinator.hasSuspects(),
          coordinator.isIdle(),
          coordinator.highestTerm());
      actions.count("for all " + coordinator.isCentralized(now, leading));
      actions.count("idle " + coordinator.isIdle());
      schedule(now + random.nextLong(60 * MS, 140 * MS), this::tick);
    }

    /**
     * Reports to the coordinator whether some randomly chosen caches respond to this gateway's own
     * requests.
     */
    private void observe() {
      for (int observed = 0; observed < 4; observed++) {
        int cache = random.nextInt(hung.length);
        String cacheName = "c" + cache;
        if (!responds(cache)) {
          if (withProbability(0.6)) {
            ejected.add(cacheName);
            coordinator.healthChanged(now, cacheName, false);
          }
        } else {
          String notifiedLeader = coordinator.endpointResponded(now, cacheName);
          if (!notifiedLeader.isEmpty()) {
            actions.record("heard", name, notifiedLeader, cacheName);
            deliver(notifiedLeader, gateway -> gateway.endpointsResponsive(List.of(cacheName)));
          }
          if (ejected.remove(cacheName)) {
            coordinator.healthChanged(now, cacheName, true);
          }
        }
      }
    }

    private void sendDueChecks() {
      for (String cache : coordinator.dueHealthChecks(now)) {
        actions.record("check", name, cache);
        int number = indexOf(cache);
        boolean answers = responds(number);
        if (withProbability(0.05)) {
          checkEnded(cache, HealthCheckCoordinator.HealthCheckOutcome.NOT_SENT);
        } else {
          schedule(
              now + (answers ? random.nextLong(5 * MS, 90 * MS) : 400 * MS),
              () ->
                  checkEnded(
                      cache,
                      answers
                          ? HealthCheckCoordinator.HealthCheckOutcome.ANSWERED
                          : HealthCheckCoordinator.HealthCheckOutcome.SILENT));
        }
      }
    }

    private void checkEnded(String cache, HealthCheckCoordinator.HealthCheckOutcome outcome) {
      actions.record("checked", name, cache, outcome.ordinal());
      actions.count("checked " + outcome.ordinal());
      coordinator.healthCheckEnded(now, cache, outcome);
    }

    private void broadcastReport() {
      Map<String, HealthCheckCoordinator.HealthReport> reports = coordinator.broadcastReport(now);
      if (!reports.isEmpty()) {
        actions.record("news", name, describe(reports));
        long reportTerm = believedTerm;
        List<String> recipients = coordinator.broadcastRecipients(now, fleet);
        actions.record("to", name, String.join(",", recipients));
        for (String recipient : recipients) {
          deliver(recipient, gateway -> gateway.reportReceived(name, reportTerm, 0, reports));
        }
      }
    }

    private void reportRequested(Gateway requester, long requestedAtNanos, List<String> caches) {
      if (leads()) {
        Map<String, HealthCheckCoordinator.HealthReport> reports =
            coordinator.reportRequested(now, requester.name, caches);
        actions.record("answer", name, requester.name, describe(reports));
        long reportTerm = believedTerm;
        deliver(
            requester.name,
            gateway -> gateway.reportReceived(name, reportTerm, requestedAtNanos, reports));
        sendDueChecks();
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
        long reportTerm,
        long requestedAtNanos,
        Map<String, HealthCheckCoordinator.HealthReport> reports) {
      Map<String, HealthCheckCoordinator.HealthReport> accepted =
          coordinator.reportReceived(now, from, reportTerm, requestedAtNanos, reports);
      if (accepted == null) {
        actions.record("word refused", name, from, reportTerm, coordinator.highestTerm());
      } else {
        actions.record("word", name, from, reportTerm, requestedAtNanos, describe(accepted));
      }
    }
  }

  private static int indexOf(String name) {
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

  private void changeCaches() {
    int cache = random.nextInt(hung.length);
    if (withProbability(0.5)) {
      hung[cache] = !hung[cache] && withProbability(0.7);
    } else {
      Gateway gateway = gateways.get(random.nextInt(gateways.size()));
      gateway.linkDown[cache] = !gateway.linkDown[cache] && withProbability(0.6);
    }
    if (scenario == Scenario.LARGE && withProbability(0.03)) {
      boolean hang = withProbability(0.5);
      for (int each = 0; each < hung.length; each++) {
        hung[each] = hang && each % 10 != 0;
      }
    }
    if (withProbability(0.02)) {
      gateways.get(random.nextInt(gateways.size())).restart();
    }
    long pause = scenario == Scenario.SMALL || scenario == Scenario.LOSSY ? 1500 * MS : 300 * MS;
    schedule(now + random.nextLong(pause), this::changeCaches);
  }

  private void changeLeader() {
    formerLeader = withProbability(0.4) ? leader : -1;
    leader = withProbability(0.15) ? -1 : random.nextInt(gateways.size());
    if (leader >= 0) {
      term += withProbability(0.1) ? 0 : 1 + random.nextInt(3);
      gateways.get(leader).believedTerm = term;
    }
    actions.record("leader", leader, formerLeader, term);
    schedule(now + 3 * SECOND, () -> formerLeader = -1);
    schedule(now + 3 * SECOND + random.nextLong(30 * SECOND), this::changeLeader);
  }
}
