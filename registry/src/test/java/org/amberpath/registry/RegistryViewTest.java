package org.amberpath.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;
import org.junit.jupiter.api.Test;

/** What a view tells of what a registry holds, one story for each way to get it wrong. */
class RegistryViewTest {
  private static final long MS = 1_000_000, NOW = 1_000_000_000_000L * MS, RETENTION = 60_000 * MS;

  private final List<String> told = new ArrayList<>();
  private final List<String> complaints = new ArrayList<>();
  private final RegistryView view =
      new RegistryView(new Written(told), "p/tip", 6, RETENTION, complaints::add);

  /** Writes down what is told: a list in brackets, of all where it begins with an equals sign. */
  static final class Written implements EndpointListener {
    private final List<String> to;
    private StringBuilder list;

    Written(List<String> to) {
      this.to = to;
    }

    @Override
    public void endpointListStarted(EndpointListKind kind) {
      list = new StringBuilder(kind == EndpointListKind.FULL ? "=[" : "[");
    }

    @Override
    public void endpointListed(ListedEndpoint endpoint) {
      list.append(endpoint.id())
          .append(
              endpoint.state() == EndpointState.UP
                  ? '+'
                  : endpoint.state() == EndpointState.DRAINING ? '~' : '-');
    }

    @Override
    public void endpointListCompleted() {
      to.add(list + "]");
    }

    @Override
    public void objectPurged(long object, int group, long atMs) {
      to.add("purged " + object + "/" + group + " " + (atMs - NOW / MS));
    }
  }

  static RegistryEntry cache(String id, EndpointState state, long created, long changed) {
    return new RegistryEntry(
        "p/" + id,
        new RegistryRecord.Cache(id, "127.0.0.1:1", "z", "k", 0, state, 1, 0),
        created,
        changed);
  }

  private static RegistryEntry purge(long object, long agoMs, long changed) {
    return new RegistryEntry(
        "p/purge" + object,
        new RegistryRecord.Purge(object, 0, NOW / MS - agoMs),
        changed,
        changed);
  }

  private static WatchEvent put(RegistryEntry held) {
    return new WatchEvent(held.modRevision(), held.key(), held);
  }

  private List<String> told() {
    List<String> all = List.copyOf(told);
    told.clear();
    return all;
  }

  private void starts(RegistryEntry... all) {
    view.applySnapshot(NOW, new RegistryListing(Arrays.asList(all), "c", 10, NOW));
    told();
  }

  @Test
  void theFirstListIsToldWhole() {
    view.applySnapshot(
        NOW,
        new RegistryListing(
            List.of(cache("a", EndpointState.UP, 1, 1), cache("b", EndpointState.DRAINING, 2, 3)),
            "c",
            10,
            NOW));
    assertEquals(List.of("=[a+b~]"), told());
    assertEquals(10, view.appliedRevision());
  }

  @Test
  void allKeysOfARevisionAreOneListingAndRevisionsAreToldApart() {
    starts(cache("a", EndpointState.UP, 1, 1));
    view.applyEvents(
        NOW,
        List.of(
            put(cache("b", EndpointState.UP, 11, 11)),
            put(cache("a", EndpointState.DRAINING, 1, 11)),
            put(cache("a", EndpointState.UP, 1, 12))));
    assertEquals(List.of("[a~b+]", "[a+]"), told());
  }

  @Test
  void whatASecondWatchTellsAgainIsPassedOver() {
    starts(cache("a", EndpointState.UP, 1, 1));
    view.applyEvents(NOW, List.of(put(cache("a", EndpointState.DRAINING, 1, 11))));
    view.applyEvents(
        NOW,
        List.of(
            put(cache("a", EndpointState.DRAINING, 1, 11)),
            put(cache("a", EndpointState.UP, 1, 12))));
    assertEquals(List.of("[a~]", "[a+]"), told());
  }

  @Test
  void aCacheThatIsCreatedAnewUnderItsIdIsGoneFirst() {
    starts(cache("a", EndpointState.UP, 1, 1));
    assertTrue(
        view.applyWrites(
            NOW,
            new RegistryListing(List.of(cache("a", EndpointState.UP, 14, 14)), "c", 14, NOW),
            1));
    assertEquals(List.of("[a-]", "[a+]"), told());
  }

  @Test
  void aDeletionThatNobodyToldOfNeedsAWholeList() {
    starts(cache("a", EndpointState.UP, 1, 1), cache("b", EndpointState.UP, 2, 2));
    assertFalse(
        view.applyWrites(
            NOW,
            new RegistryListing(List.of(cache("a", EndpointState.DRAINING, 1, 12)), "c", 13, NOW),
            1));
    assertEquals(List.of(), told());
    view.applySnapshot(
        NOW, new RegistryListing(List.of(cache("a", EndpointState.DRAINING, 1, 12)), "c", 13, NOW));
    assertEquals(List.of("[b-a~]"), told());
  }

  @Test
  void aDeletionThatANewKeyHidesInTheCountIsFoundToo() {
    starts(cache("a", EndpointState.UP, 1, 1), cache("b", EndpointState.UP, 2, 2));
    assertFalse(
        view.applyWrites(
            NOW,
            new RegistryListing(List.of(cache("d", EndpointState.UP, 12, 12)), "c", 13, NOW),
            2));
  }

