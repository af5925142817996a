package org.amberpath.registry;

import java.util.Collection;

/**
 * A complete list of keys at one revision.
 *
 * @param clusterId the registry's own id; empty where it has none
 * @param requestedAtNanos when the list was requested: what it shows is as new as that at least
 */
public record RegistryListing(
    Collection<RegistryEntry> entries, String clusterId, long revision, long requestedAtNanos) {}
