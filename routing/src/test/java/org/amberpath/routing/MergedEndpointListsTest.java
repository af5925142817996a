package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests the merged list of two authoritative sources while endpoints move between them. */
class MergedEndpointListsTest {
  private static final int SEQUENCES = 200;
  private static final int STEPS = 60;
  private static final int ENDPOINTS = 4;

  /** Reports of a source that lag behind the other source. */
  private static final int MAX_LAGGING_REPORTS = 5;

  private final Map<String, EndpointState> listedStates = new TreeMap<>();
  private final Map<String, ListedEndpoint> listed = new TreeMap<>();
  private final List<String> reportedContradictions = new ArrayList<>();
  private final MergedEndpointLists merged =
      new MergedEndpointLists(
          recordingListener(),
          (id, contradictions) -> reportedContradictions.add(id + ": " + contradictions));
  private final EndpointListener registry = merged.addSource("registry");
  private final EndpointListener journal = merged.addSource("journal");

  private EndpointListener recordingListener() {
    return new EndpointListener() {
      @Override
      public void endpointListStarted(EndpointListKind kind) {
        if (kind == EndpointListKind.FULL) {
          listedStates.clear();
        }
      }

      @Override
      public void endpointListed(ListedEndpoint endpoint) {
        listedStates.put(endpoint.id(), endpoint.state());
        listed.put(endpoint.id(), endpoint);
      }

      @Override
      public void endpointListCompleted() {}

      @Override
      public void objectPurged(long object, int group, long atMillis) {}
    };
  }

  private static void list(EndpointListener source, EndpointListKind kind, Object... idsAndStates) {
    source.endpointListStarted(kind);
    for (int index = 0; index < idsAndStates.length; index += 2) {
      source.endpointListed(
          new ListedEndpoint(
              (String) idsAndStates[index],
              "127.0.0.1:1",
              "z",
              "k",
              OptionalInt.of(0),
              (EndpointState) idsAndStates[index + 1],
              OptionalDouble.of(1),
              0));
    }
    source.endpointListCompleted();
  }

  @Test
  void drainReportedByOneSourceOverridesTheOther() {
    list(journal, EndpointListKind.FULL, "a", EndpointState.UP);
    list(registry, EndpointListKind.FULL, "a", EndpointState.UP);
    list(journal, EndpointListKind.CHANGES, "a", EndpointState.DRAINING);
    list(registry, EndpointListKind.CHANGES, "a", EndpointState.UP);
    assertEquals(Map.of("a", EndpointState.DRAINING), listedStates);
    list(journal, EndpointListKind.CHANGES, "a", EndpointState.UP);
    assertEquals(Map.of("a", EndpointState.UP), listedStates);
  }

  @Test
  void endpointKnownToOneSourceOnlyIsListed() {
    list(journal, EndpointListKind.FULL, "a", EndpointState.UP);
    list(registry, EndpointListKind.FULL, "b", EndpointState.UP);
    assertEquals(Map.of("a", EndpointState.UP, "b", EndpointState.UP), listedStates);
  }

  @Test
  void endpointRemovedByOneSourceIsGoneUntilThatSourceListsItAgain() {
    list(journal, EndpointListKind.FULL, "a", EndpointState.UP);
    list(registry, EndpointListKind.FULL, "a", EndpointState.UP, "b", EndpointState.UP);
    list(registry, EndpointListKind.FULL, "b", EndpointState.UP);
    assertEquals(EndpointState.GONE, listedStates.get("a"));
    list(journal, EndpointListKind.CHANGES, "a", EndpointState.GONE);
    list(registry, EndpointListKind.CHANGES, "a", EndpointState.UP);
    assertEquals(EndpointState.UP, listedStates.get("a"));
  }

  /** Guards against full load on a restarted cache whose start one source alone tells. */
  @Test
  void restartReportedByOneSourceIsTheStartOfTheEndpoint() {
    list(registry, EndpointListKind.FULL, "a", EndpointState.UP);
    list(journal, EndpointListKind.FULL, "a", EndpointState.UP);
    list(journal, EndpointListKind.CHANGES, "a", EndpointState.GONE);

    report(journal, endpoint("a", OptionalInt.of(0), EndpointState.UP, 1000));
    assertEquals(1000, listed.get("a").startedAtMillis());

    report(registry, endpoint("a", OptionalInt.of(0), EndpointState.UP, 900));
    assertEquals(1000, listed.get("a").startedAtMillis());
  }

