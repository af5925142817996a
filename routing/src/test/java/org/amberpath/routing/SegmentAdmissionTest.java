package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SegmentAdmissionTest {
  private final SegmentAdmission admission = new SegmentAdmission(new ObjectHistory());

  @ParameterizedTest
  @CsvSource({"0, 0", "1, 1", "2, 2", "3, 2", "4, 3", "7, 3", "8, 4"})
  void segmentLengthsDouble(int part, int segment) {
    assertEquals(segment, SegmentAdmission.segmentOf(part));
  }

  @Test
  void firstSegmentsAreCachedAtTheLowestRankUntilTheObjectIsStartedAgain() {
    assertEquals(SegmentAdmission.FIRST_START_RANK, admission.rankOf(5, 2, 0, false, 100));
    assertEquals(SegmentAdmission.STANDARD_RANK, admission.rankOf(5, 2, 50, false, 100));
  }

  @Test
  void laterSegmentMustFollowACachedOneUnlessGatewaysShareTheZone() {
    assertEquals(SegmentAdmission.NOT_CACHED, admission.rankOf(5, 4, 50, false, 100));
    assertEquals(SegmentAdmission.STANDARD_RANK, admission.rankOf(5, 3, 50, false, 100));
    assertEquals(SegmentAdmission.STANDARD_RANK, admission.rankOf(5, 4, 50, false, 100));
    assertEquals(SegmentAdmission.STANDARD_RANK, admission.rankOf(6, 5, 50, true, 100));
  }
}
