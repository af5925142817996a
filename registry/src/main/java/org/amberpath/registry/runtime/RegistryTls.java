package org.amberpath.registry.runtime;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;

/** TLS configuration of connections to a registry, from the configured PEM files. */
final class RegistryTls {
  private final RegistrySettings settings;

  RegistryTls(RegistrySettings settings) {
    this.settings = settings;
  }

  boolean isEnabled() {
    return settings.trustFile() != null;
  }

  /** Adds the TLS options, if TLS is enabled, to those of an HTTP client. */
  void addTo(HttpClientOptions options) {
    if (isEnabled()) {
      options.setSsl(true).setTrustOptions(trust());
      if (settings.certificateFile() != null) {
        options.setKeyCertOptions(certificate());
      }
    }
  }

  /** Reads all files off the event loop; fails if one of them can't be used. */
  Future<Void> validate(Vertx vertx) {
    return vertx.executeBlocking(
        () -> {
          trust().getTrustManagerFactory(vertx);
          if (settings.certificateFile() != null) {
            certificate().getKeyManagerFactory(vertx);
          }
          return null;
        });
  }

  private PemTrustOptions trust() {
    return new PemTrustOptions().addCertPath(settings.trustFile().toString());
  }

  private PemKeyCertOptions certificate() {
    return new PemKeyCertOptions()
        .setCertPath(settings.certificateFile().toString())
        .setKeyPath(settings.keyFile().toString());
  }
}
