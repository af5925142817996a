package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Slow start: what any number of gateways together send an endpoint that has just started, in any
 * fall time, against the bound at which it falls. Virtual time; more demand than the endpoint can
 * bear.
 */
class SlowStartBoundTest {
  private static final long MS = 1_000_000L, STEP = 10 * MS, SECOND = 1000 * MS;
  private static final long FALL = SECOND, COLD_TIME = 30 * SECOND, WORK = 100 * MS;
  private static final double SHARE = 0.2;
  private static final int COLD = 0, WARM = 1, PARENT = 2, ORIGIN = 3;
  private long objective = WORK, now = 1000 * SECOND, startedAt, ids;
  private double weight = 4, warm = 400;
  private int cold = COLD, seeds, sent;
  private boolean warmUp, misses;
  private final List<Instance> gateways = new ArrayList<>();
  private final List<Long> sends = new ArrayList<>();

  @ParameterizedTest
  @CsvSource({
    "1, 4", "2, 4", "10, 4", "40, 4", "100, 4", "1, 40", "2, 40", "10, 40", "40, 40", "100, 40"
  })
  void afterAStartThatAllHear(int count, double size) {
    weight = size;
    fleet(count);
    starts();
    play(4 * SECOND, 3);
    assertTrue(sent >= 4 * 3 * SHARE * weight * FALL / WORK / 3, "a third of it is used: " + sent);
  }

  /** Where no flood is to be feared, a gateway that asks seldom finds its part whenever it asks. */
  @Test
  void thinDemandIsNotMadeToWaitWhileWarmPeersCarryTheRest() {
    warmUp = true;
    warm = weight;
    fleet(100);
    starts();
    play(10 * SECOND, 0);
    int turns = 400;
    for (int turn = 0; turn < turns; turn++, now += 50 * MS) {
      gateways.get(turn % gateways.size()).step(10);
      check();
    }
    assertTrue(sent >= turns * 3 / 4, "sent " + sent);
  }

