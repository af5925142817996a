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
  void anEndpointThatDrainsMovesItsOwnKeysOnly() {
    int[] before = LongStream.range(0, 200).mapToInt(object -> select(object).index).toArray();
    parts.update(1, EndpointState.DRAINING, 0);
    for (int object = 0; object < 200; object++) {
      int after = select(object).index;
      assertTrue(before[object] == 1 ? after != 1 : after == before[object], "object " + object);
    }
  }

  @Test
  void weightsDivideTheKeys() {
    parts.endpoint(0).weight = 12;
    long large = LongStream.range(0, 600).filter(object -> select(object).index == 0).count();
    assertEquals(300, (float) large, 60);
  }

  /** What is spared on the way must not change who is chosen: compared with the score itself. */
  @Test
  void theHighestScoreIsChosenAmongEndpointsOfManyWeights() {
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
      for (Endpoint one : candidates) {
        long key = RendezvousSelector.mix(object * 31L ^ one.hash);
        double score = one.weight / -Math.log(RendezvousSelector.toUnit(key));
        expected = score > highest ? one : expected;
        highest = Math.max(score, highest);
      }
      assertEquals(
          expected, parts.rendezvous.select(candidates, request, 0, Eligibility.ANY, START));
    }
  }

  @Test
  void triedEndpointsAreLeftOutUntilNoneIsLeft() {
    InFlightRequest request = parts.request(5);
    for (int left = 4; left > 0; left--) {
      request.triedEndpoints.add(select(request, Eligibility.WITH_ROOM));
    }
    assertEquals(4, request.triedEndpoints.stream().distinct().count());
    assertNull(select(request, Eligibility.ANY));
  }

  @Test
  void aFullEndpointSpillsOverAndAnEjectedOneIsTheLastResort() {
    Endpoint first = select(5);
    first.limit.inFlight = 100;
    assertNotEquals(first, select(5));
    assertEquals(first, select(parts.request(5), Eligibility.TAKES_KEY));
    parts.detector.eject(first, parts.batch(START));
    assertNotEquals(first, select(parts.request(5), Eligibility.TAKES_KEY));
    assertEquals(first, select(parts.request(5), Eligibility.ANY));
  }
}
