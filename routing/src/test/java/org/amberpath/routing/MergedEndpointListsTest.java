package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.TreeMap;
import org.amberpath.routing.RoutingEvents.State;
import org.junit.jupiter.api.Test;

/** Two sources that are both believed while members move from one to the other. */
class MergedEndpointListsTest {
  private final Map<String, State> told = new TreeMap<>();
  private final MergedEndpointLists strictest =
      new MergedEndpointLists(
          new EndpointListener() {
            @Override
            public void listing(boolean whole) {
              if (whole) {
                told.clear();
              }
            }

            @Override
            public void member(
                String id,
                String address,
                String zone,
                String kind,
                int cell,
                State state,
                double weight,
                long startedAtMs) {
              told.put(id, state);
            }

            @Override
            public void listed() {}

            @Override
            public void purged(long object, int group, long atMs) {}
          });
  private final EndpointListener registry = strictest.port(), journal = strictest.port();

  private static void list(EndpointListener from, boolean whole, Object... idsAndStates) {
    from.listing(whole);
    for (int at = 0; at < idsAndStates.length; at += 2) {
      from.member(
          (String) idsAndStates[at],
          "127.0.0.1:1",
          "z",
          "k",
          0,
          (State) idsAndStates[at + 1],
          1,
          0);
    }
    from.listed();
  }

  @Test
  void aDrainThatOneTellsHoldsWhateverTheOtherSays() {
    list(journal, true, "a", State.UP);
    list(registry, true, "a", State.UP);
    list(journal, false, "a", State.DRAINING);
    list(registry, false, "a", State.UP);
    assertEquals(Map.of("a", State.DRAINING), told);
    list(journal, false, "a", State.UP);
    assertEquals(Map.of("a", State.UP), told);
  }

  @Test
  void aCacheThatOnlyOneKnowsIsThere() {
    list(journal, true, "a", State.UP);
    list(registry, true, "b", State.UP);
    assertEquals(Map.of("a", State.UP, "b", State.UP), told);
  }

  @Test
  void whatOneLetsGoOfIsGoneThoughTheOtherStillHasIt() {
    list(journal, true, "a", State.UP);
    list(registry, true, "a", State.UP, "b", State.UP);
    list(registry, true, "b", State.UP);
    assertEquals(State.GONE, told.get("a"));
    list(journal, false, "a", State.GONE);
    list(registry, false, "a", State.UP);
    assertEquals(State.UP, told.get("a"));
  }
}
