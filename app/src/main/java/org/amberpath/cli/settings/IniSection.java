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
 * Provides typed access to the keys of one section of a deployment file. The methods throw {@link
 * InvalidDeploymentFileException}, with file, section and key, for a missing or invalid value.
 */
final class IniSection {
  static final long NANOS_PER_SECOND = 1_000_000_000;

  /** Upper bound on the number of addresses in one list. */
  private static final int MAX_ADDRESSES = 9;

  private final Path file;
  private final String name;
  private final SubnodeConfiguration values;

  IniSection(Path file, String name, SubnodeConfiguration values) {
    this.file = file;
    this.name = name;
    this.values = values;
  }

  /** Throws for the first key, in file order, that is unknown or set more than once. */
  void checkKeys(Set<String> knownKeys) {
    Set<String> seenKeys = new HashSet<>();
    values
        .getKeys()
        .forEachRemaining(
            escapedKey -> {
              // Commons Configuration escapes a dot within a key as two dots.
              String key = escapedKey.replace("..", ".");
              if (!knownKeys.contains(key)) {
                throw invalid(key, "unknown key");
              }
              if (!seenKeys.add(key) || values.getList(escapedKey).size() > 1) {
                throw invalid(key, "set more than once");
              }
            });
  }

  InvalidDeploymentFileException invalid(String key, String problem) {
    return InvalidDeploymentFileException.atKey(file, name, key, problem);
  }

  /**
   * Returns a value without surrounding whitespace, which may be the empty string; empty if the key
   * is absent.
   */
  Optional<String> string(String key) {
    return Optional.ofNullable(values.getString(key, null)).map(String::strip);
  }

  /**
   * Returns a value without surrounding whitespace, or the default if the key is absent. A blank
   * value is invalid unless the default is blank.
   */
  String string(String key, String defaultValue) {
    String value = values.getString(key, defaultValue);
    if (value.isBlank() && !defaultValue.isBlank()) {
      throw invalid(key, "empty");
    }
    return value.strip();
  }

  /** Returns a value that has to be one of the choices; an absent key is invalid. */
  String requiredChoice(String key, String... choices) {
    return checkChoice(
        key,
        string(key)
            .orElseThrow(
                () -> invalid(key, "missing; expected one of " + String.join(", ", choices))),
        choices);
  }

  /** Returns a value that has to be one of the choices; the first choice is the default. */
  String choice(String key, String... choices) {
    return checkChoice(key, string(key, choices[0]), choices);
  }

  private String checkChoice(String key, String value, String... choices) {
    if (!List.of(choices).contains(value)) {
      throw invalid(key, "not one of " + String.join(", ", choices) + ": " + value);
    }
    return value;
  }

  /** Returns whether the value is {@code yes}; the only other value is {@code no}, the default. */
  boolean isYes(String key) {
    String value = string(key, "no");
    return checkChoice(key, value, "yes", "no").equals("yes");
  }

  /** Splits a value at commas and whitespace; empty if the key is absent. */
  List<String> listItems(String key) {
    return Arrays.stream(string(key, "").split("[,\\s]+")).filter(item -> !item.isEmpty()).toList();
  }

  /**
   * Returns the path of a file that is readable at the time of this call; empty if the key is
   * absent or has no value.
   */
  Optional<Path> readableFile(String key) {
    Optional<String> value = nonEmptyString(key);
    if (value.isPresent() && !Files.isReadable(Path.of(value.get()))) {
      throw invalid(key, "not a readable file: " + value.get());
    }
    return value.map(Path::of);
  }

  /**
   * Returns the path of a file that need not exist, in a folder that exists; empty if the key is
   * absent or has no value.
   */
  Optional<Path> writableFile(String key) {
    Optional<String> value = nonEmptyString(key);
    if (value.isPresent()) {
      Path folder = Path.of(value.get()).toAbsolutePath().getParent();
      if (folder == null || !Files.isDirectory(folder)) {
        throw invalid(key, "the folder of this file does not exist: " + value.get());
      }
    }
    return value.map(Path::of);
  }

  private Optional<String> nonEmptyString(String key) {
    return string(key).filter(value -> !value.isEmpty());
  }

  /**
   * Returns a numeric IPv4 address with a port; empty if the key is absent. IPv6 addresses are
   * invalid because they do not fit into the datagram format.
   */
  Optional<SocketAddress> ipv4Address(String key) {
    Optional<String> value = string(key);
    try {
      Optional<SocketAddress> address = value.map(text -> GatewayOptions.address("", text));
      if (address.isEmpty() || address.get().hostAddress().matches("[0-9.]+")) {
        return address;
      }
    } catch (InvalidDocumentException e) {
      // Reported below, with section and key.
    }
    throw invalid(key, "not a numeric IPv4 address:port: " + value.get());
  }

  /** Returns 1 to {@value #MAX_ADDRESSES} numeric addresses with ports, without duplicates. */
  List<SocketAddress> addresses(String key) {
    List<SocketAddress> addresses = new ArrayList<>();
    for (String text : listItems(key)) {
      SocketAddress address = address(key, text);
      if (addresses.contains(address)) {
        throw invalid(key, text + " is listed more than once");
      }
      addresses.add(address);
    }
    if (addresses.isEmpty()) {
      throw invalid(key, "missing");
    }
    if (addresses.size() > MAX_ADDRESSES) {
      throw invalid(key, "more than " + MAX_ADDRESSES + " addresses");
    }
    return addresses;
  }

  private SocketAddress address(String key, String text) {
    try {
      return GatewayOptions.address("", text);
    } catch (InvalidDocumentException e) {
      throw invalid(key, "not a numeric address:port: " + text);
    }
  }

  /** Returns a number of seconds from {@code min} to {@code max}, converted to nanoseconds. */
  long secondsToNanos(String key, String defaultValue, double min, double max) {
    return number(key, defaultValue, min, max)
        .multiply(BigDecimal.valueOf(NANOS_PER_SECOND))
        .longValue();
  }

  /** Returns an integer from {@code min} to {@code max}. */
  int integer(String key, String defaultValue, int min, int max) {
    BigDecimal number = number(key, defaultValue, min, max);
    if (number.stripTrailingZeros().scale() > 0) {
      throw invalid(key, "not an integer: " + number);
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
      // Reported below, with the bounds of the value.
    }
    throw invalid(
        key,
        "not a number from " + toPlainString(min) + " to " + toPlainString(max) + ": " + value);
  }

  private static String toPlainString(double number) {
    return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
  }
}
