package org.amberpath.membership.runtime;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import org.amberpath.membership.ReplayFilter;

/** Counts sent and received datagrams by their result since the start. Not thread-safe. */
final class DatagramCounters {
  /** The result of sending or receiving one datagram; the admin endpoint shows it in lower case. */
  enum Result {
    /** Sent by the socket; the receiver may not have received it. */
    SENT,
    /** Not sent, because the socket reported a failure. */
    NOT_SENT,
    /** Received and accepted. */
    TAKEN,
    /** Received with the instance id of another process or none; answered with a greeting. */
    GREETED,
    /** Rejected as replayed. */
    REPEATED,
    /** Rejected by a rate limit of {@link ReplayFilter}. */
    TOO_MANY,
    /** Rejected as malformed. */
    UNREADABLE,
    /** Rejected because of another format version. */
    OTHER_VERSION,
    /** Rejected because it belongs to another fleet. */
    OTHER_FLEET,
    /** Rejected because the signing key is not in the keyring. */
    OTHER_KEY,
    /** Rejected because of an invalid signature. */
    FORGED
  }

  private final Map<Result, Long> counts = new EnumMap<>(Result.class);

  DatagramCounters() {
    for (Result result : Result.values()) {
      counts.put(result, 0L);
    }
  }

  void count(Result result) {
    counts.merge(result, 1L, Long::sum);
  }

  void count(ReplayFilter.Verdict verdict) {
    count(
        switch (verdict) {
          case ACCEPTED -> Result.TAKEN;
          case WRONG_RECIPIENT -> Result.GREETED;
          case REPLAYED -> Result.REPEATED;
          case RATE_LIMITED -> Result.TOO_MANY;
        });
  }

  void count(DecodedDatagram.RejectionReason reason) {
    count(
        switch (reason) {
          case MALFORMED -> Result.UNREADABLE;
          case UNSUPPORTED_VERSION -> Result.OTHER_VERSION;
          case WRONG_FLEET -> Result.OTHER_FLEET;
          case UNKNOWN_KEY -> Result.OTHER_KEY;
          case INVALID_SIGNATURE -> Result.FORGED;
        });
  }

  /** Returns a live, unmodifiable view of all counts, in the order of {@link Result}. */
  Map<Result, Long> counts() {
    return Collections.unmodifiableMap(counts);
  }
}
