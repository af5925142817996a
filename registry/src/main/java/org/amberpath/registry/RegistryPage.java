package org.amberpath.registry;

import java.util.List;
import org.amberpath.registry.WatchSession.Header;

/**
 * One page of a list or, for protocols with blocking reads, all keys.
 *
 * @param hasMore whether further keys follow the last one of this page
 * @param totalCount total number of keys; negative if a response always holds all keys, whatever
 *     was requested
 */
public record RegistryPage(
    Header header, List<RegistryEntry> entries, boolean hasMore, long totalCount) {}
