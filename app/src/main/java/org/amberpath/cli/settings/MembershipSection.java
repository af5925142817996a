package org.amberpath.cli.settings;

import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;
import org.amberpath.membership.runtime.MembershipSettings;

/** Reads section {@code [fleet]}: addresses, seeds, keys and timing of the membership protocol. */
final class MembershipSection {
  static final String NAME = "fleet";
  static final Set<String> KEYS =
      Set.of("name", "listen", "advertise", "seeds", "told", "key", "operators", "period-s");

  private static final int MAX_MEMBERS = 2000;

  private final IniSection section;

  MembershipSection(IniSection section) {
    this.section = section;
  }

  MembershipSettings read() {
    String name = section.string("name", "amberpath");
    if (!name.matches("[A-Za-z0-9._-]{1,32}")) {
      throw section.invalid("name", "not 1 to 32 letters, digits or ._-: " + name);
    }
    Optional<SocketAddress> adminAddress = section.ipv4Address("operators");
    if (adminAddress.isPresent() && !adminAddress.get().hostAddress().startsWith("127.")) {
      throw section.invalid("operators", "not a loopback address: " + adminAddress.get());
    }
    Path keyFile = section.readableFile("key").orElseThrow(() -> section.invalid("key", "missing"));
    SocketAddress listenAddress =
        section.ipv4Address("listen").orElseThrow(() -> section.invalid("listen", "missing"));
    Optional<SocketAddress> advertisedAddress = section.ipv4Address("advertise");
    if (listenAddress.hostAddress().equals("0.0.0.0") && advertisedAddress.isEmpty()) {
      throw section.invalid(
          "advertise",
          "missing: required because others can't send to listen = " + listenAddress.hostAddress());
    }
    return new MembershipSettings(
        name,
        listenAddress,
        advertisedAddress.orElse(null),
        section.addresses("seeds"),
        section.integer("told", "0", 0, MAX_MEMBERS),
        section.secondsToNanos("period-s", "0.5", 0.1, 10),
        keyFile,
        adminAddress.orElse(null));
  }
}
