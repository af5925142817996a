package org.amberpath.cli;

import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.routing.EndpointState;
import picocli.CommandLine.Option;

/** Options of {@code registry add}: the fields of a cache's registry record other than its id. */
final class NewCacheOptions {
  @Option(names = "--address", required = true, description = "Numeric address:port of the cache.")
  private String address;

  @Option(
      names = "--zone",
      required = true,
      description = "Zone of the cache, as named in the platform's settings.")
  private String zone;

  @Option(
      names = "--kind",
      required = true,
      description = "Kind of the cache, as named in the platform's settings.")
  private String kind;

  @Option(
      names = "--weight",
      description = "Size of the cache, in the unit of the platform's settings. Default: 1.")
  private Double weight;

  @Option(
      names = "--cell",
      description = "Cell (rack) of the cache. Default: none, which counts as 0.")
  private Integer cell;

  @Option(names = "--cold", description = "The cache has just started and holds no copies.")
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
        cell == null ? OptionalInt.empty() : OptionalInt.of(cell),
        EndpointState.UP,
        weight == null ? OptionalDouble.empty() : OptionalDouble.of(weight),
        cold ? System.currentTimeMillis() : 0);
  }
}
