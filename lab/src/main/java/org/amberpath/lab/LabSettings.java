package org.amberpath.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import org.amberpath.gateway.GatewayOptions;

/**
 * The settings of a gateway in experiments: one cache hierarchy of edge caches, hubs and an origin
 * in one zone, and two traffic classes.
 */
public final class LabSettings {
  /** The endpoint kind of edge caches. */
  public static final String EDGE = "edge";

  /** The endpoint kind of hubs, the parents of edge caches. */
  public static final String HUB = "hub";

  /** The endpoint kind of the origin. */
  public static final String ORIGIN = "origin";

  /** The zone of the gateway and of all endpoints. */
  public static final String ZONE = "lab";

  /** The traffic class of idempotent requests, which the gateway may retry. */
  public static final String CLIPS = "clips";

  /** The traffic class of requests that may execute at most once. */
  public static final String ORDERS = "orders";

  /**
   * The share of its capacity, from 0 to 1, that a cache may receive immediately after it started
   * with nothing stored.
   */
  public static final double WARM_UP_INITIAL_SHARE = 0.2;

  /**
   * Seconds after such a start until the cache may receive its full capacity; the share grows
   * linearly.
   */
  public static final double WARM_UP_SECONDS = 2;

  /** The multiple of its present share above which a cache that warms up counts as overloaded. */
  public static final double OVERLOAD_MULTIPLE = 3;

  /** The window, in seconds, over which the load of a cache that warms up is counted. */
  public static final double OVERLOAD_WINDOW_SECONDS = 1;

  private static final int IDLE_SECONDS = 30;

  @SuppressWarnings("InlineFormatString") // The JSON template is too long for the call.
  private static final String SETTINGS_TEMPLATE =
      """
      {"my-zone":"lab","zones":["lab"],"kinds":["edge","hub","origin"],"replicas-of-me":%d,\
      "weights":"nominal",
      "classes":[{"name":"clips","idempotency":"repeatable","target-s":0.4,"points":1,\
      "hard-limit-s":2},
      {"name":"orders","idempotency":"once","target-s":0.4,"points":1,"hard-limit-s":2}],
      "bounds":{"max-attempts":3,"cancel":true,"retry-after":true,"max-retry-after-s":1,\
      "connect-timeout-s":0.4,
      "conn-idle-s":%d,"multiplex":100},"family-info":{"mid-kind":1,"store-kind":2,\
      "flow-kb-per-s":100000,
      "collapses":true,"bypass-allowed":true,"purge-takes-s":2,"class-fresh-s":[0,0]},
      "guarantees":{"cold-share":%s,"cold-s":%s,"fall-multiple":%s,"fall-s":%s}}\
      """;

  private LabSettings() {}

  /**
   * Returns the options of the only gateway, read from a temporary JSON file as a gateway process
   * reads its own.
   *
   * @param journalAddress HOST:PORT of a journal service; null for none
   */
  public static GatewayOptions options(long seed, String journalAddress) throws IOException {
    return options(seed, journalAddress, 1);
  }

  /**
   * Returns the options of one gateway.
   *
   * @param journalAddress HOST:PORT of a journal service; null for none
   * @param gateways how many gateways run, which the settings name as {@code replicas-of-me}
   */
  public static GatewayOptions options(long seed, String journalAddress, int gateways)
      throws IOException {
    Path file = Files.createTempFile("amberpath-lab", ".json");
    try {
      Files.writeString(file, json("lab", seed, journalAddress, gateways));
      return GatewayOptions.read(Map.of("PROXY_CONFIG", file.toString()), journalAddress != null);
    } finally {
      Files.deleteIfExists(file);
    }
  }

  /**
   * Returns the JSON settings of one gateway.
   *
   * @param journalAddress HOST:PORT of a journal service; null for none
   * @param gateways how many gateways run, which the settings name as {@code replicas-of-me}
   */
  public static String json(String name, long seed, String journalAddress, int gateways) {
    return json(name, seed, journalAddress, gateways, IDLE_SECONDS, "");
  }

  /**
   * Returns the JSON settings of one gateway with additional top-level keys.
   *
   * @param idleSeconds seconds after which caches close idle connections ({@code conn-idle-s})
   * @param extraKeys additional top-level keys with their values, each followed by a comma
   */
  public static String json(
      String name,
      long seed,
      String journalAddress,
      int gateways,
      int idleSeconds,
      String extraKeys) {
    return "{\"name\":\""
        + name
        + "\",\"seed\":\""
        + Long.toHexString(seed)
        + "\",\"listen\":\"127.0.0.1:0\","
        + (journalAddress == null ? "" : "\"journal\":\"" + journalAddress + "\",")
        + extraKeys
        + "\"settings\":"
        + String.format(
            Locale.ROOT,
            SETTINGS_TEMPLATE,
            gateways,
            idleSeconds,
            WARM_UP_INITIAL_SHARE,
            WARM_UP_SECONDS,
            OVERLOAD_MULTIPLE,
            OVERLOAD_WINDOW_SECONDS)
        + "}";
  }
}
