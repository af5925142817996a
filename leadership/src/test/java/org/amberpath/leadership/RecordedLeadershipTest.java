package org.amberpath.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import org.amberpath.leadership.SeededQuorumSimulation.Scenario;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against unintended changes of behaviour: the digest of every message, answer and state of
 * {@link QuorumLeadership}, {@link LeaseAcceptor} and {@link FencingGuard} in 400 s of random
 * events must equal the one recorded here, for each setting and seed. A change that is meant to
 * keep behaviour must not alter a digest; a change of behaviour records new digests and states the
 * reason.
 */
class RecordedLeadershipTest {
  private static final Map<String, SeededQuorumSimulation> SIMULATIONS = new TreeMap<>();
  private static final Map<String, String> DIGESTS = new TreeMap<>();

  private static String digest(Scenario scenario, long seed) {
    String key = scenario + " " + seed;
    return DIGESTS.computeIfAbsent(
        key,
        missing -> {
          SeededQuorumSimulation simulation = new SeededQuorumSimulation(scenario, seed);
          SIMULATIONS.put(key, simulation);
          return simulation.run();
        });
  }

  @ParameterizedTest
  @CsvSource({
    "THREE_VOTERS, 1, 0a0ffc609e5c0b30dae390d90abcf84d8bf8e307ec30f02acd820cd13e964e96",
    "THREE_VOTERS, 2, cfb0bb24ac6b7f4ff13fc0d1ff144a1678873e6c15e70100d894d30ac09961e5",
    "THREE_VOTERS, 3, 565fb3c83faa175aa6da425033a9153c5113541b7d70e509aeb98b67dfe35371",
    "FIVE_VOTERS, 1, 55120ab639bf52264649713339cb8ec4456417ef33289bfc61a8c416ec767442",
    "FIVE_VOTERS, 2, a523009a42383ab55d003d3f971aaadc133db26059460ca46d5e59b626337a90",
    "FIVE_VOTERS, 3, f7816be2fd951a519d362d0c4ec2e5499c758afc44efcd802da33c894f8ec7c4",
    "CHANGING_VOTERS, 1, 96f4be00fcfa2da3b75c2524143567545ef942e864fb337d6db3d523e9624af6",
    "CHANGING_VOTERS, 2, 9251cfb1680dbca66ab4cf5689962e9de68a6d46781a123e77d8df6112ed559a",
    "CHANGING_VOTERS, 3, 2a923b2920dde8e11b4b22b119624003953d43cb077cdd7ab53ff93c409a7c8c",
    "ONE_VOTER, 1, 217146318783031247b37fb50327e372ba9f737ec85cf28bbada58b6b47f4254",
    "ONE_VOTER, 2, 19c39b6f92d523f60470e37cb7872ce2c45e7e7089848157c6486f6613ec7005",
    "ONE_VOTER, 3, ab2a5423ab992b2e71399aee063f60a265830655d7c21930b86ab565a8a329f3"
  })
  void actionsMatchRecordedDigest(Scenario scenario, long seed, String recorded) {
    assertEquals(
        recorded,
        digest(scenario, seed),
        () -> "counted: " + SIMULATIONS.get(scenario + " " + seed).actions.counts());
  }

  /**
   * Guards against events that exercise too little for the digests to show a change: all seeds
   * together must reach these actions and states.
   */
  @Test
  void recordedEventsReachEveryMessageAnswerStateAndTransition() {
    Map<String, Integer> counts = new TreeMap<>();
    for (Scenario scenario : Scenario.values()) {
      for (long seed = 1; seed <= 3; seed++) {
        digest(scenario, seed);
        SIMULATIONS
            .get(scenario + " " + seed)
            .actions
            .counts()
            .forEach((expected, count) -> counts.merge(expected, count, Integer::sum));
      }
    }
    for (String expected :
        new String[] {
          // PREPARE, PROPOSE, RELEASE.
          "request 0",
          "request 2",
          "request 5",
          // PROMISE for a vacant task and for one that another process leads,
          // ACCEPTED, REFUSED.
          "answer 1",
          "answer 1 other",
          "answer 3 other",
          "answer 4 other",
          "no answer to 0",
          "no answer to 2",
          "no answer to 5",
          "state following",
          "state asking",
          "state waiting",
          "state holding",
          "state resigned",
          "following>asking",
          "asking>following",
          "asking>waiting",
          "asking>holding",
          "waiting>holding",
          "waiting>following",
          "holding>following",
          "following>resigned",
          "asking>resigned",
          "waiting>resigned",
          "holding>resigned",
          "handed over",
          "releases",
          "acted",
          "refused",
          "voters",
          "killed",
          "lost",
          "doubled",
          "all restart"
        }) {
      assertTrue(counts.getOrDefault(expected, 0) > 0, expected + " of " + counts);
    }
  }
}
