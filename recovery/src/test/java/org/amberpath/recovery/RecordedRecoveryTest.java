package org.amberpath.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against unintended changes of behaviour: the digest of every admission, phase and retry
 * time of {@link RecoveryRamp} in 60 starts of 30 s with random traffic and answers must equal the
 * one recorded here, for each seed. A change that is meant to keep behaviour must not alter a
 * digest; a change of behaviour records new digests and states the reason.
 */
class RecordedRecoveryTest {
  private static final long MS = 1_000_000;
  private static final long SECOND = 1000 * MS;
  private static final int STARTS = 60;
  private static final Map<Long, RecordedActions> ACTIONS = new TreeMap<>();
  private static final Map<Long, String> DIGESTS = new TreeMap<>();

  private static String digest(long seed) {
    return DIGESTS.computeIfAbsent(
        seed,
        missing -> {
          RecordedActions actions = new RecordedActions();
          ACTIONS.put(seed, actions);
          SplittableRandom random = new SplittableRandom(seed);
          for (int start = 0; start < STARTS; start++) {
            runStart(random, actions);
          }
          return actions.digest();
        });
  }

  /** Simulates one start of a gateway, with random traffic and answers. */
  private static void runStart(SplittableRandom random, RecordedActions actions) {
    long now = random.nextLong(1000 * SECOND);
    long end = now + 30 * SECOND;
    long startupCompletedAt = now + random.nextLong(5 * SECOND);
    double requestsPerMilli = random.nextInt(6) == 0 ? 0 : random.nextDouble() * 0.4;
    double successProbability = random.nextInt(4) == 0 ? 0.3 * random.nextDouble() : 1;
    long maxRetryAfter = random.nextInt(5) == 0 ? 0 : random.nextLong(50 * MS, 10 * SECOND);
    RecoveryRamp ramp = new RecoveryRamp(random.nextLong(), maxRetryAfter, now);
    boolean startupCompleted = false;
    RecoveryRamp.Phase before = ramp.phase();
    while (now < end) {
      now += random.nextLong(500_000, 2 * MS);
      if (!startupCompleted && now >= startupCompletedAt) {
        startupCompleted = true;
        ramp.startupCompleted(now, random.nextInt(5) > 0, random.nextDouble() * 40);
      }
      if (random.nextInt(8) == 0) {
        ramp.tick(now);
      }
      if (random.nextInt(3000) == 0) {
        successProbability = random.nextDouble();
        requestsPerMilli = random.nextDouble() * 0.4;
      }
      if (random.nextDouble() < requestsPerMilli) {
        request(ramp, now, random, successProbability, actions);
      }
      if (ramp.phase() != before) {
        actions.record(recordedText(before) + ">" + recordedText(ramp.phase()), now, ramp.rate());
        before = ramp.phase();
      }
      actions.record("state " + recordedText(before), ramp.rate(), ramp.servingSinceNanos());
    }
  }

  private static void request(
      RecoveryRamp ramp,
      long now,
      SplittableRandom random,
      double successProbability,
      RecordedActions actions) {
    boolean continuesSession = random.nextBoolean();
    boolean admitted = ramp.tryAdmit(now, continuesSession);
    actions.record(admitted ? "admitted" : "rejected", now, continuesSession);
    if (!admitted) {
      actions.record("wait", ramp.retryAfterNanos(continuesSession));
    } else if (random.nextDouble() < successProbability) {
      ramp.requestSucceeded();
    }
  }

  /** Returns the recorded text of a phase, which stays the same when a constant is renamed. */
  private static String recordedText(RecoveryRamp.Phase phase) {
    return switch (phase) {
      case LEARNING -> "learning";
      case INITIAL_RATE -> "trickle";
      case RAMP_UP -> "ramp";
      case SERVING -> "serving";
    };
  }

  @ParameterizedTest
  @CsvSource({
    "1, 02ca73588d543154d0f037d8f839774f518ec4dff0c78933ba293bbc251dbd22",
    "2, 14d8fbcfb130389da3bf688f4f24f0bf9044755cea3a3cd4fd178de1b15c2c5e",
    "3, 89b773a649a1ceca798a73acd35131b7e9903e32491bedcd3f20f552ec383753"
  })
  void actionsMatchRecordedDigest(long seed, String recorded) {
    assertEquals(recorded, digest(seed), () -> "counted: " + ACTIONS.get(seed).counts());
  }

  /**
   * Guards against events that exercise too little for the digests to show a change: seed 1 must
   * reach these actions, phases and transitions of phases.
   */
  @Test
  void recordedEventsReachEveryActionPhaseAndTransition() {
    digest(1);
    Map<String, Integer> counts = ACTIONS.get(1L).counts();
    for (String expected :
        new String[] {
          "admitted",
          "rejected",
          "wait",
          "state learning",
          "state trickle",
          "state ramp",
          "state serving",
          "learning>trickle",
          "learning>serving",
          "trickle>ramp",
          "trickle>serving",
          "ramp>serving"
        }) {
      assertTrue(counts.getOrDefault(expected, 0) > 0, expected + " of " + counts);
    }
  }
}
