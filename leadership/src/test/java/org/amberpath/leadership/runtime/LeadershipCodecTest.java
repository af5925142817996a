package org.amberpath.leadership.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.amberpath.leadership.HealthCheckCoordinator.HealthReport;
import org.amberpath.leadership.LeaseMessage;
import org.amberpath.leadership.runtime.TaskMessage.Kind;
import org.amberpath.membership.runtime.DatagramCodec;

/** Lease and task messages decode to what was encoded, and invalid bytes decode to nothing. */
class LeadershipCodecTest {
  @Property(tries = 200)
  void leaseMessagesDecodeToWhatWasEncoded(
      @ForAll LeaseMessage.Kind kind,
      @ForAll @LongRange(max = LeaseMessage.HIGHEST_BALLOT) long ballot,
      @ForAll @LongRange(max = LeaseMessage.HIGHEST_BALLOT) long detail,
      @ForAll @LongRange(max = LeaseMessage.HIGHEST_BALLOT) long lastAcceptedBallot) {
    LeaseMessage message = new LeaseMessage(kind, "probe", ballot, detail, lastAcceptedBallot);
    byte[] bytes = LeaseMessageCodec.encode(message);
    assertEquals(Optional.of(message), LeaseMessageCodec.decode(bytes));
    assertEquals(Optional.empty(), HealthReportCodec.decode(bytes), "not a task message");
  }

  @Property(tries = 200)
  void taskMessagesDecodeToWhatWasEncodedAndFitIntoAPayload(
      @ForAll Kind kind,
      @ForAll @LongRange(max = LeaseMessage.HIGHEST_BALLOT) long term,
      @ForAll long requestNanos,
      @ForAll @IntRange(max = 10) int count,
      @ForAll @LongRange(min = -1) long ageNanos) {
    Map<String, HealthReport> reports = new TreeMap<>();
    for (int index = 0; index < count; index++) {
      reports.put(
          "c".repeat(62) + (char) ('a' + index), new HealthReport(index % 2 == 0, ageNanos));
    }
    TaskMessage message = new TaskMessage(kind, "probe", term, requestNanos, reports);
    byte[] bytes = HealthReportCodec.encode(message);
    assertEquals(Optional.of(message), HealthReportCodec.decode(bytes));
    assertTrue(bytes.length <= DatagramCodec.MAX_PAYLOAD_BYTES, bytes.length + " bytes");
    assertEquals(Optional.empty(), LeaseMessageCodec.decode(bytes), "not a lease message");
    assertEquals(
        Optional.empty(), HealthReportCodec.decode(Arrays.copyOf(bytes, bytes.length - 1)));
    assertEquals(
        Optional.empty(),
        HealthReportCodec.decode(Arrays.copyOf(bytes, bytes.length + 1)),
        "with a byte left over");
  }

  @Property(tries = 2000)
  void arbitraryBytesDecodeToAtMostOneMessage(@ForAll @Size(max = 60) byte[] bytes) {
    Optional<LeaseMessage> leaseMessage = LeaseMessageCodec.decode(bytes);
    Optional<TaskMessage> taskMessage = HealthReportCodec.decode(bytes);
    assertTrue(leaseMessage.isEmpty() || taskMessage.isEmpty());
  }

  @Property(tries = 50)
  void numbersAboveTheHighestBallotAreNotDecoded(
      @ForAll @LongRange(min = LeaseMessage.HIGHEST_BALLOT + 1) long number) {
    LeaseMessage message = new LeaseMessage(LeaseMessage.Kind.REFUSED, "probe", 1, number);
    assertEquals(Optional.empty(), LeaseMessageCodec.decode(LeaseMessageCodec.encode(message)));
    TaskMessage taskMessage = TaskMessage.of(Kind.HIGHER_TERM_SEEN, "probe", number);
    assertEquals(Optional.empty(), HealthReportCodec.decode(HealthReportCodec.encode(taskMessage)));
  }
}