  @ParameterizedTest
  @CsvSource({
    "1, 300",
    "2, 300",
    "10, 300",
    "40, 300",
    "100, 300",
    "1, 1500",
    "2, 1500",
    "10, 1500",
    "40, 1500",
    "100, 1500"
  })
  void gatewaysThatRestartRememberNothingOfWhatTheySent(int count, int afterMs) {
    weight = 40;
    fleet(count);
    starts();
    play(afterMs * MS, 3);
    gateways.clear();
    fleet(count);
    play(3 * SECOND, 3);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 10, 40, 100})
  void anObjectiveFarUnderTheMeanWorkIsNoMeasureOfAFirstSend(int count) {
    objective = WORK / 10;
    startedAt = now - SECOND;
    fleet(count);
    play(3 * SECOND, 3);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 10, 40, 100})
  void aNewListForgivesNothing(int count) {
    fleet(count);
    starts();
    for (int list = 0; list < 10; list++) {
      play(150 * MS, 3);
      gateways.forEach(one -> one.list(EndpointListKind.FULL));
    }
    play(SECOND, 3);
  }

  @ParameterizedTest
  @CsvSource({
    "1, 1", "2, 1", "10, 1", "40, 1", "100, 1", "1, 4", "2, 4", "10, 4", "40, 4", "100, 4", "100, 8"
  })
  void demandThatSetsInLate(int count, double size) {
    weight = size;
    fleet(count);
    starts();
    play(5 * SECOND, 0);
    play(3 * SECOND, 3);
  }

  @ParameterizedTest
  @CsvSource({
    "1, false",
    "2, false",
    "10, false",
    "40, false",
    "100, false",
    "1, true",
    "2, true",
    "10, true",
    "40, true",
    "100, true"
  })
  void aParentUnderFills(int count, boolean afterHits) {
    weight = 40;
    cold = PARENT;
    warmUp = true;
    fleet(count);
    if (afterHits) {
      play(3 * SECOND, 3);
    }
    misses = true;
    starts();
    play(4 * SECOND, 3);
  }

  /** So many that know the list as it is now. */
  private void fleet(int count) {
    for (int one = 0; one < count; one++) {
      gateways.add(new Instance(count));
    }
    gateways.forEach(one -> one.list(EndpointListKind.FULL));
  }

  private void starts() {
    startedAt = now;
    gateways.forEach(one -> one.list(EndpointListKind.CHANGES));
  }

  private void play(long time, int getsAStep) {
    for (long end = now + time; now < end; now += STEP) {
      gateways.forEach(
          one -> one.step(getsAStep == 0 ? 0 : Math.max(getsAStep, 30 / gateways.size())));
      check();
    }
  }

  private void check() {
    sends.removeIf(at -> at <= now - FALL);
    double ramp =
        SHARE + (1 - SHARE) * Math.min(1, Math.max(0, now - startedAt) / (double) COLD_TIME);
    double allowed = 3 * ramp * weight * FALL / WORK;
    double bound =
        allowed < 30 ? allowed + 3 * Math.sqrt(allowed) + 3 : allowed + 2 * Math.sqrt(allowed) + 2;
    assertTrue(
        startedAt == 0 || sends.size() <= bound,
        sends.size()
            + " requests in a fall time, "
            + bound
            + " borne, "
            + (now - startedAt) / MS
            + " ms after the start");
  }

  private final class Instance implements RoutingActions {
    private record Answer(long at, long get, int cache, ResponseDetail note) {}

    private final RequestRouter control;
    private final List<Consumer<RoutingEventHandler>> events = new ArrayList<>();
    private final List<Answer> answers = new ArrayList<>();
    private long wakeAt = Long.MAX_VALUE;

    Instance(int count) {
      Map<String, Object> config =
          Map.ofEntries(
              Map.entry("seed", (long) ++seeds),
              Map.entry("gateways", count),
              Map.entry("gatewaysInZone", count),
              Map.entry("zone", "z"),
              Map.entry("parentKind", Optional.of("parent")),
              Map.entry("originKind", Optional.of("origin")),
              Map.entry("weightIsSize", true),
              Map.entry("trafficClassCount", 1),
              Map.entry(
                  "trafficClass",
                  new TrafficClassConfig(
                      Idempotency.IDEMPOTENT,
                      IdempotencyScope.ALL,
                      0,
                      objective,
                      2,
                      1,
                      false,
                      0,
                      0)),
              Map.entry("retries", new RetryConfig(1, false, false, false, 0)),
              Map.entry("transferKilobytesPerSecond", 1000.0),
              Map.entry("edgeSlowStart", new SlowStartConfig(SHARE, COLD_TIME, 3)),
              Map.entry("parentSlowStart", new SlowStartConfig(SHARE, COLD_TIME, 3)),
              Map.entry("overloadWindowNanos", FALL));
      control =
          new RequestRouter(
              (RoutingConfig)
                  Proxy.newProxyInstance(
                      getClass().getClassLoader(),
                      new Class<?>[] {RoutingConfig.class},
                      (proxy, asked, arguments) ->
                          config.getOrDefault(
                              asked.getName(),
                              asked.getReturnType() == boolean.class
                                  ? (Object) false
                                  : (Object) 0L)));
    }

    void list(EndpointListKind what) {
      events.add(to -> to.endpointListStarted(what));
      long started = startedAt;
      events.add(
          to ->
              to.endpointListed(
                  new EndpointDescription(
                      COLD,
                      "10.0.0.1:9",
                      "z",
                      "box",
                      0,
                      EndpointState.UP,
                      weight,
                      cold == COLD ? started : 0)));
      if (warmUp) {
        events.add(
            to ->
                to.endpointListed(
                    new EndpointDescription(
                        WARM, "10.0.0.2:9", "z", "box", 0, EndpointState.UP, warm, 0)));
        events.add(
            to ->
                to.endpointListed(
                    new EndpointDescription(
                        PARENT,
                        "10.0.0.3:9",
                        "hub",
                        "parent",
                        0,
                        EndpointState.UP,
                        weight,
                        cold == PARENT ? started : 0)));
        events.add(
            to ->
                to.endpointListed(
                    new EndpointDescription(
                        ORIGIN, "10.0.0.4:9", "hub", "origin", 0, EndpointState.UP, 400, 0)));
      }
      events.add(RoutingEventHandler::endpointListCompleted);
    }

    void step(int gets) {
      for (Answer answer : List.copyOf(answers)) {
        if (answer.at <= now) {
          answers.remove(answer);
          boolean has = answer.note != ResponseDetail.NONE;
          events.add(
              to ->
                  to.attemptEnded(
                      new AttemptResult(
                          answer.get,
                          0,
                          answer.cache,
                          has ? AttemptOutcome.SUCCEEDED : AttemptOutcome.NOT_CACHED,
                          50 * MS,
                          has,
                          answer.note)));
        }
      }
      if (wakeAt <= now) {
        wakeAt = Long.MAX_VALUE;
        events.add(to -> to.timerFired("sweep"));
      }
      for (int one = 0; one < gets; one++) {
        long id = ++ids;
        events.add(
            to ->
                to.requestReceived(
                    new RequestDetails(id, 0, id % 1009, 9, 0, 2 * SECOND, 100, false)));
      }
      List<Consumer<RoutingEventHandler>> round = List.copyOf(events);
      events.clear();
      control.decide(now, to -> round.forEach(event -> event.accept(to)), this);
    }

    @Override
    public void sendAttempt(AttemptCommand command) {
      boolean filled = misses && command.source() != command.endpoint();
      if (command.endpoint() == cold || (filled && command.source() == cold)) {
        sends.add(now);
        sent++;
      }
      answers.add(
          new Answer(
              now + 50 * MS,
              command.requestId(),
              command.endpoint(),
              filled ? ResponseDetail.FILLED : misses ? ResponseDetail.NONE : ResponseDetail.HIT));
    }

    @Override
    public void reject(long get, long wait) {}

    @Override
    public void fail(long get) {}

    @Override
    public void cancelAttempt(long get, int copy) {}

    @Override
    public void scheduleTimer(long delay, String handle) {
      wakeAt = now + delay;
    }

    @Override
    public void subscribeEndpoints() {}
  }
}
