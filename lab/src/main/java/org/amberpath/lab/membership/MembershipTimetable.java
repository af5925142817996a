package org.amberpath.lab.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Draws the faults of one membership experiment. At most half of the gateways are down or paused at
 * the same time, and link faults do not overlap.
 */
final class MembershipTimetable {
  /** Kind of a fault, with its name in the printed timetable. */
  enum Kind {
    KILL("kill"),
    PAUSE("stand"),
    TERMINATE("term"),
    PARTITION("partition"),
    LOSSY("lossy"),
    ONE_WAY_CUT("oneway");

    private final String printed;

    Kind(String printed) {
      this.printed = printed;
    }
  }

  /**
   * One fault.
   *
   * @param peer the gateway to which the link is cut, for a one-way cut; 0 otherwise
   * @param sideBits the gateways on one side of a partition, one bit per gateway; 0 for other kinds
   */
  record Fault(
      long atMillis, Kind kind, int gateway, int peer, long sideBits, long durationMillis) {
    long endMillis() {
      return atMillis + durationMillis;
    }

    @Override
    public String toString() {
      String target =
          switch (kind) {
            case PARTITION -> Long.toBinaryString(sideBits);
            case LOSSY -> "all";
            case ONE_WAY_CUT -> "g" + gateway + " to g" + peer;
            default -> "g" + gateway;
          };
      return String.format(
          Locale.ROOT, "%6d ms  %-9s %s for %d ms", atMillis, kind.printed, target, durationMillis);
    }
  }

  /**
   * How long after the end of a process fault the gateway gets no further one, so that it can start
   * up.
   */
  private static final long START_UP_MILLIS = 4000;

  private static final int SIMULTANEOUS_ONE_IN = 4;
  private static final long MIN_INTERVAL_MILLIS = 200;
  private static final long MAX_INTERVAL_MILLIS = 3000;

  private final int gateways;
  private final SplittableRandom random;
  private final List<Fault> faults = new ArrayList<>();
  private final long[] unavailableUntilMillis;
  private long linkFaultUntilMillis;

  private MembershipTimetable(int gateways, SplittableRandom random) {
    this.gateways = gateways;
    this.random = random;
    unavailableUntilMillis = new long[gateways];
  }

  /** Draws the faults that begin within the given number of seconds. */
  static List<Fault> draw(int gateways, int seconds, SplittableRandom random) {
    MembershipTimetable timetable = new MembershipTimetable(gateways, random);
    long atMillis = 0;
    while (atMillis < seconds * 1000L) {
      timetable.drawFault(atMillis);
      // One interval in four is zero, so that some faults begin in the same millisecond.
      atMillis +=
          random.nextInt(SIMULTANEOUS_ONE_IN) == 0
              ? 0
              : random.nextLong(MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS);
    }
    return timetable.faults;
  }

  private void drawFault(long atMillis) {
    int gateway = random.nextInt(gateways);
    int peer = random.nextInt(gateways);
    switch (random.nextInt(Kind.values().length)) {
      case 0 -> addProcessFault(atMillis, Kind.KILL, gateway, random.nextLong(1000, 12_000));
      case 1 -> addProcessFault(atMillis, Kind.PAUSE, gateway, random.nextLong(300, 8000));
      case 2 -> addProcessFault(atMillis, Kind.TERMINATE, gateway, random.nextLong(2500, 6000));
      case 3 -> {
        if (linkFaultUntilMillis <= atMillis) {
          long durationMillis = random.nextLong(1000, 8000);
          long sideBits = 1 + random.nextLong((1L << gateways) - 2);
          addLinkFault(new Fault(atMillis, Kind.PARTITION, 0, 0, sideBits, durationMillis));
        }
      }
      case 4 -> {
        if (linkFaultUntilMillis <= atMillis) {
          long durationMillis = random.nextLong(1000, 6000);
          addLinkFault(new Fault(atMillis, Kind.LOSSY, 0, 0, 0, durationMillis));
        }
      }
      default -> {
        if (linkFaultUntilMillis <= atMillis && gateway != peer) {
          long durationMillis = random.nextLong(1000, 8000);
          addLinkFault(new Fault(atMillis, Kind.ONE_WAY_CUT, gateway, peer, 0, durationMillis));
        }
      }
    }
  }

  private void addProcessFault(long atMillis, Kind kind, int gateway, long durationMillis) {
    long unavailableCount =
        Arrays.stream(unavailableUntilMillis).filter(until -> until > atMillis).count();
    if (unavailableUntilMillis[gateway] <= atMillis && 2 * (unavailableCount + 1) <= gateways) {
      faults.add(new Fault(atMillis, kind, gateway, 0, 0, durationMillis));
      unavailableUntilMillis[gateway] = atMillis + durationMillis + START_UP_MILLIS;
    }
  }

  private void addLinkFault(Fault fault) {
    faults.add(fault);
    linkFaultUntilMillis = fault.endMillis();
  }
}
