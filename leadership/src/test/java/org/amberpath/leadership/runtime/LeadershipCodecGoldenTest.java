package org.amberpath.leadership.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.amberpath.leadership.HealthCheckCoordinator.HealthReport;
import org.amberpath.leadership.LeaseMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against changes of the bytes of lease and task messages, which gateways of other versions
 * expect. The bytes were recorded before the kinds were renamed.
 */
class LeadershipCodecGoldenTest {
  private static final long TERM = 1_700_000_000_123L;

  @ParameterizedTest
  @CsvSource({
    "PREPARE, 00",
    "PROMISE, 01",
    "PROPOSE, 02",
    "ACCEPTED, 03",
    "REFUSED, 04",
    "RELEASE, 05"
  })
  void leaseMessagesHaveTheRecordedBytes(LeaseMessage.Kind kind, String kindByte) {
    LeaseMessage message = new LeaseMessage(kind, "sweep", TERM, 3, 1_699_999_999_000L);
    String bytes = "02" + kindByte + "a57377656570cf0000018bcfe5687b03cf0000018bcfe56418";
    assertEquals(bytes, HexFormat.of().formatHex(LeaseMessageCodec.encode(message)));
    assertEquals(Optional.of(message), LeaseMessageCodec.decode(HexFormat.of().parseHex(bytes)));
  }

  @ParameterizedTest
  @CsvSource({"REQUEST, 00", "RESPONSIVE, 01", "REPORT, 02", "HIGHER_TERM_SEEN, 03", "STOPPED, 04"})
  void taskMessagesHaveTheRecordedBytes(TaskMessage.Kind kind, String kindByte) {
    Map<String, HealthReport> reports = new TreeMap<>();
    reports.put("cache-1", new HealthReport(true, 250_000_000));
    reports.put("cache-2", new HealthReport(false, -1));
    TaskMessage message = new TaskMessage(kind, "probe", TERM, -5_000_000_000L, reports);
    String bytes =
        "65"
            + kindByte
            + "a570726f6265cf0000018bcfe5687bd3fffffffed5fa0e0092"
            + "a763616368652d31c3ce0ee6b280a763616368652d32c2ff";
    assertEquals(bytes, HexFormat.of().formatHex(HealthReportCodec.encode(message)));
    assertEquals(Optional.of(message), HealthReportCodec.decode(HexFormat.of().parseHex(bytes)));
  }
}
