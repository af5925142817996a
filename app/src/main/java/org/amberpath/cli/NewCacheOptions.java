package org.amberpath.cli;

import org.amberpath.registry.RegistryRecord;
import org.amberpath.routing.EndpointState;
import picocli.CommandLine.Option;

/** Options of {@code registry add}: the fields of a cache's registry record other than its id. */
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

  /**
   * Returns the record of a cache in state UP. With {@code --cold} its start time is the current
   * time, otherwise 0, which stands for long ago.
   */
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
