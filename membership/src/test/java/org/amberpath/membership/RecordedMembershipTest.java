package org.amberpath.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.amberpath.membership.SeededFleet.Scenario;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against unintended changes of {@link SwimProtocol}'s behaviour: a simulated fleet under
 * seeded random faults must produce exactly the recorded messages, status changes and phases, in
 * the same order, of which one digest per scenario and seed is recorded. A change that is meant to
 * keep behaviour must not alter a digest; a change of behaviour records new digests and gives the
 * reason. The protocol uses logarithms, whose last bit may differ between processor architectures:
 * the digests were recorded on x86-64.
 */
class RecordedMembershipTest {
  private static final Map<String, SeededFleet> SIMULATED_FLEETS = new TreeMap<>();
  private static final Map<String, String> DIGESTS = new TreeMap<>();

  private static String digest(Scenario scenario, long seed) {
    return DIGESTS.computeIfAbsent(
        scenario + " " + seed,
        key -> {
          SeededFleet fleet = new SeededFleet(scenario, seed);
          SIMULATED_FLEETS.put(key, fleet);
          return fleet.run();
        });
  }

  @ParameterizedTest
  @CsvSource({
    "STEADY, 1, c0273ee19b90e2e093045f6b3ed21a14455d28a3d68b1e840e92b255d298ddee",
    "STEADY, 2, ecebf2bf7d013ed11d35867ba2844bb69a6737c0274d414ca1be2dd93de472d2",
    "STEADY, 3, 76ffb34ffc1161733f9987da9cc7d2681b52bbc32fec3f320d84f91a95bf3781",
    "LARGE, 1, e4520ca56a9a40ef2a4ac668551a554eeaf54a2000b9cc1e748ddbb073a377ad",
    "LARGE, 2, 20864288d8d58953a072e2ac11a06370ac592ccc206ad375c2ff9940662a3e5b",
    "LARGE, 3, 8bfd7ced84d3745a89aa3ffbda84def6d9e60546bf5f393e17e5fb4056043c68",
    "GROWING, 1, 7690b533daf65e715b2042dcf58fa4edb3f507e46b1cf8112315b514a0a23a2a",
    "GROWING, 2, c7696615496ca14cecf542738669f31a7e2908a9988af7565b15fdb089347b0b",
    "GROWING, 3, fcc559b927a40e3b734b47c5577a952013819d909752f1614b5ff60423690033",
    "CONTESTED, 1, ceca1997079f04b32f284a8b1ee4898458ad88587b35641dfeb57c1ec2948f4b",
    "CONTESTED, 2, 783a53fd13e08db8101ed57007721dc3605ee1b176e73a5a8774cadc4c7b0fed",
    "CONTESTED, 3, bd7606cac27992b986995afb5e041948b900fa2034725ed2416928e4afea1ad5",
    "FLOODED, 1, 3e81335f70e05ef01261304acc334412d86450fd909b8dff1f23c852baed966d",
    "FLOODED, 2, 431730b08827973ceb311694c6f4c003f4ebe1df72e17b716375ad9f26aa0acd",
    "FLOODED, 3, ad24e8601787af57a3d90c57deabb462f736f529193e1b0a1c06afeeeb3b82e6"
  })
  void simulatedFleetProducesTheRecordedActions(Scenario scenario, long seed, String recorded) {
    assertEquals(
        recorded,
        digest(scenario, seed),
        () -> "counted: " + SIMULATED_FLEETS.get(scenario + " " + seed).actions.counts());
  }

  /**
   * Guards against simulated events that exercise only a part of the protocol, so that the digests
   * would not detect changes of the rest: lists what the runs with seed 1 of all scenarios together
   * must reach.
   */
  @Test
  void recordedRunsCoverEveryActionMessageKindStatusPhaseAndVerdict() {
    Map<String, Integer> counts = new TreeMap<>();
    for (Scenario scenario : Scenario.values()) {
      digest(scenario, 1);
      SIMULATED_FLEETS
          .get(scenario + " 1")
          .actions
          .counts()
          .forEach((event, count) -> counts.merge(event, count, Integer::sum));
    }
    List<String> requiredEvents =
        new ArrayList<>(
            List.of(
                "send",
                "news",
                "phase",
                "twin",
                "leave",
                "forgotten",
                "not forgotten",
                "refuted",
                "later page requested",
                "page with more sent",
                "admitted above the configured maximum",
                "unread",
                "sent to an unused address"));
    for (GossipMessage.Kind kind : GossipMessage.Kind.values()) {
      requiredEvents.add("sent " + kind);
      requiredEvents.add("received " + kind);
    }
    for (MemberStatus status : MemberStatus.values()) {
      requiredEvents.add("news " + status);
    }
    for (SwimProtocol.Phase phase : SwimProtocol.Phase.values()) {
      requiredEvents.add("phase " + phase);
    }
    for (ReplayFilter.Verdict verdict : ReplayFilter.Verdict.values()) {
      requiredEvents.add("verdict " + verdict);
    }
    for (String event : requiredEvents) {
      assertTrue(counts.getOrDefault(event, 0) > 0, event + " did not occur; counted: " + counts);
    }
  }
}
