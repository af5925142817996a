package org.amberpath.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import org.amberpath.gateway.GatewayOptions;

/**
 * The site that a laboratory's gateway is told of: one store with edge caches, hubs and the origin.
 */
public final class LabSettings {
  /** The kinds that its caches are listed under. */
  public static final String EDGE = "edge";

  public static final String HUB = "hub";
  public static final String ORIGIN = "origin";
  public static final String ZONE = "lab";

  /** Its delivery services: one whose GETs may be sent again, and one whose may not. */
  public static final String CLIPS = "clips";

  public static final String ORDERS = "orders";

  /**
   * What is promised to a cache that starts cold: its share at once, and how long until it bears
   * all.
   */
  public static final double WARM_UP_INITIAL_SHARE = 0.2;

  public static final double WARM_UP_SECONDS = 2;
  public static final double OVERLOAD_MULTIPLE = 3;
  public static final double OVERLOAD_WINDOW_SECONDS = 1;

  private static final int IDLE_SECONDS = 30;

  @SuppressWarnings("InlineFormatString") // Eight lines of JSON read better apart from the call.
  private static final String SETTINGS =
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
   * A gateway's options, read as a process reads them.
   *
   * @param journalAddress the address of a journal service; null for none
   */
  public static GatewayOptions options(long seed, String journalAddress) throws IOException {
    return options(seed, journalAddress, 1);
  }

  /** The same for one of so many. */
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

  /** What the platform would tell one of so many gateways. */
  public static String json(String name, long seed, String journalAddress, int gateways) {
    return json(name, seed, journalAddress, gateways, IDLE_SECONDS, "");
  }

  /**
   * The same with the time after which caches close idle connections, and more keys, each followed
   * by a comma.
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
            SETTINGS,
            gateways,
            idleSeconds,
            WARM_UP_INITIAL_SHARE,
            WARM_UP_SECONDS,
            OVERLOAD_MULTIPLE,
            OVERLOAD_WINDOW_SECONDS)
        + "}";
  }
}
