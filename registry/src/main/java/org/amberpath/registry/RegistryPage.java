package org.amberpath.registry;

import java.util.List;
import org.amberpath.registry.WatchSession.Header;

/**
 * One page of a list or, for protocols that hold reads back, all keys.
 *
 * @param hasMore whether there are keys after the last one of these
 * @param totalCount how many keys there are in all; negative where an answer holds all keys
 *     whatever was asked for
 */
public record RegistryPage(
    Header header, List<RegistryEntry> entries, boolean hasMore, long totalCount) {}
