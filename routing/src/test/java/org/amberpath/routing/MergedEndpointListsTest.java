package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Two sources that are both believed while members move from one to the other. */
class MergedEndpointListsTest {
  private final Map<String, EndpointState> told = new TreeMap<>();
  private final MergedEndpointLists strictest =
      new MergedEndpointLists(
          new EndpointListener() {
            @Override
            public void endpointListStarted(EndpointListKind kind) {
              if (kind == EndpointListKind.FULL) {
                told.clear();
              }
            }

            @Override
            public void endpointListed(ListedEndpoint endpoint) {
              told.put(endpoint.id(), endpoint.state());
            }

            @Override
            public void endpointListCompleted() {}

            @Override
            public void objectPurged(long object, int group, long atMs) {}
          });
  private final EndpointListener registry = strictest.addSource(), journal = strictest.addSource();

  private static void list(EndpointListener from, boolean whole, Object... idsAndStates) {
    from.endpointListStarted(whole ? EndpointListKind.FULL : EndpointListKind.CHANGES);
    for (int at = 0; at < idsAndStates.length; at += 2) {
      from.endpointListed(
          new ListedEndpoint(
              (String) idsAndStates[at],
              "127.0.0.1:1",
              "z",
              "k",
              0,
              (EndpointState) idsAndStates[at + 1],
              1,
              0));
    }
    from.endpointListCompleted();
  }

  @Test
  void aDrainThatOneTellsHoldsWhateverTheOtherSays() {
    list(journal, true, "a", EndpointState.UP);
    list(registry, true, "a", EndpointState.UP);
    list(journal, false, "a", EndpointState.DRAINING);
    list(registry, false, "a", EndpointState.UP);
    assertEquals(Map.of("a", EndpointState.DRAINING), told);
    list(journal, false, "a", EndpointState.UP);
    assertEquals(Map.of("a", EndpointState.UP), told);
  }

  @Test
  void aCacheThatOnlyOneKnowsIsThere() {
    list(journal, true, "a", EndpointState.UP);
    list(registry, true, "b", EndpointState.UP);
    assertEquals(Map.of("a", EndpointState.UP, "b", EndpointState.UP), told);
  }

  @Test
  void whatOneLetsGoOfIsGoneThoughTheOtherStillHasIt() {
    list(journal, true, "a", EndpointState.UP);
    list(registry, true, "a", EndpointState.UP, "b", EndpointState.UP);
    list(registry, true, "b", EndpointState.UP);
    assertEquals(EndpointState.GONE, told.get("a"));
    list(journal, false, "a", EndpointState.GONE);
    list(registry, false, "a", EndpointState.UP);
    assertEquals(EndpointState.UP, told.get("a"));
  }
}
