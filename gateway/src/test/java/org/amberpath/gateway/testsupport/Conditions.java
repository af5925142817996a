package org.amberpath.gateway.testsupport;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.awaitility.Awaitility;

/** Waits for conditions that other threads or processes bring about. */
public final class Conditions {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(1);

  private Conditions() {}

  /** Waits until a condition holds; fails the test with the description after 10 s. */
  public static void await(BooleanSupplier condition, String description) {
    Awaitility.await(description)
        .pollInSameThread()
        .pollDelay(Duration.ZERO)
        .pollInterval(POLL_INTERVAL)
        .atMost(Duration.ofSeconds(GatewayTestbed.TIMEOUT_SECONDS))
        .until(condition::getAsBoolean);
  }
}
