package org.amberpath.registry.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests which secret files are accepted, and that no message contains a secret. */
class RegistryCredentialsTest {
  private static final int MAX_BYTES = 16_384;

  @TempDir private Path folder;

  @Test
  void secretIsReadWithoutTheWhiteSpaceAroundIt() throws Exception {
    Path file = Files.writeString(folder.resolve("token"), " s3cr3t\n");
    assertEquals("s3cr3t", RegistryCredentials.readSecretFile(file));
  }

  @Test
  void oversizedSecretIsRejectedWithoutItsText() throws Exception {
    Path file = Files.writeString(folder.resolve("token"), "s".repeat(MAX_BYTES + 1));
    assertEquals(
        "the secret file is longer than 16384 bytes",
        assertThrows(
                CredentialException.SecretTooLong.class,
                () -> RegistryCredentials.readSecretFile(file))
            .getMessage());
  }

  @Test
  void missingFileIsAnUnreadableSecret() {
    assertEquals(
        "the secret file can't be read",
        assertThrows(
                CredentialException.SecretUnreadable.class,
                () -> RegistryCredentials.readSecretFile(folder.resolve("token")))
            .getMessage());
  }

  @Test
  void rejectedLoginGivesOnlyTheStatus() {
    assertEquals(
        "login rejected with HTTP status 403",
        new CredentialException.LoginRejected(403).getMessage());
  }
}
