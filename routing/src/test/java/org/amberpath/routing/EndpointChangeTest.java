package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import java.util.stream.LongStream;
import org.amberpath.routing.FakeHost.SentAttempt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests endpoints that drain or are removed, and an endpoint that reuses the index of a removed
 * one.
 */
class EndpointChangeTest {
  private final FakeHost host = new FakeHost().listEndpoints();

  @ParameterizedTest
  @EnumSource(
      value = EndpointState.class,
      names = {"DRAINING", "GONE"})
  void drainingOrGoneEndpointGetsNoNewAttemptsOrFills(EndpointState state) {
    host.changeEndpoint(1, state, 0).changeEndpoint(6, state, 0);
    for (long object = 1; object <= 60; object++) {
      SentAttempt sent = host.requestWithHit(object, 0);
      assertNotEquals(1, sent.endpoint());
      assertEquals(5, sent.source());
    }
  }

  @Test
  void reusedIndexDenotesAnotherEndpoint() {
    Set<Long> objectsBefore = new HashSet<>();
    Set<Long> objectsInBoth = new HashSet<>();
    LongStream.rangeClosed(1, 200)
        .filter(object -> host.requestWithHit(object, 0).endpoint() == 0)
        .forEach(objectsBefore::add);
    host.changeEndpoint(0, EndpointState.GONE, 0);
    host.deliver(
        to -> {
          to.endpointListStarted(EndpointListKind.CHANGES);
          to.endpointListed(
              new EndpointDescription(0, "10.9.9.9:90", "here", "box", 0, EndpointState.UP, 4, 0));
          to.endpointListCompleted();
        });
    LongStream.rangeClosed(1, 200)
        .filter(object -> host.requestWithHit(object, 0).endpoint() == 0)
        .forEach(objectsInBoth::add);
    assertTrue(objectsInBoth.size() > 20);
    objectsInBoth.retainAll(objectsBefore);
    assertTrue(
        objectsInBoth.size() < objectsBefore.size() * 2 / 3,
        objectsInBoth.size() + " of " + objectsBefore.size() + " keys are the same");
  }
}
