package org.amberpath.cli.settings;

import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.amberpath.registry.runtime.RegistrySettings;
import org.amberpath.registry.runtime.RegistrySettings.ProtocolKind;

/**
 * Reads section {@code [registry]}: endpoints, credentials and snapshot file of the registry
 * client, and limits on the registry's data.
 */
final class RegistrySection {
  static final String NAME = "registry";
  static final Set<String> KEYS =
      Set.of(
          "form",
          "endpoints",
          "prefix",
          "journal",
          "trust",
          "certificate",
          "key",
          "token",
          "user",
          "password",
          "snapshot",
          "snapshot-every-s",
          "snapshot-oldest-s",
          "retention-s",
          "most-keys",
          "longest-answer-kb");

  private static final int MAX_PREFIX_LENGTH = 128;
  private static final int BYTES_PER_KIB_SHIFT = 10;

  private final IniSection section;

  RegistrySection(IniSection section) {
    this.section = section;
  }

  /** Files and user name with which the client authenticates; empty where not set. */
  private record Credentials(
      Optional<Path> trust,
      Optional<Path> certificate,
      Optional<Path> key,
      Optional<Path> token,
      Optional<Path> password,
      Optional<String> user) {}

  /**
   * Returns whether the journal is polled in addition to the registry, rather than replaced by it.
   */
  boolean alsoPollsJournal() {
    return section.choice("journal", "instead", "beside").equals("beside");
  }

  RegistrySettings read() {
    ProtocolKind protocol =
        ProtocolKind.valueOf(
            section.requiredChoice("form", "etcd", "consul").toUpperCase(Locale.ROOT));
    Credentials credentials =
        new Credentials(
            section.readableFile("trust"),
            section.readableFile("certificate"),
            section.readableFile("key"),
            section.readableFile("token"),
            section.readableFile("password"),
            section.string("user"));
    List<SocketAddress> endpoints = section.addresses("endpoints");
    checkCredentials(credentials, protocol);
    return new RegistrySettings(
        protocol,
        endpoints,
        prefix(),
        credentials.trust().orElse(null),
        credentials.certificate().orElse(null),
        credentials.key().orElse(null),
        credentials.token().orElse(null),
        credentials.user().orElse(null),
        credentials.password().orElse(null),
        section.writableFile("snapshot").orElse(null),
        section.secondsToNanos("snapshot-every-s", "5", 1, 3600),
        section.secondsToNanos("snapshot-oldest-s", "86400", 1, 31_536_000),
        section.secondsToNanos("retention-s", "600", 10, 86_400),
        section.integer("most-keys", "20000", 10, 1_000_000),
        section.integer("longest-answer-kb", "8192", 64, 262_144) << BYTES_PER_KIB_SHIFT);
  }

  private void checkCredentials(Credentials credentials, ProtocolKind protocol) {
    boolean hasCertificate = credentials.certificate().isPresent();
    boolean hasUser = credentials.user().isPresent();
    if (hasCertificate && credentials.trust().isEmpty()) {
      throw section.invalid("certificate", "requires trust");
    }
    if (hasCertificate != credentials.key().isPresent()) {
      throw section.invalid(
          hasCertificate ? "key" : "certificate",
          "missing: certificate and key require each other");
    }
    if (hasUser != credentials.password().isPresent()) {
      throw section.invalid(
          hasUser ? "password" : "user", "missing: user and password require each other");
    }
    if (hasUser && (credentials.token().isPresent() || protocol == ProtocolKind.CONSUL)) {
      throw section.invalid("user", "only valid with form = etcd and without token");
    }
  }

  private String prefix() {
    String prefix = section.string("prefix", "amberpath/");
    if (!prefix.matches("[A-Za-z0-9._-][A-Za-z0-9._/-]*/") || prefix.length() > MAX_PREFIX_LENGTH) {
      throw section.invalid(
          "prefix",
          "has to be up to "
              + MAX_PREFIX_LENGTH
              + " letters, digits or ._-/, start with no slash and end with one: "
              + prefix);
    }
    return prefix;
  }
}
