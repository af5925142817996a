package amberpath.gateway;

/** Time that only goes forward, and what it makes of Unix times. */
public final class Clock {
  private final long origin = System.currentTimeMillis() * 1_000_000L - System.nanoTime();

  /** Nanoseconds since the Unix epoch. */
  public long now() {
    return System.nanoTime() + origin;
  }

  /** How long ago a Unix millisecond was, by the system's clock as it stands. */
  long since(long unixMs) {
    return (System.currentTimeMillis() - unixMs) * 1_000_000L;
  }
}
