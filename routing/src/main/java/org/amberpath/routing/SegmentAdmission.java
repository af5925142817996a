package org.amberpath.routing;

/**
 * Which segments are cached, and at which rank: the rule of Wu, Yu and Wolf, "Segment-Based Proxy
 * Caching of Multimedia Streams", sections 2.2 to 2.4. First segments always are; a later one is
 * only while it is contiguous and, with a full table, has a higher caching value than the lowest in
 * it.
 */
final class SegmentAdmission {
  /** The rank of a response that is not cached. */
  static final int NOT_CACHED = 0;

  /** The rank of the first segments of an object that was never started before. */
  static final int FIRST_START_RANK = 1;

  /** The rank of all others that are cached. */
  static final int STANDARD_RANK = 2;

  /** Kmin of the paper: the segments before it are cached on every start. */
  private static final int FIRST_SELECTIVE_SEGMENT = 3;

  private static final int TABLE_SIZE = 256;

  private final ObjectHistory history;
  private final long[] tableObjects = new long[TABLE_SIZE];
  private final int[] tableSegments = new int[TABLE_SIZE];
  private int tableUsed;

  /** An empty table over the starts that the history keeps. */
  SegmentAdmission(ObjectHistory history) {
    this.history = history;
  }

  /** The segment that a part lies in: 0 is part 0, segment i is parts 2^(i-1) to 2^i - 1. */
  static int segmentOf(int part) {
    return Integer.SIZE - Integer.numberOfLeadingZeros(part);
  }

  /** Whether a segment belongs to an object's start, which is always cached. */
  static boolean isStart(int segment) {
    return segment < FIRST_SELECTIVE_SEGMENT;
  }

  /**
   * The rank at which a client's segment is cached.
   *
   * @param previousStartNanos as {@link ObjectHistory#observe} returned it
   * @param sharedZone whether the segment before may have been requested through another gateway
   */
  int rankOf(long object, int segment, long previousStartNanos, boolean sharedZone, long nowNanos) {
    if (isStart(segment)) {
      return previousStartNanos == 0 ? FIRST_START_RANK : STANDARD_RANK;
    }
    return admits(object, segment, previousStartNanos, sharedZone, nowNanos)
        ? STANDARD_RANK
        : NOT_CACHED;
  }

  /** The rank at which a prefetched first segment is cached. */
  int prefetchRankOf(long object) {
    return history.previousStartNanos(object) == 0 ? FIRST_START_RANK : STANDARD_RANK;
  }

  private boolean admits(
      long object, int segment, long previousStartNanos, boolean sharedZone, long nowNanos) {
    boolean isContiguous =
        isStart(segment - 1)
            || (sharedZone && admits(object, segment - 1, previousStartNanos, true, nowNanos));
    int lowest = -1;
    double lowestValue = Double.MAX_VALUE;
    for (int i = 0; i < tableUsed; i++) {
      if (tableObjects[i] == object && tableSegments[i] == segment) {
        return true;
      }
      isContiguous |= tableObjects[i] == object && tableSegments[i] == segment - 1;
      double value =
          cachingValue(history.previousStartNanos(tableObjects[i]), tableSegments[i], nowNanos);
      if (value < lowestValue) {
        lowestValue = value;
        lowest = i;
      }
    }
    double value = cachingValue(previousStartNanos, segment, nowNanos);
    if (!isContiguous || value <= 0 || (tableUsed == TABLE_SIZE && value <= lowestValue)) {
      return false;
    }
    putRow(tableUsed < TABLE_SIZE ? tableUsed++ : lowest, object, segment);
    return true;
  }

  private void putRow(int row, long object, int segment) {
    tableObjects[row] = object;
    tableSegments[row] = segment;
  }

  /** 1/((T - T') * i) of the paper, with T' the previous start and i the segment. */
  private static double cachingValue(long previousStartNanos, int segment, long nowNanos) {
    return previousStartNanos == 0
        ? 0
        : 1.0 / (Math.max(1, nowNanos - previousStartNanos) * (double) segment);
  }
}
