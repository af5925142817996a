package org.amberpath.membership.runtime;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.file.Path;

/**
 * The keyring of a fleet, which can be reloaded from its file while the gateway runs. All methods
 * are called on the event loop; the file is read on a worker thread.
 */
final class ReloadableKeyring {
  private final Vertx vertx;
  private final Path keyFile;
  private HmacKeyring current;

  ReloadableKeyring(Vertx vertx, Path keyFile) {
    this.vertx = vertx;
    this.keyFile = keyFile;
  }

  /**
   * Reads the key file and replaces the current keyring. If reading fails, the current keyring
   * remains; the failure is a {@link MembershipException.InvalidKeyFile} if the content of the file
   * is invalid.
   */
  Future<HmacKeyring> load() {
    return vertx
        .executeBlocking(() -> HmacKeyring.read(keyFile))
        .onSuccess(loaded -> current = loaded);
  }

  /** Returns the current keyring; null before the first successful {@link #load}. */
  HmacKeyring current() {
    return current;
  }
}
