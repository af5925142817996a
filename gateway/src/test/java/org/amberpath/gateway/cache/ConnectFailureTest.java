package org.amberpath.gateway.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import org.amberpath.routing.LocalBackoff;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The classification of failed connects, and the backoff after failures on this host. */
class ConnectFailureTest {
  @ParameterizedTest
  @CsvSource({
    "Too many open files, LOCAL_RESOURCE",
    "Too many open files in system, LOCAL_RESOURCE",
    "No buffer space available, LOCAL_RESOURCE",
    "Cannot allocate memory, LOCAL_RESOURCE",
    "Interrupted system call, LOCAL_RESOURCE",
    "Cannot assign requested address, LOCAL_NETWORK",
    "Network is unreachable, LOCAL_NETWORK",
    "Connection refused, REFUSED",
    "Connection timed out, TIMED_OUT",
    "connection timed out after 400 ms, TIMED_OUT",
    "No route to host, UNREACHABLE",
    "Connection reset by peer, OTHER"
  })
  void failuresAreClassifiedThroughWrappersAndAddresses(String message, ConnectFailure kind) {
    assertEquals(kind, ConnectFailure.of(new ConnectException(message + ": /127.0.0.1:6379")));
    assertEquals(
        kind,
        ConnectFailure.of(new IllegalStateException("no channel", new SocketException(message))));
    assertEquals(kind.isLocal(), kind.name().startsWith("LOCAL"));
  }

  @Test
  void exceptionClassesDecideIfMessagesAreInAnotherLanguage() {
    assertEquals(
        ConnectFailure.LOCAL_NETWORK,
        ConnectFailure.of(
            new SocketException()
                .initCause(
                    new BindException("Die angeforderte Adresse kann nicht zugewiesen werden"))));
    assertEquals(
        ConnectFailure.UNREACHABLE, ConnectFailure.of(new NoRouteToHostException("Keine Route")));
    Throwable cyclicCause = new IOException("a");
    cyclicCause.initCause(new IOException("b", cyclicCause));
    assertEquals(ConnectFailure.OTHER, ConnectFailure.of(cyclicCause));
  }

  @Test
  void backoffDoublesUpToABoundAndRestartsAfterASuccess() {
    LocalBackoff backoff = new LocalBackoff();
    for (long expectedMillis : new long[] {10, 20, 40, 80}) {
      assertEquals(expectedMillis, backoff.attemptFailed());
      assertFalse(backoff.isExhausted());
    }
    assertEquals(100, backoff.attemptFailed());
    assertTrue(backoff.isExhausted() && backoff.isFailing());
    backoff.attemptSucceeded();
    assertFalse(backoff.isExhausted() || backoff.isFailing());
    assertEquals(10, backoff.attemptFailed());
  }
}
