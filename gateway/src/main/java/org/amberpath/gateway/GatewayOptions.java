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
import org.amberpath.routing.MemoryBudget;

/**
 * The settings that a gateway is started with, from the configuration file and the environment. All
 * of them are parsed and validated here; an absent setting has its default. Immutable. Durations
 * are nanoseconds.
 */
public final class GatewayOptions {
  private static final int DEFAULT_DESCRIPTORS = 1024;
  private static final int MIN_DESCRIPTORS = 128;

  /**
   * Descriptors that are reserved for the runtime: its files, the selector and connections that are
   * being accepted.
   */
  private static final int RUNTIME_DESCRIPTORS = 56;

  private static final int DEFAULT_MEMORY_MB = 192;
  private static final int MIN_MEMORY_MB = 32;
  private static final int BYTES_PER_MB_SHIFT = 20;

  private static final int MAX_BODY_BYTES = 240_000;

  /** The upper bound of a class's viewer timeout, and its value where a class states none. */
  private static final long MAX_DEADLINE_NANOS = 3_000_000_000L;

  private static final long DEFAULT_CONNECT_TIMEOUT_NANOS = 400_000_000;
  private static final long DEFAULT_CACHE_IDLE_TIMEOUT_NANOS = 30_000_000_000L;
  private static final long DEFAULT_DRAIN_GRACE_NANOS = 250_000_000;
  private static final long DEFAULT_PURGE_GRACE_NANOS = 300_000_000;

  private static final int HEX_RADIX = 16;

  private final String name;
  private final SocketAddress listenAddress;
  private final Optional<SocketAddress> journalAddress;
  private final JsonRoutingConfig routingConfig;
  private final JsonReader knownEntries;
  private final long connectTimeoutNanos;

  /** The time after which a cache closes an idle connection. */
  private final long cacheIdleTimeoutNanos;

  private final long maxDeadlineNanos;
  private final long discoveryGraceNanos;
  private final int maxCommandsPerConnection;
  private final int maxInFlight;
  private final int descriptors;
  private final MemoryBudget memory;

  private GatewayOptions(
      Map<String, String> environment, JsonReader document, boolean usesJournal) {
    name =
        environment.getOrDefault(
            "PROXY_NAME", document.has("name") ? document.string("name") : "gateway");
    String address = environment.get("PROXY_LISTEN");
    listenAddress =
        address != null ? address("PROXY_LISTEN", address) : address(document, "listen");
    journalAddress = usesJournal ? Optional.of(address(document, "journal")) : Optional.empty();
    knownEntries =
        document.has("known") ? document.object("known") : new JsonReader("known", Map.of());
    JsonReader limits = document.objectOrEmpty("limits");
    descriptors = intAtLeast(limits, "sockets", DEFAULT_DESCRIPTORS, MIN_DESCRIPTORS);
    memory = memoryBudget(limits);
    JsonReader settings = document.object("settings");
    routingConfig = new JsonRoutingConfig(seed(document), settings);
    JsonReader bounds = settings.objectOrEmpty("bounds");
    connectTimeoutNanos =
        bounds.durationNanosOr("connect-timeout-s", DEFAULT_CONNECT_TIMEOUT_NANOS);
    cacheIdleTimeoutNanos = bounds.durationNanosOr("conn-idle-s", DEFAULT_CACHE_IDLE_TIMEOUT_NANOS);
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
    long longestDeadlineNanos = 0;
    for (JsonReader trafficClass : settings.objects("classes")) {
      longestDeadlineNanos =
          Math.max(
              longestDeadlineNanos,
              trafficClass.durationNanosOr("hard-limit-s", MAX_DEADLINE_NANOS));
    }
    maxDeadlineNanos = Math.min(longestDeadlineNanos, MAX_DEADLINE_NANOS);
  }

  /**
   * Reads the configuration file that the environment variable PROXY_CONFIG names.
   *
   * @throws InvalidSettingsException if it can't be read or is invalid; the message names the key
   */
  public static GatewayOptions read(Map<String, String> environment) {
    return read(environment, true);
  }

