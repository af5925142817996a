package org.amberpath.registry;

import java.util.Collection;

/**
 * All keys, or all keys written since a revision, as they are at one revision.
 *
 * @param clusterId the registry's cluster id; empty if it has none
 * @param requestedAtNanos when the list was requested, which is the earliest time that its contents
 *     reflect
 */
public record RegistryListing(
    Collection<RegistryEntry> entries, String clusterId, long revision, long requestedAtNanos) {}
