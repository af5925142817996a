package org.amberpath.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.regex.Pattern;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.gateway.settings.InvalidSettingsException;
import org.amberpath.gateway.settings.JsonReader;
import org.amberpath.gateway.settings.JsonRoutingConfig;

/**
 * All that a gateway is told when it starts: read, checked and given defaults here, and nowhere
 * else.
 */
public final class GatewayOptions {
  private static final int LEAST_DESCRIPTORS = 128, RUNTIME_DESCRIPTORS = 56, LEAST_MEMORY_MB = 32;
  private static final int LONGEST_ANSWER = 240_000;

  /** The longest viewer timeout, where a class tells none or a longer one. */
  private static final long LONGEST_DEADLINE_NANOS = 3_000_000_000L;

  private static final long DRAIN_GRACE = 250_000_000, PURGE_GRACE = 300_000_000;

  private static final Pattern NUMERIC_HOST = Pattern.compile("[0-9a-fA-F.:]+");

  private final String name;
  private final SocketAddress listen, journal;
  private final JsonRoutingConfig routingConfig;
  private final JsonReader known;
  private final long connectTimeout, connectionIdle, longestDeadline, newsGrace;
  private final int wantsOnConnection, mostOpen, descriptors;
  private final long memory;

  private GatewayOptions(Map<String, String> environment, JsonReader all, boolean withJournal) {
    name = environment.getOrDefault("PROXY_NAME", all.has("name") ? all.string("name") : "gateway");
    String address = environment.get("PROXY_LISTEN");
    listen = address != null ? address("PROXY_LISTEN", address) : address(all, "listen");
    journal = withJournal ? address(all, "journal") : null;
    known = all.has("known") ? all.object("known") : new JsonReader("known", Map.of());
    JsonReader limits = all.objectOrEmpty("limits");
    descriptors = atLeast(limits, "sockets", 1024, LEAST_DESCRIPTORS);
    memory = (long) atLeast(limits, "memory_mb", 192, LEAST_MEMORY_MB) << 20;
    JsonReader settings = all.object("settings");
    routingConfig = new JsonRoutingConfig(seed(all), settings);
    JsonReader bounds = settings.objectOrEmpty("bounds");
    connectTimeout = bounds.durationNanosOr("connect-timeout-s", 400_000_000);
    connectionIdle = bounds.durationNanosOr("conn-idle-s", 30_000_000_000L);
    newsGrace =
        Math.min(
            settings.objectOrEmpty("guarantees").durationNanosOr("drain-grace-s", DRAIN_GRACE),
            settings.objectOrEmpty("family-info").durationNanosOr("heed-within-s", PURGE_GRACE));
    wantsOnConnection = Math.max(1, bounds.intOr("multiplex", 1));
    mostOpen = Math.max(1, bounds.intOr("max-open", Integer.MAX_VALUE));
    long longest = 0;
    for (JsonReader service : settings.objects("classes")) {
      longest = Math.max(longest, service.durationNanosOr("hard-limit-s", LONGEST_DEADLINE_NANOS));
    }
    longestDeadline = Math.min(longest, LONGEST_DEADLINE_NANOS);
  }

  /**
   * Reads what the environment names. The message of an {@link InvalidSettingsException} names the
   * faulty key.
   */
  public static GatewayOptions read(Map<String, String> environment) {
    return read(environment, true);
  }

  /** The same; without a journal where caches are heard of from elsewhere. */
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

  private static int atLeast(JsonReader from, String key, int absent, int least) {
    int value = from.intOr(key, absent);
    if (value < least) {
      throw from.invalid(key, "under " + least);
    }
    return value;
  }

  private static long seed(JsonReader all) {
    try {
      return Long.parseUnsignedLong(all.string("seed"), 16);
    } catch (NumberFormatException e) {
      throw all.invalid("seed", "not a hexadecimal number");
    }
  }

  private static SocketAddress address(JsonReader from, String key) {
    try {
      return address(key, from.string(key));
    } catch (InvalidDocumentException e) {
      throw e.getMessage().startsWith(key)
          ? from.invalid(key, e.getMessage().substring(key.length() + 1))
          : e;
    }
  }

  /** An address and port, already resolved: nothing is ever looked up. */
  public static SocketAddress address(String key, String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon).replace("[", "").replace("]", "");
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (NUMERIC_HOST.matcher(host).matches() && port >= 0 && port < 1 << 16) {
        return SocketAddress.inetSocketAddress(
            new InetSocketAddress(InetAddress.getByName(host), port));
      }
    } catch (NumberFormatException | UnknownHostException e) {
      // Said below.
    }
    throw new InvalidDocumentException(key + " no address:port: " + text);
  }

  public String name() {
    return name;
  }

  public SocketAddress listen() {
    return listen;
  }

  /** Null where none is asked. */
  public SocketAddress journal() {
    return journal;
  }

  public JsonRoutingConfig routingConfig() {
    return routingConfig;
  }

  public JsonReader known() {
    return known;
  }

  public long connectTimeout() {
    return connectTimeout;
  }

  /**
   * When an idle connection is left: well before the cache closes it, so that no GET crosses that.
   */
  public long connectionIdle() {
    return connectionIdle * 3 / 4;
  }

  /** Within what time a drain or a purge has to be heeded: the shorter of the two. */
  public long newsGrace() {
    return newsGrace;
  }

  public int wantsOnConnection() {
    return wantsOnConnection;
  }

  public int mostOpen() {
    return mostOpen;
  }

  /**
   * The longest viewer timeout of all classes, in nanoseconds: a kill may come some time after
   * that.
   */
  public long longestDeadline() {
    return longestDeadline;
  }

  /**
   * Connections that clients may hold: usual ones hold a third of the descriptors, half as many
   * more while another gateway restarts, and others come beside them.
   */
  public int mostClients() {
    return descriptors / 2;
  }

  /** Connections to all caches together: what clients and the runtime leave. */
  public int connectionsToAll() {
    return descriptors - mostClients() - RUNTIME_DESCRIPTORS;
  }

  /** Connections to each of so many caches, while there are not more than may be had in all. */
  public int connectionsToEach(int caches) {
    return Math.max(1, connectionsToAll() / Math.max(1, caches));
  }

  /** The longest part that a cache answers with. */
  public int longestAnswer() {
    return LONGEST_ANSWER;
  }

  /** What one client may leave unread, and all together; and the longest reply of the journal. */
  public long unreadOfOne() {
    return memory / 48;
  }

  public long unreadOfAll() {
    return memory / 12;
  }
}