  /**
   * Reads the configuration file that the environment variable PROXY_CONFIG names.
   *
   * @param usesJournal false where endpoints are discovered by other means than the journal, whose
   *     address is not read then
   * @throws InvalidSettingsException if it can't be read or is invalid; the message names the key
   */
  public static GatewayOptions read(Map<String, String> environment, boolean usesJournal) {
    String path = environment.get("PROXY_CONFIG");
    if (path == null) {
      throw new InvalidSettingsException(
          "environment", "", "PROXY_CONFIG", "environment: PROXY_CONFIG is missing");
    }
    try (JsonParser parser = new JsonFactory().createParser(Files.readAllBytes(Path.of(path)))) {
      return new GatewayOptions(environment, JsonReader.read("configuration", parser), usesJournal);
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

  private static MemoryBudget memoryBudget(JsonReader limits) {
    int megabytes = intAtLeast(limits, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB);
    return new MemoryBudget(
        (long) megabytes << BYTES_PER_MB_SHIFT, Runtime.getRuntime().maxMemory());
  }

  private static int intAtLeast(JsonReader settings, String key, int defaultValue, int min) {
    int value = settings.intOr(key, defaultValue);
    if (value < min) {
      throw settings.invalid(key, "under " + min);
    }
    return value;
  }

  private static long seed(JsonReader document) {
    try {
      return Long.parseUnsignedLong(document.string("seed"), HEX_RADIX);
    } catch (NumberFormatException e) {
      throw document.invalid("seed", "not a hexadecimal number");
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
   * Parses a numeric IP address with a port; no name is looked up.
   *
   * @param key the name of the setting, for the message of the exception
   * @throws InvalidDocumentException if it is neither an IPv4 nor an IPv6 address with a port
   */
  public static SocketAddress address(String key, String text) {
    return NumericAddress.parse(key, text);
  }

  /** Returns the settings of the request pipeline. */
  public PipelineConfig pipelineConfig() {
    return new PipelineConfig(
        routingConfig,
        journalAddress.isPresent(),
        discoveryGraceNanos,
        maxInFlight,
        memory.requestBodyBytes(),
        maxClientConnections(),
        cacheConnectionConfig());
  }

  /**
   * Returns the limits on connections to caches, which may hold the descriptors that are left by
   * clients and the runtime. An idle connection is closed after 3/4 of the time after which the
   * cache would close it.
   */
  private CacheConnectionConfig cacheConnectionConfig() {
    return new CacheConnectionConfig(
        descriptors - maxClientConnections() - RUNTIME_DESCRIPTORS,
        maxCommandsPerConnection,
        connectTimeoutNanos,
        cacheIdleTimeoutNanos * 3 / 4,
        MAX_BODY_BYTES,
        memory.partialReplyBytes());
  }

  /** Returns the gateway's name in its log. */
  public String name() {
    return name;
  }

  /** Returns the address that clients connect to. */
  public SocketAddress listenAddress() {
    return listenAddress;
  }

  /** Returns the address of the journal; empty where the journal is not used. */
  public Optional<SocketAddress> journalAddress() {
    return journalAddress;
  }

  /** Returns the settings of the router. */
  public JsonRoutingConfig routingConfig() {
    return routingConfig;
  }

  /**
   * Returns the journal entries that the configuration contains, in the format of a journal reply.
   */
  public JsonReader knownEntries() {
    return knownEntries;
  }

  /**
   * Returns the longest viewer timeout of all traffic classes. The time between SIGTERM and SIGKILL
   * is longer than this by a fixed part; see {@link ShutdownSchedule}.
   */
  public long maxDeadlineNanos() {
    return maxDeadlineNanos;
  }

  /**
   * Returns how many connections clients may hold: half of the descriptors. Clients usually hold a
   * third of the descriptors, and half as many more while another gateway restarts; other
   * connections come in addition.
   */
  public int maxClientConnections() {
    return descriptors / 2;
  }

  /** Returns the bounds on the bytes that the gateway holds for others. */
  public MemoryBudget memory() {
    return memory;
  }
}
