package org.amberpath.routing;

/**
 * Decides which segments are cached, and at which rank, by the rule of Wu, Yu and Wolf,
 * "Segment-Based Proxy Caching of Multimedia Streams", sections 2.2 to 2.4. The first segments of
 * an object are always cached. A later segment is cached only if it is contiguous with a cached one
 * and, when the table is full, has a higher caching value than the lowest in the table.
 */
final class SegmentAdmission {
  /** Rank of a response that is not cached. */
  static final int NOT_CACHED = 0;

  /** Rank of the first segments of an object that was not started before. */
  static final int FIRST_START_RANK = 1;

  /** Rank of all other segments that are cached. */
  static final int STANDARD_RANK = 2;

  /** Kmin of the paper: segments below this one are cached on every start. */
  private static final int FIRST_SELECTIVE_SEGMENT = 3;

  private static final int MAX_ROWS = 256;

  private final ObjectHistory history;
  private final long[] tableObjects = new long[MAX_ROWS];
  private final int[] tableSegments = new int[MAX_ROWS];
  private int usedRows;

  /** Creates an empty table that uses the starts in the history. */
  SegmentAdmission(ObjectHistory history) {
    this.history = history;
  }

  /**
   * Returns the segment that contains a part: segment 0 is part 0, segment i is parts 2^(i-1) to
   * 2^i - 1.
   */
  static int segmentOf(int part) {
    return Integer.SIZE - Integer.numberOfLeadingZeros(part);
  }

  /** Whether a segment is one of an object's first segments, which are always cached. */
  static boolean isStart(int segment) {
    return segment < FIRST_SELECTIVE_SEGMENT;
  }

  /**
   * Returns the cache rank of a segment that a client requested.
   *
   * @param previousStartNanos the object's previous start as {@link ObjectHistory#observe} returned
   *     it
   * @param isZoneShared whether the previous segment may have been requested through another
   *     gateway
   */
  int rankOf(
      long object, int segment, long previousStartNanos, boolean isZoneShared, long nowNanos) {
    if (isStart(segment)) {
      return previousStartNanos == 0 ? FIRST_START_RANK : STANDARD_RANK;
    }
    return admits(object, segment, previousStartNanos, isZoneShared, nowNanos)
        ? STANDARD_RANK
        : NOT_CACHED;
  }

  /** Returns the cache rank of a prefetched first segment. */
  int prefetchRankOf(long object) {
    return history.previousStartNanos(object) == 0 ? FIRST_START_RANK : STANDARD_RANK;
  }

  private boolean admits(
      long object, int segment, long previousStartNanos, boolean isZoneShared, long nowNanos) {
    boolean isContiguous =
        isStart(segment - 1)
            || (isZoneShared && admits(object, segment - 1, previousStartNanos, true, nowNanos));
    int lowestRow = -1;
    double lowestValue = Double.MAX_VALUE;
    for (int i = 0; i < usedRows; i++) {
      if (tableObjects[i] == object && tableSegments[i] == segment) {
        return true;
      }
      isContiguous |= tableObjects[i] == object && tableSegments[i] == segment - 1;
      double value =
          cachingValue(history.previousStartNanos(tableObjects[i]), tableSegments[i], nowNanos);
      if (value < lowestValue) {
        lowestValue = value;
        lowestRow = i;
      }
    }
    double value = cachingValue(previousStartNanos, segment, nowNanos);
    if (!isContiguous || value <= 0 || (usedRows == MAX_ROWS && value <= lowestValue)) {
      return false;
    }
    putRow(usedRows < MAX_ROWS ? usedRows++ : lowestRow, object, segment);
    return true;
  }

  private void putRow(int row, long object, int segment) {
    tableObjects[row] = object;
    tableSegments[row] = segment;
  }

  /**
   * Returns 1/((T - T') * i) of the paper, where T' is the previous start and i the segment; 0
   * without a previous start.
   */
  private static double cachingValue(long previousStartNanos, int segment, long nowNanos) {
    return previousStartNanos == 0
        ? 0
        : 1.0 / (Math.max(1, nowNanos - previousStartNanos) * (double) segment);
  }
}
