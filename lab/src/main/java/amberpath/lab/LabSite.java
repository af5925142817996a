package amberpath.lab;

import amberpath.gateway.GatewayOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** The site that a laboratory's gateway is told of: one store with edge caches, hubs and the origin. */
public final class LabSite {
  /** The kinds that its caches are listed under. */
  public static final String EDGE = "edge", HUB = "hub", ORIGIN = "origin", ZONE = "lab";
  /** Its one delivery service, whose GETs may be sent again. */
  public static final String CLIPS = "clips";

  private static final String SETTINGS = """
      {"my-zone":"lab","zones":["lab"],"kinds":["edge","hub","origin"],"replicas-of-me":1,"weights":"nominal",
      "classes":[{"name":"clips","idempotency":"repeatable","target-s":0.4,"points":1,"hard-limit-s":2}],
      "bounds":{"max-attempts":3,"cancel":true,"retry-after":true,"max-retry-after-s":1,"connect-timeout-s":0.4,
      "conn-idle-s":30,"multiplex":100},"family-info":{"mid-kind":1,"store-kind":2,"flow-kb-per-s":100000,
      "collapses":true,"bypass-allowed":true,"purge-takes-s":2,"class-fresh-s":[0]},
      "guarantees":{"cold-share":0.2,"cold-s":2,"fall-multiple":3,"fall-s":1}}""";

  private LabSite() {
  }

  /**
   * A gateway's options, read as a process reads them.
   *
   * @param journal the address of a journal service; null for none
   */
  public static GatewayOptions options(long seed, String journal) throws IOException {
    Path file = Files.createTempFile("amberpath-lab", ".json");
    try {
      Files.writeString(file, "{\"name\":\"lab\",\"seed\":\"" + Long.toHexString(seed)
          + "\",\"listen\":\"127.0.0.1:0\"," + (journal == null ? "" : "\"journal\":\"" + journal + "\",")
          + "\"settings\":" + SETTINGS + "}");
      return GatewayOptions.read(Map.of("PROXY_CONFIG", file.toString()), journal != null);
    } finally {
      Files.deleteIfExists(file);
    }
  }
}
