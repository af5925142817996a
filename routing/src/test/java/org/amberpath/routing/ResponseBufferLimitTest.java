package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseBufferLimitTest {
  private static final long MAX_TOTAL_BYTES = 16_000_000;
  private static final long BODY_BYTES = 240_000;

  private final ResponseBufferLimit limit = new ResponseBufferLimit(MAX_TOTAL_BYTES);

  @Test
  void oneClientMayTakeHalfOfTheMemory() {
    assertTrue(limit.permitsBody(MAX_TOTAL_BYTES / 2 - 1, MAX_TOTAL_BYTES / 2 - 1, 1));
    assertFalse(limit.permitsBody(MAX_TOTAL_BYTES / 2, MAX_TOTAL_BYTES / 2, 1));
  }

  /** Guards against clients that do not read and so take the memory of all others. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 10, 30})
  void clientsThatDoNotReadLeaveMemoryForOneThatDoes(int stalledClients) {
    long[] stalledBytes = new long[stalledClients];
    long totalBytes = 0;
    for (int round = 0; round < 100; round++) {
      for (int client = 0; client < stalledClients; client++) {
        if (limit.permitsBody(stalledBytes[client], totalBytes, BODY_BYTES)) {
          stalledBytes[client] += BODY_BYTES;
          totalBytes += BODY_BYTES;
        }
      }
    }

    assertTrue(limit.permitsBody(0, totalBytes, BODY_BYTES));
    assertTrue(totalBytes <= MAX_TOTAL_BYTES);
    assertFalse(limit.isExceeded(totalBytes));
  }
}
