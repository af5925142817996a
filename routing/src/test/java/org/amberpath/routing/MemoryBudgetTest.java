package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The bounds on held bytes follow the configured limit as far as the heap allows. */
class MemoryBudgetTest {
  private static final long MB = 1 << 20;
  private static final long HEAP_BYTES = 64 * MB;

  /** Guards against half requests that exhaust the heap of a process with a large limit. */
  @ParameterizedTest
  @ValueSource(longs = {32, 64, 128, 192, 512, 2048, 1 << 20})
  void allBoundsTogetherFitIntoThreeQuartersOfTheHeap(long configuredMb) {
    MemoryBudget budget = new MemoryBudget(configuredMb * MB, HEAP_BYTES);

    long journalReplyBytes = budget.unreadResponseBytes();
    long heapBytes =
        budget.partialRequestBytes()
            + budget.requestBodyBytes()
            + budget.partialReplyBytes()
            + journalReplyBytes;
    assertTrue(heapBytes <= HEAP_BYTES * 3 / 4, "bytes: " + heapBytes);
  }

  @Test
  void boundsFollowTheConfiguredLimitBelowThat() {
    MemoryBudget budget = new MemoryBudget(96 * MB, HEAP_BYTES);

    assertEquals(4 * MB, budget.partialRequestBytes());
    assertEquals(4 * MB, budget.requestBodyBytes());
    assertEquals(8 * MB, budget.partialReplyBytes());
    assertEquals(8 * MB, budget.unreadResponseBytes());
  }
}
