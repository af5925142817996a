package org.amberpath.cli.settings;

import io.vertx.core.net.SocketAddress;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.amberpath.gateway.GatewayOptions;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.apache.commons.configuration2.SubnodeConfiguration;

/**
 * Typed access to the keys of one section. Every method throws {@link
 * InvalidDeploymentFileException} with file, section and key where a value is missing or invalid.
 */
final class IniSection {
  static final long NANOS_PER_SECOND = 1_000_000_000;

  /** Upper bound on addresses in one list. */
  private static final int MAX_ADDRESSES = 9;

  private final Path file;
  private final String name;
  private final SubnodeConfiguration values;

  IniSection(Path file, String name, SubnodeConfiguration values) {
    this.file = file;
    this.name = name;
    this.values = values;
  }

  /** Checks that each key is a known one and is given once, in the order of the file. */
  void checkKeys(Set<String> known) {
    Set<String> seen = new HashSet<>();
    values
        .getKeys()
        .forEachRemaining(
            escaped -> {
              // Commons Configuration writes a dot within a key as two.
              String key = escaped.replace("..", ".");
              if (!known.contains(key)) {
                throw invalid(key, "no such key");
              }
              if (!seen.add(key) || values.getList(escaped).size() > 1) {
                throw invalid(key, "given twice");
              }
            });
  }

  InvalidDeploymentFileException invalid(String key, String what) {
    return InvalidDeploymentFileException.atKey(file, name, key, what);
  }

  /** A value as written, without blanks around it; may be empty. */
  Optional<String> string(String key) {
    return Optional.ofNullable(values.getString(key, null)).map(String::strip);
  }

  /** A value with a default; a key without a value is invalid unless the default is empty. */
  String string(String key, String defaultValue) {
    String value = values.getString(key, defaultValue);
    if (value.isBlank() && !defaultValue.isBlank()) {
      throw invalid(key, "empty");
    }
    return value.strip();
  }

  /** One of several values, without a default. */
  String requiredChoice(String key, String... choices) {
    return oneOf(
        key,
        string(key)
            .orElseThrow(() -> invalid(key, "missing; one of " + String.join(", ", choices))),
        choices);
  }

  /** One of several values, of which the first is the default. */
  String choice(String key, String... choices) {
    return oneOf(key, string(key, choices[0]), choices);
  }

  private String oneOf(String key, String value, String... choices) {
    if (!List.of(choices).contains(value)) {
      throw invalid(key, "none of " + String.join(", ", choices) + ": " + value);
    }
    return value;
  }

  /** Yes or no; no is the default. */
  boolean isYes(String key) {
    String value = string(key, "no");
    return oneOf(key, value, "yes", "no").equals("yes");
  }

  /** Items separated by commas or blanks; empty if the key is absent. */
  List<String> listItems(String key) {
    return Arrays.stream(string(key, "").split("[,\\s]+")).filter(item -> !item.isEmpty()).toList();
  }

  /** A file that can be read now. */
  Optional<Path> readableFile(String key) {
    Optional<String> value = nonEmptyString(key);
    if (value.isPresent() && !Files.isReadable(Path.of(value.get()))) {
      throw invalid(key, "can't be read: " + value.get());
    }
    return value.map(Path::of);
  }

  /** A file that may be absent, in a folder that exists. */
  Optional<Path> writableFile(String key) {
    Optional<String> value = nonEmptyString(key);
    if (value.isPresent()) {
      Path folder = Path.of(value.get()).toAbsolutePath().getParent();
      if (folder == null || !Files.isDirectory(folder)) {
        throw invalid(key, "in no folder that is there: " + value.get());
      }
    }
    return value.map(Path::of);
  }

  private Optional<String> nonEmptyString(String key) {
    return string(key).filter(value -> !value.isEmpty());
  }

  /** One numeric IPv4 address with a port; datagrams have room for no longer address. */
  Optional<SocketAddress> ipv4Address(String key) {
    Optional<String> value = string(key);
    try {
      Optional<SocketAddress> address = value.map(text -> GatewayOptions.address("", text));
      if (address.isEmpty() || address.get().hostAddress().matches("[0-9.]+")) {
        return address;
      }
    } catch (InvalidDocumentException e) {
      // Reported below, with the key.
    }
    throw invalid(key, "no numeric IPv4 address:port: " + value.get());
  }

  /** One to nine numeric addresses with ports, each once. */
  List<SocketAddress> addresses(String key) {
    List<SocketAddress> addresses = new ArrayList<>();
    for (String text : listItems(key)) {
      SocketAddress address = address(key, text);
      if (addresses.contains(address)) {
        throw invalid(key, text + " is given twice");
      }
      addresses.add(address);
    }
    if (addresses.isEmpty()) {
      throw invalid(key, "missing");
    }
    if (addresses.size() > MAX_ADDRESSES) {
      throw invalid(key, "more than " + MAX_ADDRESSES);
    }
    return addresses;
  }

  private SocketAddress address(String key, String text) {
    try {
      return GatewayOptions.address("", text);
    } catch (InvalidDocumentException e) {
      throw invalid(key, "no numeric address:port: " + text);
    }
  }

  /** Seconds within bounds, as nanoseconds. */
  long secondsToNanos(String key, String defaultValue, double min, double max) {
    return number(key, defaultValue, min, max)
        .multiply(BigDecimal.valueOf(NANOS_PER_SECOND))
        .longValue();
  }

  /** A whole number within bounds. */
  int integer(String key, String defaultValue, int min, int max) {
    BigDecimal number = number(key, defaultValue, min, max);
    if (number.stripTrailingZeros().scale() > 0) {
      throw invalid(key, "no whole number: " + number);
    }
    return number.intValue();
  }

  private BigDecimal number(String key, String defaultValue, double min, double max) {
    String value = string(key, defaultValue);
    try {
      BigDecimal number = new BigDecimal(value);
      if (number.compareTo(BigDecimal.valueOf(min)) >= 0
          && number.compareTo(BigDecimal.valueOf(max)) <= 0) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Reported below, with the bounds.
    }
    throw invalid(key, "no number from " + plain(min) + " to " + plain(max) + ": " + value);
  }

  private static String plain(double number) {
    return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
  }
}
