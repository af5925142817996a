package org.amberpath.gateway.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Numbers the addresses of caches in the order in which they were first listed, from 0. */
final class CacheIndex {
  private final Map<String, Integer> indices = new HashMap<>();
  private final List<String> addresses = new ArrayList<>();

  /** The index of an address; a new one where it was not listed yet. */
  int add(String address) {
    return indices.computeIfAbsent(
        address,
        added -> {
          addresses.add(added);
          return addresses.size() - 1;
        });
  }

  /** Whether an address was listed. */
  boolean contains(String address) {
    return indices.containsKey(address);
  }

  /** The index of an address that was listed. */
  int indexOf(String address) {
    return indices.get(address);
  }

  /** The address of an index that was given out. */
  String address(int index) {
    return addresses.get(index);
  }
}
