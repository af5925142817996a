package org.amberpath.cli;

import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.io.Reader;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.amberpath.gateway.GatewayOptions;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.leadership.LeaseTimings;
import org.amberpath.leadership.VoterConfiguration;
import org.amberpath.leadership.runtime.LeadershipSettings;
import org.amberpath.membership.runtime.MembershipSettings;
import org.amberpath.registry.runtime.RegistrySettings;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * What is set for an installation beside the platform's JSON: one INI file, read, checked and given
 * defaults here and nowhere else. deploy/amberpath.ini holds every key. A section that is absent
 * leaves its feature off.
 */
public final class DeploymentFile {
  private static final long SECOND = 1_000_000_000;
  private static final int MOST_ENDPOINTS = 9,
      MOST_GATEWAYS = 2000,
      DRIFT_PPM = 1000,
      PREFIX_LENGTH = 128;

  /** What is left of a wait after a message's way is for an act: less than this is none. */
  private static final long LEAST_ACT = 300_000_000;

  private static final Map<String, Set<String>> KEYS =
      Map.of(
          "registry",
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
              "longest-answer-kb"),
          "fleet",
          Set.of("name", "listen", "advertise", "seeds", "told", "key", "operators", "period-s"),
          "owner",
          Set.of(
              "voters",
              "next-voters",
              "by",
              "lease-s",
              "settle-s",
              "sweep",
              "sweep-every-s",
              "probe",
              "warm"));

  /** What is wrong with a file, as one message that names file, section and key. */
  public static final class Faulty extends RuntimeException {
    Faulty(String message) {
      super(message);
    }
  }

  private final Path file;
  private final INIConfiguration all = new INIConfiguration();
  private final RegistrySettings registry;
  private final boolean journalBeside;
  private final MembershipSettings fleet;
  private final LeadershipSettings owner;

  private DeploymentFile(Path file) {
    this.file = file;
    try (Reader in = Files.newBufferedReader(file)) {
      all.read(in);
    } catch (IOException e) {
      throw new Faulty(file + ": can't be read: " + e.getClass().getSimpleName());
    } catch (ConfigurationException e) {
      throw new Faulty(file + ": no INI: " + e.getMessage());
    }
    for (String section : all.getSections()) {
      if (section == null || !KEYS.containsKey(section)) {
        throw new Faulty(file + ": [" + (section == null ? "" : section) + "]: no such section");
      }
      Set<String> seen = new HashSet<>();
      all.getSection(section)
          .getKeys()
          .forEachRemaining(
              key -> {
                String plain = key.replace("..", ".");
                if (!KEYS.get(section).contains(plain)) {
                  throw wrong(section, plain, "no such key");
                }
                if (!seen.add(plain) || all.getSection(section).getList(key).size() > 1) {
                  throw wrong(section, plain, "given twice");
                }
              });
    }
    journalBeside = all.getSections().contains("registry") && journalBeside();
    registry = all.getSections().contains("registry") ? access() : null;
    fleet = all.getSections().contains("fleet") ? company() : null;
    owner = all.getSections().contains("owner") ? ownership() : null;
  }

  public static DeploymentFile read(Path file) {
    return new DeploymentFile(file);
  }

  /** Null where no registry is asked. */
  public RegistrySettings registry() {
    return registry;
  }

  /** Whether the journal is believed beside the registry, or not asked at all. */
  public boolean journalBeside() {
    return registry == null
        ? choice("registry", "journal", "instead", "instead", "beside").equals("beside")
        : journalBeside;
  }

  private RegistrySettings access() {
    String section = "registry";
    RegistrySettings.ProtocolKind form =
        RegistrySettings.ProtocolKind.valueOf(
            choice(section, "form", null, "etcd", "consul").toUpperCase(Locale.ROOT));
    Path trust = path(section, "trust", true), certificate = path(section, "certificate", true);
    Path key = path(section, "key", true), token = path(section, "token", true);
    Path password = path(section, "password", true);
    String user = text(section, "user", null);
    List<SocketAddress> endpoints = endpoints(section);
    if (certificate != null && trust == null) {
      throw wrong(section, "certificate", "needs 'trust'");
    }
    if ((certificate == null) != (key == null)) {
      throw wrong(section, certificate == null ? "certificate" : "key", "missing: both or neither");
    }
    if ((user == null) != (password == null)) {
      throw wrong(section, user == null ? "user" : "password", "missing: both or neither");
    }
    if (user != null && (token != null || form == RegistrySettings.ProtocolKind.CONSUL)) {
      throw wrong(section, "user", "only with form = etcd and without 'token'");
    }
    return new RegistrySettings(
        form,
        endpoints,
        prefix(section),
        trust,
        certificate,
        key,
        token,
        user,
        password,
        path(section, "snapshot", false),
        seconds(section, "snapshot-every-s", "5", 1, 3600),
        seconds(section, "snapshot-oldest-s", "86400", 1, 31_536_000),
        seconds(section, "retention-s", "600", 10, 86_400),
        whole(section, "most-keys", "20000", 10, 1_000_000),
        whole(section, "longest-answer-kb", "8192", 64, 262_144) << 10);
  }

  /** Null where the other gateways are not looked for. */
  public MembershipSettings fleet() {
    return fleet;
  }

  private MembershipSettings company() {
    String section = "fleet", name = text(section, "name", "amberpath");
    if (!name.matches("[A-Za-z0-9._-]{1,32}")) {
      throw wrong(section, "name", "not 1 to 32 letters, digits, ._-: " + name);
    }
    SocketAddress operators = address(section, "operators", false);
    if (operators != null && !operators.hostAddress().startsWith("127.")) {
      throw wrong(section, "operators", "not on loopback: " + operators);
    }
    Path key = path(section, "key", true);
    if (key == null) {
      throw wrong(section, "key", "missing");
    }
    SocketAddress listen = address(section, "listen", true),
        advertised = address(section, "advertise", false);
    if (listen.hostAddress().equals("0.0.0.0") && advertised == null) {
      throw wrong(section, "advertise", "missing: nobody can answer " + listen.hostAddress());
    }
    return new MembershipSettings(
        name,
        listen,
        advertised,
        addresses(section, "seeds", MOST_ENDPOINTS),
        whole(section, "told", "0", 0, MOST_GATEWAYS),
        seconds(section, "period-s", "0.5", 0.1, 10),
        key,
        operators);
  }

  /** Null where this gateway neither votes nor owns. */
  public LeadershipSettings owner() {
    return owner;
  }

  private LeadershipSettings ownership() {
    String section = "owner";
    boolean sweeps = choice(section, "sweep", "no", "yes", "no").equals("yes");
    boolean probes = choice(section, "probe", "no", "yes", "no").equals("yes");
    boolean warms = choice(section, "warm", "no", "yes", "no").equals("yes");
    boolean leases = choice(section, "by", "votes", "votes", "lease").equals("lease");
    if (fleet == null) {
      throw wrong(section, "voters", "needs [fleet]: votes go over its datagrams");
    }
    if (sweeps && registry == null) {
      throw wrong(section, "sweep", "needs [registry]");
    }
    if (leases && (registry == null || registry.protocol() != RegistrySettings.ProtocolKind.ETCD)) {
      throw wrong(section, "by", "lease needs [registry] of the form etcd");
    }
    VoterConfiguration electorate = null;
    try {
      electorate =
          leases
              ? null
              : new VoterConfiguration(names(section, "voters"), names(section, "next-voters"));
    } catch (IllegalArgumentException e) {
      throw wrong(section, "voters", e.getMessage());
    }
    long lease =
        leases
            ? whole(section, "lease-s", "3", 2, 60) * SECOND
            : seconds(section, "lease-s", "3", 1, 60);
    long settle = seconds(section, "settle-s", "0.6", 0, 60);
    if ((probes || warms) && (settle < LEAST_ACT || 2 * settle > lease)) {
      throw wrong(
          section,
          "settle-s",
          "with probe or warm from " + LEAST_ACT / 1e9 + " to half of lease-s");
    }
    return new LeadershipSettings(
        electorate,
        () -> read(file).owner().voters(),
        leases ? registry : null,
        new LeaseTimings(lease, settle, DRIFT_PPM),
        sweeps ? registry : null,
        seconds(section, "sweep-every-s", "5", 0.1, 3600),
        probes,
        warms);
  }

  private List<String> names(String section, String key) {
    return java.util.Arrays.stream(text(section, key, "").split("[,\\s]+"))
        .filter(one -> !one.isEmpty())
        .toList();
  }

  /** One numeric IPv4 address: others hold room for no longer one. */
  private SocketAddress address(String section, String key, boolean mustBe) {
    String value = text(section, key, null);
    if (value == null) {
      if (mustBe) {
        throw wrong(section, key, "missing");
      }
      return null;
    }
    return address(section, key, value);
  }

  private SocketAddress address(String section, String key, String value) {
    try {
      SocketAddress address = GatewayOptions.address("", value);
      if (address.hostAddress().matches("[0-9.]+")) {
        return address;
      }
    } catch (InvalidDocumentException e) {
      // Said below.
    }
    throw wrong(section, key, "no numeric IPv4 address:port: " + value);
  }

  private List<SocketAddress> endpoints(String section) {
    return addresses(section, "endpoints", MOST_ENDPOINTS);
  }

  private List<SocketAddress> addresses(String section, String key, int most) {
    List<SocketAddress> addresses = new ArrayList<>();
    for (String one : text(section, key, "").split("[,\\s]+", -1)) {
      if (!one.isEmpty()) {
        try {
          SocketAddress address = GatewayOptions.address("", one);
          if (addresses.contains(address)) {
            throw wrong(section, key, one + " is given twice");
          }
          addresses.add(address);
        } catch (InvalidDocumentException e) {
          throw wrong(section, key, "no numeric address:port: " + one);
        }
      }
    }
    if (addresses.isEmpty() || addresses.size() > most) {
      throw wrong(section, key, addresses.isEmpty() ? "missing" : "more than " + most);
    }
    return addresses;
  }

  private String prefix(String section) {
    String prefix = text(section, "prefix", "amberpath/");
    if (!prefix.matches("[A-Za-z0-9._-][A-Za-z0-9._/-]*/") || prefix.length() > PREFIX_LENGTH) {
      throw wrong(
          section, "prefix", "not of letters, digits and ._-/ with a slash at its end: " + prefix);
    }
    return prefix;
  }

  private Faulty wrong(String section, String key, String what) {
    return new Faulty(file + ": [" + section + "] " + key + ": " + what);
  }

  private String text(String section, String key, String absent) {
    SubnodeConfiguration of = all.getSection(section);
    String value = of.getString(key, absent);
    if (value != null && value.isBlank() && absent != null && !absent.isBlank()) {
      throw wrong(section, key, "empty");
    }
    return value == null ? null : value.strip();
  }

  private String choice(String section, String key, String absent, String... choices) {
    String value = text(section, key, absent);
    if (value == null) {
      throw wrong(section, key, "missing; one of " + String.join(", ", choices));
    }
    if (!List.of(choices).contains(value)) {
      throw wrong(section, key, "none of " + String.join(", ", choices) + ": " + value);
    }
    return value;
  }

  private Path path(String section, String key, boolean mustBe) {
    String value = text(section, key, null);
    if (value == null || value.isEmpty()) {
      return null;
    }
    Path path = Path.of(value);
    if (mustBe && !Files.isReadable(path)) {
      throw wrong(section, key, "can't be read: " + value);
    }
    if (!mustBe
        && (path.toAbsolutePath().getParent() == null
            || !Files.isDirectory(path.toAbsolutePath().getParent()))) {
      throw wrong(section, key, "in no folder that is there: " + value);
    }
    return path;
  }

  private BigDecimal number(String section, String key, String absent, double least, double most) {
    String value = text(section, key, absent);
    try {
      BigDecimal number = new BigDecimal(value);
      if (number.compareTo(BigDecimal.valueOf(least)) >= 0
          && number.compareTo(BigDecimal.valueOf(most)) <= 0) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Said below.
    }
    throw wrong(
        section, key, "no number from " + plain(least) + " to " + plain(most) + ": " + value);
  }

  private static String plain(double number) {
    return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
  }

  private long seconds(String section, String key, String absent, double least, double most) {
    return number(section, key, absent, least, most)
        .multiply(BigDecimal.valueOf(SECOND))
        .longValue();
  }

  private int whole(String section, String key, String absent, int least, int most) {
    BigDecimal number = number(section, key, absent, least, most);
    if (number.stripTrailingZeros().scale() > 0) {
      throw wrong(section, key, "no whole number: " + number);
    }
    return number.intValue();
  }
}
