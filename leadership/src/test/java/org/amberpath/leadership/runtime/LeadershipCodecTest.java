package org.amberpath.leadership.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.amberpath.leadership.HealthCheckCoordinator.HealthReport;
import org.amberpath.leadership.LeaseMessage;
import org.amberpath.leadership.runtime.HealthReportCodec.Kind;
import org.amberpath.leadership.runtime.HealthReportCodec.Word;

/** Votes and words as letters: read as they were written, and whatever else comes is nothing. */
class LeadershipCodecTest {
  @Property(tries = 200)
  void votesComeAsTheyWere(
      @ForAll LeaseMessage.Kind kind,
      @ForAll @LongRange(max = LeaseMessage.HIGHEST) long ballot,
      @ForAll @LongRange(max = LeaseMessage.HIGHEST) long other,
      @ForAll @LongRange(max = LeaseMessage.HIGHEST) long last) {
    LeaseMessage vote = new LeaseMessage(kind, "probe", ballot, other, last);
    assertEquals(vote, LeaseMessageCodec.read(LeaseMessageCodec.write(vote)));
    assertNull(HealthReportCodec.read(LeaseMessageCodec.write(vote)), "no word");
  }

  @Property(tries = 200)
  void wordsComeAsTheyWereAndFitIntoALetter(
      @ForAll Kind kind,
      @ForAll @LongRange(max = LeaseMessage.HIGHEST) long term,
      @ForAll long stamp,
      @ForAll @IntRange(max = 10) int many,
      @ForAll @LongRange(min = -1) long ago) {
    Map<String, HealthReport> caches = new TreeMap<>();
    for (int one = 0; one < many; one++) {
      caches.put("c".repeat(62) + (char) ('a' + one), new HealthReport(one % 2 == 0, ago));
    }
    Word word = new Word(kind, "probe", term, stamp, caches);
    byte[] letter = HealthReportCodec.write(word);
    assertEquals(word, HealthReportCodec.read(letter));
    assertTrue(
        letter.length <= org.amberpath.membership.runtime.DatagramCodec.MAX_PAYLOAD_BYTES,
        letter.length + " bytes");
    assertNull(LeaseMessageCodec.read(letter), "no vote");
    assertNull(HealthReportCodec.read(Arrays.copyOf(letter, letter.length - 1)));
    assertNull(
        HealthReportCodec.read(Arrays.copyOf(letter, letter.length + 1)),
        "with something left over");
  }

  @Property(tries = 2000)
  void whateverComesIsReadOrPassedOver(@ForAll @Size(max = 60) byte[] bytes) {
    LeaseMessage vote = LeaseMessageCodec.read(bytes);
    Word word = HealthReportCodec.read(bytes);
    assertTrue(vote == null || word == null);
  }

  @Property(tries = 50)
  void numbersThatLeaveNoneAboveThemAreNone(
      @ForAll @LongRange(min = LeaseMessage.HIGHEST + 1) long far) {
    assertNull(
        LeaseMessageCodec.read(
            LeaseMessageCodec.write(new LeaseMessage(LeaseMessage.Kind.REFUSED, "probe", 1, far))));
    assertNull(
        HealthReportCodec.read(HealthReportCodec.write(Word.of(Kind.OUTRANKED, "probe", far))));
  }
}
