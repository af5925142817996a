package org.amberpath.membership.runtime;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.file.Path;

/**
 * The keys of a fleet, read anew from their file while the gateway runs. The file is read off the
 * event loop; all methods are called on it.
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
   * Reads the file and uses its keys from then on. A failure leaves the present keys; it is a
   * {@link MembershipException.InvalidKeyFile} where the file holds something wrong.
   */
  Future<HmacKeyring> load() {
    return vertx
        .executeBlocking(() -> HmacKeyring.read(keyFile))
        .onSuccess(loaded -> current = loaded);
  }

  /** The present keys; only after a first successful {@link #load}. */
  HmacKeyring current() {
    return current;
  }
}
