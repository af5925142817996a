package org.amberpath.lab.endpoints;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

/** Reads the resource usage of one process from /proc and from its {@link ProcessHandle}. */
final class ProcessUsage {
  private static final String PEAK_MEMORY = "VmHWM:";
  private static final double KILOBYTES_PER_MEGABYTE = 1024;
  private static final double MILLIS_PER_SECOND = 1000;

  private final long processId;
  private volatile int peakDescriptors;

  ProcessUsage(long processId) {
    this.processId = processId;
  }

  private Path file(String name) {
    return Path.of("/proc", Long.toString(processId), name);
  }

  /**
   * Samples the number of open descriptors and keeps the highest; a process that has ended has
   * none.
   */
  void sampleDescriptors() {
    try (Stream<Path> open = Files.list(file("fd"))) {
      peakDescriptors = Math.max(peakDescriptors, (int) open.count());
    } catch (IOException e) {
      // The process has ended; the highest earlier sample is kept.
    }
  }

  int peakDescriptors() {
    return peakDescriptors;
  }

  double cpuSeconds() throws IOException {
    Duration total =
        ProcessHandle.of(processId)
            .flatMap(process -> process.info().totalCpuDuration())
            .orElseThrow(
                () ->
                    new IOException(
                        "process " + processId + " has no processor time; it may have ended"));
    return total.toMillis() / MILLIS_PER_SECOND;
  }

  double peakMemoryMegabytes() throws IOException {
    List<String> lines = Files.readAllLines(file("status"));
    String line =
        lines.stream()
            .filter(each -> each.startsWith(PEAK_MEMORY))
            .findFirst()
            .orElseThrow(
                () ->
                    new IOException(
                        "process "
                            + processId
                            + " has no line "
                            + PEAK_MEMORY
                            + " in "
                            + file("status")));
    return UsageBounds.rounded(Long.parseLong(line.replaceAll("\\D", "")) / KILOBYTES_PER_MEGABYTE);
  }
}
