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
        "REFUSED | e: nothing listens there",
        "TIMED_OUT | e: no connection in time",
        "UNAUTHORISED | e: it does not take this token or user",
        "UNTRUSTED | e: no TLS connection: look at trust, certificate and key",
        "UNAVAILABLE | e: it can't serve now",
        "THROTTLED | e: it asks for fewer calls",
        "BROKEN | e: the connection broke, or what came can't be read",
        "UNREADABLE | e: the connection broke, or what came can't be read",
        "LAGGING | e: the connection broke, or what came can't be read",
      })
  void endpointFailureNamesTheEndpointAndTheCause(RegistryFailure why, String message) {
    RegistryRequestException.EndpointFailed failed =
        new RegistryRequestException.EndpointFailed("e", why);
    assertEquals(message, failed.getMessage());
    assertEquals(why, failed.failure());
  }

  @Test
  void timeoutSaysThatAWriteMayHaveBeenCarriedOut() {
    assertEquals(
        "e: no answer in 3000 ms; a write may have been carried out",
        new RegistryRequestException.AnswerTimedOut("e", 3000).getMessage());
  }

  @Test
  void tooManyKeysNamesTheLimit() {
    assertEquals("more than 5 keys", new RegistryRequestException.TooManyKeys(5).getMessage());
  }
}