  /** Guards against repeats in another cell where one source alone tells the cells. */
  @Test
  void cellReportedByOneSourceIsTheCellOfTheEndpoint() {
    report(registry, endpoint("a", OptionalInt.empty(), EndpointState.UP, 0));
    report(journal, endpoint("a", OptionalInt.of(2), EndpointState.UP, 0));

    assertEquals(OptionalInt.of(2), listed.get("a").cell());
    assertEquals(List.of(), reportedContradictions);
  }

  /** Guards against repeats in a cell that is the endpoint's own by one source only. */
  @Test
  void endpointWhoseCellIsContradictoryIsAloneInItsCell() {
    for (String id : List.of("a", "b")) {
      report(registry, endpoint(id, OptionalInt.of(1), EndpointState.UP, 0));
      report(journal, endpoint(id, OptionalInt.of(2), EndpointState.UP, 0));
      report(journal, endpoint(id, OptionalInt.of(2), EndpointState.DRAINING, 0));
    }

    assertTrue(listed.get("a").cell().orElseThrow() < 0);
    assertNotEquals(listed.get("a").cell(), listed.get("b").cell());
    assertEquals(
        List.of("a: registry cell=1, journal cell=2", "b: registry cell=1, journal cell=2"),
        reportedContradictions);
  }

  /**
   * Whatever two sources report, late, out of step or restored to an older state: the merged list
   * is never less restrictive than what either of them has reported last.
   */
  @Test
  void mergedListIsOnTheSafeSideOfBothSources() {
    for (int seed = 0; seed < SEQUENCES; seed++) {
      Random random = new Random(seed);
      listed.clear();
      MergedEndpointLists lists =
          new MergedEndpointLists(recordingListener(), (id, contradictions) -> {});
      List<EndpointListener> sources =
          List.of(lists.addSource("registry"), lists.addSource("journal"));
      List<Map<String, ListedEndpoint>> told = List.of(new TreeMap<>(), new TreeMap<>());
      List<Deque<ListedEndpoint>> pending = List.of(new ArrayDeque<>(), new ArrayDeque<>());
      for (int step = 1; step <= STEPS; step++) {
        ListedEndpoint next = randomEndpoint(random, step);
        pending.forEach(reports -> reports.add(next));
        int source = random.nextInt(2);
        while (!pending.get(source).isEmpty()
            && (random.nextBoolean() || pending.get(source).size() > MAX_LAGGING_REPORTS)) {
          ListedEndpoint reported = pending.get(source).remove();
          report(sources.get(source), reported);
          told.get(source).put(reported.id(), reported);
          requireSafe(reported.id(), told, "seed " + seed + ", step " + step);
        }
      }
    }
  }

  private void requireSafe(String id, List<Map<String, ListedEndpoint>> told, String where) {
    ListedEndpoint merged = listed.get(id);
    for (Map<String, ListedEndpoint> source : told) {
      ListedEndpoint reported = source.get(id);
      if (reported != null && merged.state() != EndpointState.GONE) {
        assertTrue(merged.state().compareTo(reported.state()) >= 0, where);
        assertTrue(merged.startedAtMillis() >= reported.startedAtMillis(), where);
        assertTrue(
            merged.cell().equals(reported.cell())
                || reported.cell().isEmpty()
                || merged.cell().orElseThrow() < 0,
            where);
      }
    }
  }

  private static ListedEndpoint randomEndpoint(Random random, int step) {
    return endpoint(
        "e" + random.nextInt(ENDPOINTS),
        random.nextBoolean() ? OptionalInt.empty() : OptionalInt.of(random.nextInt(2)),
        random.nextBoolean() ? EndpointState.UP : EndpointState.DRAINING,
        random.nextBoolean() ? 0 : step);
  }

  private static ListedEndpoint endpoint(
      String id, OptionalInt cell, EndpointState state, long startedAtMillis) {
    return new ListedEndpoint(
        id, "127.0.0.1:1", "z", "k", cell, state, OptionalDouble.empty(), startedAtMillis);
  }

  private static void report(EndpointListener source, ListedEndpoint endpoint) {
    source.endpointListStarted(EndpointListKind.CHANGES);
    source.endpointListed(endpoint);
    source.endpointListCompleted();
  }
}
