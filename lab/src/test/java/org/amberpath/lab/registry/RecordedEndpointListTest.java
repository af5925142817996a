package org.amberpath.lab.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;
import org.junit.jupiter.api.Test;

class RecordedEndpointListTest {
  private final List<String> violations = new ArrayList<>();
  private final List<String> traceLines = new ArrayList<>();
  private final RecordedEndpointList recordedList =
      new RecordedEndpointList(() -> 0, traceLines::add, violations::add);

  private static ListedEndpoint endpoint(EndpointState state) {
    return new ListedEndpoint(
        "c1", "127.0.0.1:7001", "z", "box", OptionalInt.of(0), state, OptionalDouble.of(1), 0);
  }

  @Test
  void nestedListingIsReported() {
    recordedList.endpointListStarted(EndpointListKind.FULL);
    recordedList.endpointListStarted(EndpointListKind.CHANGES);
    assertEquals(
        List.of("endpoint listing started before the previous listing completed"), violations);
    assertEquals(List.of("full listing started", "incremental listing started"), traceLines);
  }

  @Test
  void unchangedEndpointAndRemovalOfUnlistedEndpointAreReported() {
    recordedList.endpointListStarted(EndpointListKind.CHANGES);
    recordedList.endpointListed(endpoint(EndpointState.UP));
    assertEquals(List.of(), violations);
    recordedList.endpointListed(endpoint(EndpointState.UP));
    recordedList.endpointListed(endpoint(EndpointState.GONE));
    recordedList.endpointListed(endpoint(EndpointState.GONE));
    assertEquals(
        List.of(
            "endpoint c1 listed again without a change",
            "endpoint c1 reported as GONE but was not listed"),
        violations);
  }

  @Test
  void repeatedPurgeIsReportedUnlessHistoryWasReplaced() {
    recordedList.objectPurged(5, 0, 1);
    recordedList.historyReplaced();
    recordedList.objectPurged(5, 0, 1);
    assertEquals(List.of(), violations);
    recordedList.objectPurged(5, 0, 1);
    assertEquals(List.of("purge of object 5 reported twice"), violations);
    assertEquals("purge reported: object 5, group 0", traceLines.get(0));
  }
}
