package org.amberpath.registry.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.amberpath.registry.RegistryFailure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The messages that an operator reads when a request has failed. */
class RegistryRequestExceptionTest {

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "REFUSED | e: connection refused: nothing listens there",
        "TIMED_OUT | e: the connection timed out",
        "UNAUTHORISED | e: the token or user was rejected",
        "UNTRUSTED | e: the TLS handshake failed: check trust, certificate and key",
        "UNAVAILABLE | e: the endpoint can't serve requests now",
        "THROTTLED | e: the endpoint limits the request rate: retry later",
        "BROKEN | e: the connection broke, or the response can't be decoded",
        "UNREADABLE | e: the connection broke, or the response can't be decoded",
        "LAGGING | e: the connection broke, or the response can't be decoded",
      })
  void endpointFailureNamesTheEndpointAndTheCause(RegistryFailure failure, String message) {
    RegistryRequestException.EndpointFailed failed =
        new RegistryRequestException.EndpointFailed("e", failure);
    assertEquals(message, failed.getMessage());
    assertEquals(failure, failed.failure());
  }

  @Test
  void timeoutSaysThatAWriteMayHaveBeenCarriedOut() {
    assertEquals(
        "e: no response within 3000 ms; a write may have been carried out",
        new RegistryRequestException.AnswerTimedOut("e", 3000).getMessage());
  }

  @Test
  void tooManyKeysNamesTheLimit() {
    assertEquals(
        "the registry holds more than 5 keys (most-keys)",
        new RegistryRequestException.TooManyKeys(5).getMessage());
  }
}
