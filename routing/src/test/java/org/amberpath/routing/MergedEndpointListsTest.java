package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests the merged list of two authoritative sources while endpoints move between them. */
class MergedEndpointListsTest {
  private final Map<String, EndpointState> listedStates = new TreeMap<>();
  private final MergedEndpointLists merged =
      new MergedEndpointLists(
          new EndpointListener() {
            @Override
            public void endpointListStarted(EndpointListKind kind) {
              if (kind == EndpointListKind.FULL) {
                listedStates.clear();
              }
            }

            @Override
            public void endpointListed(ListedEndpoint endpoint) {
              listedStates.put(endpoint.id(), endpoint.state());
            }

            @Override
            public void endpointListCompleted() {}

            @Override
            public void objectPurged(long object, int group, long atMillis) {}
          });
  private final EndpointListener registry = merged.addSource();
  private final EndpointListener journal = merged.addSource();

  private static void list(EndpointListener source, EndpointListKind kind, Object... idsAndStates) {
    source.endpointListStarted(kind);
    for (int index = 0; index < idsAndStates.length; index += 2) {
      source.endpointListed(
          new ListedEndpoint(
              (String) idsAndStates[index],
              "127.0.0.1:1",
              "z",
              "k",
              0,
              (EndpointState) idsAndStates[index + 1],
              1,
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
}