  @Test
  void aValueThatCantBeReadSpoilsItsOwnKeyAloneAndTheLastGoodOneStays() {
    starts(cache("a", EndpointState.UP, 1, 1));
    RegistryEntry spoilt =
        new RegistryEntry("p/a", new RegistryRecord.Unreadable("not JSON"), 1, 11);
    view.applyEvents(
        NOW, List.of(put(spoilt), new WatchEvent(11, "p/b", cache("b", EndpointState.UP, 11, 11))));
    assertEquals(List.of("[b+]"), told());
    assertEquals(List.of("p/a: not JSON"), complaints);
    view.applySnapshot(
        NOW,
        new RegistryListing(List.of(spoilt, cache("b", EndpointState.UP, 11, 11)), "c", 12, NOW));
    assertEquals(List.of(), told());
    assertEquals(1, complaints.size());
  }

  @Test
  void aPurgeIsToldOnceAndCountsFromNow() {
    starts();
    view.applyEvents(NOW, List.of(put(purge(7, 900, 11))));
    view.applySnapshot(NOW, new RegistryListing(List.of(purge(7, 900, 11)), "c", 12, NOW));
    assertEquals(List.of("purged 7/0 0"), told());
  }

  @Test
  void aPurgeFromBeforeTheStartCountsFromNowWhateverItsWritersClockSays() {
    view.applySnapshot(
        NOW,
        new RegistryListing(
            List.of(purge(7, 5000, 3), purge(8, 500, 4), purge(9, -3_600_000, 5)), "c", 10, NOW));
    assertEquals(List.of("=[]", "purged 7/0 0", "purged 8/0 0", "purged 9/0 0"), told());
  }

  @Test
  void afterAGapLongerThanPurgesAreKeptEverythingCountsAsPurged() {
    starts(cache("a", EndpointState.UP, 1, 1));
    view.applySnapshot(
        NOW,
        new RegistryListing(List.of(cache("a", EndpointState.UP, 1, 1)), "c", 20, NOW + RETENTION));
    assertEquals(List.of(), told());
    view.applySnapshot(
        NOW,
        new RegistryListing(
            List.of(cache("a", EndpointState.UP, 1, 1)), "c", 21, NOW + 2 * RETENTION + 1));
    assertEquals(List.of("purged 0/-1 0"), told());
  }

  @Test
  void aRestoredRegistryIsAFullNewListAndEverythingCountsAsPurged() {
    starts(cache("a", EndpointState.UP, 1, 1), cache("b", EndpointState.UP, 2, 9));
    view.applyNewHistory(
        NOW, new RegistryListing(List.of(cache("b", EndpointState.UP, 2, 5)), "c", 6, NOW));
    assertEquals(List.of("=[b+]", "purged 0/-1 0"), told());
    assertEquals(6, view.appliedRevision());
  }

  @Test
  void anOlderWriteOfAKnownKeyShowsThatRevisionsWereGivenAnew() {
    starts(cache("b", EndpointState.UP, 2, 9));
    view.applySnapshot(
        NOW,
        new RegistryListing(
            List.of(cache("b", EndpointState.UP, 2, 5), cache("d", EndpointState.UP, 11, 11)),
            "c",
            12,
            NOW));
    assertEquals(List.of("=[b+d+]", "purged 0/-1 0"), told());
  }

  @Test
  void keysPastTheBoundArePassedOverWhileThoseHeldAreFollowed() {
    starts(cache("a", EndpointState.UP, 1, 1));
    for (int more = 0; more < 8; more++) {
      view.applyEvents(
          NOW, List.of(put(cache("x" + more, EndpointState.UP, 11 + more, 11 + more))));
    }
    assertEquals(5, told().size());
    assertEquals(1, complaints.size());
    view.applyEvents(NOW, List.of(put(cache("a", EndpointState.DRAINING, 1, 30))));
    assertEquals(List.of("[a~]"), told());
    assertEquals(6, view.keyCount());
  }

  @Test
  void aSnapshotIsToldWithItsTrueAgeAndTheRegistryOnlyWhatDiffers() {
    view.restoreSnapshot(
        NOW,
        new RegistryListing(
            List.of(cache("a", EndpointState.UP, 1, 1), cache("b", EndpointState.UP, 2, 2)),
            "c",
            10,
            NOW - 50 * MS));
    assertEquals(List.of("=[a+b+]"), told());
    assertEquals(NOW - 50 * MS, view.confirmedAtNanos());
    view.applySnapshot(
        NOW,
        new RegistryListing(
            List.of(cache("a", EndpointState.DRAINING, 1, 12), cache("b", EndpointState.UP, 2, 2)),
            "c",
            12,
            NOW));
    assertEquals(List.of("[a~]"), told());
  }

  @Test
  void aSnapshotSaysWhyItIsNotToBeServedFrom() {
    Snapshot snapshot = new Snapshot("p/", "c", 10, NOW - 100 * MS, List.of());
    assertEquals(Optional.empty(), snapshot.refusal(NOW, "p/", 200 * MS));
    assertEquals(Optional.of("it is of the prefix p/"), snapshot.refusal(NOW, "q/", 200 * MS));
    assertEquals(Optional.of("it is 0 s old"), snapshot.refusal(NOW, "p/", 50 * MS));
    assertEquals(
        Optional.of("it is from the future"), snapshot.refusal(NOW - 5000 * MS, "p/", 200 * MS));
  }
}
