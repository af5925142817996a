package org.amberpath.routing;

import static org.amberpath.routing.RoutingParts.START;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.amberpath.routing.RendezvousSelector.Eligibility;
import org.junit.jupiter.api.Test;

class RendezvousSelectorTest {
  private final RoutingParts parts = new RoutingParts();

  private Endpoint select(InFlightRequest request, Eligibility eligibility) {
    return parts.rendezvous.select(parts.endpoints.zoneEdges(), request, 0, eligibility, START);
  }

  private Endpoint select(long object) {
    return select(parts.request(object), Eligibility.WITH_ROOM);
  }

  @Test
  void drainingEndpointMovesOnlyItsOwnKeys() {
    int[] before = LongStream.range(0, 200).mapToInt(object -> select(object).index).toArray();
    parts.update(1, EndpointState.DRAINING, 0);
    for (int object = 0; object < 200; object++) {
      int after = select(object).index;
      assertTrue(before[object] == 1 ? after != 1 : after == before[object], "object " + object);
    }
  }

  @Test
  void keysAreDividedByWeight() {
    parts.endpoint(0).weight = 12;
    long keysOfHeaviest =
        LongStream.range(0, 600).filter(object -> select(object).index == 0).count();
    assertEquals(300, (float) keysOfHeaviest, 60);
  }

  /**
   * Guards the shortcut that skips logarithms: the selection must equal the endpoint with the
   * highest complete score.
   */
  @Test
  void highestScoreIsChosenAmongEndpointsOfManyWeights() {
    Endpoint[] candidates = new Endpoint[300];
    for (int index = 0; index < candidates.length; index++) {
      candidates[index] = new Endpoint(index, "e" + index);
      candidates[index].state = EndpointState.UP;
      candidates[index].weight = index % 50 == 49 ? 40 : 0.5 + index % 5;
    }
    for (int object = 0; object < 500; object++) {
      InFlightRequest request = parts.request(object);
      Endpoint expected = null;
      double highest = -1;
      for (Endpoint endpoint : candidates) {
        long key = RendezvousSelector.mix(object * 31L ^ endpoint.hash);
        double score = endpoint.weight / -Math.log(RendezvousSelector.toUnit(key));
        expected = score > highest ? endpoint : expected;
        highest = Math.max(score, highest);
      }
      assertEquals(
          expected, parts.rendezvous.select(candidates, request, 0, Eligibility.ANY, START));
    }
  }

  @Test
  void excludedEndpointsAreNeverSelectedUntilNoneIsLeft() {
    InFlightRequest request = parts.request(5);
    for (int remaining = 4; remaining > 0; remaining--) {
      request.excludedEndpoints.add(select(request, Eligibility.WITH_ROOM));
    }
    assertEquals(4, request.excludedEndpoints.stream().distinct().count());
    assertNull(select(request, Eligibility.ANY));
  }

  @Test
  void fullEndpointSpillsOverAndEjectedEndpointIsTheLastResort() {
    Endpoint first = select(5);
    first.limit.inFlight = 100;
    assertNotEquals(first, select(5));
    assertEquals(first, select(parts.request(5), Eligibility.ACCEPTS_KEY));
    parts.detector.eject(first, parts.batch(START));
    assertNotEquals(first, select(parts.request(5), Eligibility.ACCEPTS_KEY));
    assertEquals(first, select(parts.request(5), Eligibility.ANY));
  }
}
