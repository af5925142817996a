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
  public static final String EDGE = "edge", HUB = "hub", ORIGIN = "origin", ZONE = "lab";

  /** Its delivery services: one whose GETs may be sent again, and one whose may not. */
  public static final String CLIPS = "clips", ORDERS = "orders";

  /**
   * What is promised to a cache that starts cold: its share at once, and how long until it bears
   * all.
   */
  public static final double COLD_SHARE = 0.2, COLD_S = 2, FALL_MULTIPLE = 3, FALL_S = 1;

  private static final int IDLE_SECONDS = 30;

  @SuppressWarnings("InlineFormatString") // Eight lines of JSON read better apart from the call.
  private static final String SETTINGS =
      """
      {"my-zone":"lab","zones":["lab"],"kinds":["edge","hub","origin"],"replicas-of-me":%d,"weights":"nominal",
      "classes":[{"name":"clips","idempotency":"repeatable","target-s":0.4,"points":1,"hard-limit-s":2},
      {"name":"orders","idempotency":"once","target-s":0.4,"points":1,"hard-limit-s":2}],
      "bounds":{"max-attempts":3,"cancel":true,"retry-after":true,"max-retry-after-s":1,"connect-timeout-s":0.4,
      "conn-idle-s":%d,"multiplex":100},"family-info":{"mid-kind":1,"store-kind":2,"flow-kb-per-s":100000,
      "collapses":true,"bypass-allowed":true,"purge-takes-s":2,"class-fresh-s":[0,0]},
      "guarantees":{"cold-share":%s,"cold-s":%s,"fall-multiple":%s,"fall-s":%s}}""";

  private LabSettings() {}

  /**
   * A gateway's options, read as a process reads them.
   *
   * @param journal the address of a journal service; null for none
   */
  public static GatewayOptions options(long seed, String journal) throws IOException {
    return options(seed, journal, 1);
  }

  /** The same for one of so many. */
  public static GatewayOptions options(long seed, String journal, int gateways) throws IOException {
    Path file = Files.createTempFile("amberpath-lab", ".json");
    try {
      Files.writeString(file, json("lab", seed, journal, gateways));
      return GatewayOptions.read(Map.of("PROXY_CONFIG", file.toString()), journal != null);
    } finally {
      Files.deleteIfExists(file);
    }
  }

  /** What the platform would tell one of so many gateways. */
  public static String json(String name, long seed, String journal, int gateways) {
    return json(name, seed, journal, gateways, IDLE_SECONDS, "");
  }

  /**
   * The same with the time after which caches close idle connections, and more keys, each followed
   * by a comma.
   */
  public static String json(
      String name, long seed, String journal, int gateways, int idleSeconds, String more) {
    return "{\"name\":\""
        + name
        + "\",\"seed\":\""
        + Long.toHexString(seed)
        + "\",\"listen\":\"127.0.0.1:0\","
        + (journal == null ? "" : "\"journal\":\"" + journal + "\",")
        + more
        + "\"settings\":"
        + String.format(
            Locale.ROOT, SETTINGS, gateways, idleSeconds, COLD_SHARE, COLD_S, FALL_MULTIPLE, FALL_S)
        + "}";
  }
}
