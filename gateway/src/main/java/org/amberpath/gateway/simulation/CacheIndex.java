package org.amberpath.gateway.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Maps cache addresses to indices and back. Indices count up from 0 in the order in which the
 * addresses were first added; an index is never reused.
 */
final class CacheIndex {
  private final Map<String, Integer> indices = new HashMap<>();
  private final List<String> addresses = new ArrayList<>();

  /** Returns the index of an address, and assigns the next free one if the address is new. */
  int add(String address) {
    return indices.computeIfAbsent(
        address,
        newAddress -> {
          addresses.add(newAddress);
          return addresses.size() - 1;
        });
  }

  /** Returns whether an address has an index. */
  boolean contains(String address) {
    return indices.containsKey(address);
  }

  /** Returns the index of an address, which must have been added before. */
  int indexOf(String address) {
    return indices.get(address);
  }

  /** Returns the address with an index that {@link #add} has returned. */
  String address(int index) {
    return addresses.get(index);
  }
}
