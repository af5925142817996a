package org.amberpath.lab;

import java.util.HashMap;
import java.util.Map;

/** The fields of a request to a {@link StandInCache}: {@code name=value}, with commas between. */
final class StandInCacheRequest {
  private final Map<String, String> fields = new HashMap<>();

  StandInCacheRequest(String encoded) {
    for (String field : encoded.split(",", -1)) {
      int equals = field.indexOf('=');
      if (equals > 0) {
        fields.put(field.substring(0, equals), field.substring(equals + 1));
      }
    }
  }

  /** The object and the part. */
  String key() {
    return fields.get("obj") + "/" + fields.get("seg");
  }

  String trafficClass() {
    return fields.get("kind");
  }

  /** The cache to fill a miss from; empty for none. */
  String source() {
    return fields.getOrDefault("miss", "");
  }

  /** How old a copy may be; 0 for any age. */
  long maxAgeMillis() {
    return Long.parseLong(fields.getOrDefault("within", "0"));
  }

  /** Whether a filled part is stored. */
  boolean stores() {
    return Integer.parseInt(fields.getOrDefault("prio", "0")) > 0;
  }
}
