package org.amberpath.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import org.amberpath.gateway.pipeline.CacheConnectionConfig;
import org.amberpath.gateway.pipeline.PipelineConfig;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.gateway.settings.InvalidSettingsException;
import org.amberpath.gateway.settings.JsonReader;
import org.amberpath.gateway.settings.JsonRoutingConfig;
import org.amberpath.gateway.settings.NumericAddress;

/**
 * The settings that a gateway is started with, read and checked here and nowhere else; what is
 * absent has its default. Immutable. Durations are nanoseconds.
 */
public final class GatewayOptions {
  private static final int DEFAULT_DESCRIPTORS = 1024;
  private static final int MIN_DESCRIPTORS = 128;

  /** What the runtime needs for itself: its files, its selector, what is being accepted. */
  private static final int RUNTIME_DESCRIPTORS = 56;

  private static final int DEFAULT_MEMORY_MB = 192;
  private static final int MIN_MEMORY_MB = 32;
  private static final int BYTES_PER_MB_SHIFT = 20;

  /** The parts of the memory that one client and all clients may leave unread. */
  private static final int UNREAD_PART_OF_CLIENT = 48;

  private static final int UNREAD_PART_OF_ALL = 12;
  private static final int MAX_BODY_BYTES = 240_000;

  /** The longest viewer timeout, where a class has none or a longer one. */
  private static final long MAX_DEADLINE_NANOS = 3_000_000_000L;

  private static final long DEFAULT_CONNECT_TIMEOUT_NANOS = 400_000_000;
  private static final long DEFAULT_IDLE_NANOS = 30_000_000_000L;
  private static final long DEFAULT_DRAIN_GRACE_NANOS = 250_000_000;
  private static final long DEFAULT_PURGE_GRACE_NANOS = 300_000_000;

  private static final int HEX_RADIX = 16;

  private final String name;
  private final SocketAddress listenAddress;
  private final Optional<SocketAddress> journalAddress;
  private final JsonRoutingConfig routingConfig;
  private final JsonReader knownEntries;
  private final long connectTimeoutNanos;

  /** After how long a cache closes an idle connection. */
  private final long cacheIdleNanos;

  private final long maxDeadlineNanos;
  private final long discoveryGraceNanos;
  private final int maxCommandsPerConnection;
  private final int maxInFlight;
  private final int descriptors;
  private final long memoryBytes;

  private GatewayOptions(
      Map<String, String> environment, JsonReader document, boolean withJournal) {
    name =
        environment.getOrDefault(
            "PROXY_NAME", document.has("name") ? document.string("name") : "gateway");
    String address = environment.get("PROXY_LISTEN");
    listenAddress =
        address != null ? address("PROXY_LISTEN", address) : address(document, "listen");
    journalAddress = withJournal ? Optional.of(address(document, "journal")) : Optional.empty();
    knownEntries =
        document.has("known") ? document.object("known") : new JsonReader("known", Map.of());
    JsonReader limits = document.objectOrEmpty("limits");
    descriptors = intOfAtLeast(limits, "sockets", DEFAULT_DESCRIPTORS, MIN_DESCRIPTORS);
    memoryBytes =
        (long) intOfAtLeast(limits, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB)
            << BYTES_PER_MB_SHIFT;
    JsonReader settings = document.object("settings");
    routingConfig = new JsonRoutingConfig(seed(document), settings);
    JsonReader bounds = settings.objectOrEmpty("bounds");
    connectTimeoutNanos =
        bounds.durationNanosOr("connect-timeout-s", DEFAULT_CONNECT_TIMEOUT_NANOS);
    cacheIdleNanos = bounds.durationNanosOr("conn-idle-s", DEFAULT_IDLE_NANOS);
    discoveryGraceNanos =
        Math.min(
            settings
                .objectOrEmpty("guarantees")
                .durationNanosOr("drain-grace-s", DEFAULT_DRAIN_GRACE_NANOS),
            settings
                .objectOrEmpty("family-info")
                .durationNanosOr("heed-within-s", DEFAULT_PURGE_GRACE_NANOS));
    maxCommandsPerConnection = Math.max(1, bounds.intOr("multiplex", 1));
    maxInFlight = Math.max(1, bounds.intOr("max-open", Integer.MAX_VALUE));
    long longest = 0;
    for (JsonReader trafficClass : settings.objects("classes")) {
      longest = Math.max(longest, trafficClass.durationNanosOr("hard-limit-s", MAX_DEADLINE_NANOS));
    }
    maxDeadlineNanos = Math.min(longest, MAX_DEADLINE_NANOS);
  }

