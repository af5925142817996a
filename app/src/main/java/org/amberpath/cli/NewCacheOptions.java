package org.amberpath.cli;

import org.amberpath.registry.RegistryRecord;
import org.amberpath.routing.EndpointState;
import picocli.CommandLine.Option;

/** Options of {@code registry add}: all that the registry holds of a cache beside its id. */
final class NewCacheOptions {
  @Option(names = "--address", required = true, description = "Numeric address:port.")
  private String address;

  @Option(
      names = "--zone",
      required = true,
      description = "The zone, as the site's settings name it.")
  private String zone;

  @Option(names = "--kind", required = true, description = "The kind, likewise.")
  private String kind;

  @Option(names = "--weight", defaultValue = "1", description = "Its size. Default: 1.")
  private double weight;

  @Option(names = "--cell", defaultValue = "0", description = "Its shelf. Default: 0.")
  private int cell;

  @Option(names = "--cold", description = "It has just started and holds nothing.")
  private boolean cold;

  /** The record of a cache that is up; one that is cold counts as started now. */
  RegistryRecord.Cache toRecord(String id) {
    return new RegistryRecord.Cache(
        id,
        address,
        zone,
        kind,
        cell,
        EndpointState.UP,
        weight,
        cold ? System.currentTimeMillis() : 0);
  }
}
