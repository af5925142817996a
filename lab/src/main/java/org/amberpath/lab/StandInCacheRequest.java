package org.amberpath.lab;

import java.util.HashMap;
import java.util.Map;

/**
 * The fields of a request to a {@link StandInCache}: {@code name=value} pairs, separated by commas.
 */
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

  /** Returns the key of the requested copy: {@code OBJECT/PART}. */
  String key() {
    return fields.get("obj") + "/" + fields.get("seg");
  }

  String trafficClass() {
    return fields.get("kind");
  }

  /** Returns the id of the cache from which a miss is filled; empty for none. */
  String sourceId() {
    return fields.getOrDefault("miss", "");
  }

  /** Returns the maximum age of a copy in milliseconds; 0 for any age. */
  long maxAgeMillis() {
    return Long.parseLong(fields.getOrDefault("within", "0"));
  }

  /** Returns whether the cache stores a part that it fills. */
  boolean storesFilledPart() {
    return Integer.parseInt(fields.getOrDefault("prio", "0")) > 0;
  }
}
