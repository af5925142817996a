package org.amberpath.lab.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Checks what is read of a process that does not exist. */
class ProcessUsageTest {
  /** Above the highest process id that Linux assigns (2^22). */
  private static final long NO_PROCESS = 99_999_999;

  private final ProcessUsage usage = new ProcessUsage(NO_PROCESS);

  @Test
  void processorTimeOfMissingProcessFails() {
    IOException error = assertThrows(IOException.class, usage::cpuSeconds);

    assertEquals("process 99999999 has no processor time; it may have ended", error.getMessage());
  }

  @Test
  void missingProcessHasNoDescriptors() {
    usage.sampleDescriptors();

    assertEquals(0, usage.peakDescriptors());
  }
}
