package org.amberpath.registry.runtime;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;

/** TLS to the endpoints of a registry, from PEM files that the settings name. */
final class RegistryTls {
  private final RegistrySettings settings;

  RegistryTls(RegistrySettings settings) {
    this.settings = settings;
  }

  /** Whether connections are encrypted. */
  boolean isEnabled() {
    return settings.trust() != null;
  }

  /** Adds TLS to the options of a client. */
  void addTo(HttpClientOptions options) {
    if (isEnabled()) {
      options.setSsl(true).setTrustOptions(trust());
      if (settings.certificate() != null) {
        options.setKeyCertOptions(certificate());
      }
    }
  }

  /** Reads all files, off the event loop; fails where one of them can't be used. */
  Future<Void> validate(Vertx vertx) {
    return vertx.executeBlocking(
        () -> {
          trust().getTrustManagerFactory(vertx);
          if (settings.certificate() != null) {
            certificate().getKeyManagerFactory(vertx);
          }
          return null;
        });
  }

  private PemTrustOptions trust() {
    return new PemTrustOptions().addCertPath(settings.trust().toString());
  }

  private PemKeyCertOptions certificate() {
    return new PemKeyCertOptions()
        .setCertPath(settings.certificate().toString())
        .setKeyPath(settings.key().toString());
  }
}