  /**
   * Reads the configuration that the environment names.
   *
   * @throws InvalidSettingsException if it is invalid; its message names the key
   */
  public static GatewayOptions read(Map<String, String> environment) {
    return read(environment, true);
  }

  /** The same; without a journal where endpoints are discovered by other means. */
  public static GatewayOptions read(Map<String, String> environment, boolean withJournal) {
    String path = environment.get("PROXY_CONFIG");
    if (path == null) {
      throw new InvalidSettingsException(
          "environment", "", "PROXY_CONFIG", "environment: PROXY_CONFIG is missing");
    }
    try (JsonParser parser = new JsonFactory().createParser(Files.readAllBytes(Path.of(path)))) {
      return new GatewayOptions(environment, JsonReader.read("configuration", parser), withJournal);
    } catch (JsonProcessingException e) {
      throw new InvalidSettingsException(
          path, "", "", "PROXY_CONFIG: " + path + " is not JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new InvalidSettingsException(
          path, "", "", "PROXY_CONFIG: " + path + " can\'t be read: " + e);
    } catch (InvalidDocumentException e) {
      throw new InvalidSettingsException(path, e);
    }
  }

  private static int intOfAtLeast(JsonReader settings, String key, int absent, int min) {
    int value = settings.intOr(key, absent);
    if (value < min) {
      throw settings.invalid(key, "under " + min);
    }
    return value;
  }

  private static long seed(JsonReader all) {
    try {
      return Long.parseUnsignedLong(all.string("seed"), HEX_RADIX);
    } catch (NumberFormatException e) {
      throw all.invalid("seed", "not a hexadecimal number");
    }
  }

  private static SocketAddress address(JsonReader settings, String key) {
    try {
      return address(key, settings.string(key));
    } catch (InvalidDocumentException e) {
      throw e.getMessage().startsWith(key)
          ? settings.invalid(key, e.getMessage().substring(key.length() + 1))
          : e;
    }
  }

  /**
   * An address and port, already resolved: nothing is ever looked up.
   *
   * @param key what the address is in the message of the exception
   * @throws InvalidDocumentException if it is neither an IPv4 nor an IPv6 address with a port
   */
  public static SocketAddress address(String key, String text) {
    return NumericAddress.parse(key, text);
  }

  /** The settings of the pipeline. */
  public PipelineConfig pipelineConfig() {
    return new PipelineConfig(
        routingConfig,
        journalAddress.isPresent(),
        discoveryGraceNanos,
        maxInFlight,
        maxClientConnections(),
        cacheConnectionConfig());
  }

  /** Connections to caches may hold the descriptors that clients and the runtime leave. */
  private CacheConnectionConfig cacheConnectionConfig() {
    return new CacheConnectionConfig(
        descriptors - maxClientConnections() - RUNTIME_DESCRIPTORS,
        maxCommandsPerConnection,
        connectTimeoutNanos,
        cacheIdleNanos * 3 / 4,
        MAX_BODY_BYTES);
  }

  /** The gateway's name in its log. */
  public String name() {
    return name;
  }

  /** Where clients connect to. */
  public SocketAddress listenAddress() {
    return listenAddress;
  }

  /** Where the journal listens; empty where it is not used. */
  public Optional<SocketAddress> journalAddress() {
    return journalAddress;
  }

  /** The settings of routing. */
  public JsonRoutingConfig routingConfig() {
    return routingConfig;
  }

  /** The journal's entries that the configuration holds, in the form of a reply of the journal. */
  public JsonReader knownEntries() {
    return knownEntries;
  }

  /** The longest viewer timeout of all classes: SIGKILL may come some time after that. */
  public long maxDeadlineNanos() {
    return maxDeadlineNanos;
  }

  /**
   * Connections that clients may hold: usual ones hold a third of the descriptors, half as many
   * more while another gateway restarts, and others come beside them.
   */
  public int maxClientConnections() {
    return descriptors / 2;
  }

  /** How many bytes of its responses one client may leave unread. */
  public long maxUnreadBytesPerClient() {
    return memoryBytes / UNREAD_PART_OF_CLIENT;
  }

  /** How many all clients together may leave unread; also the longest reply of the journal. */
  public long maxUnreadBytes() {
    return memoryBytes / UNREAD_PART_OF_ALL;
  }
}
