package org.amberpath.registry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How long a start waits for the registry's first list. */
class FirstListWaitTest {
  private static final long MS = 1_000_000;

  @Test
  void waitEndsWithTheFirstListAndDoesNotBeginAgain() {
    FirstListWait wait = new FirstListWait(100 * MS);
    assertTrue(wait.isWaiting(900 * MS, false));
    assertFalse(wait.isWaiting(1000 * MS, true));
    assertFalse(wait.isWaiting(1100 * MS, false));
  }

  @Test
  void waitEndsAfterThreeSecondsWhereTheRegistryIsAway() {
    FirstListWait wait = new FirstListWait(100 * MS);
    assertTrue(wait.isWaiting(3099 * MS, false));
    assertFalse(wait.isWaiting(3100 * MS, false));
  }
}
