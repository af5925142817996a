package org.amberpath.routing;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Merges what several discovery sources list of one endpoint, field by field. Each field is taken
 * from the source on the safe side: the most restrictive state, the latest start, the lowest
 * weight. A cell or weight that only some sources list is taken from those. Where the sources
 * contradict each other on the cell, the endpoint shares its cell with no other, so that no request
 * whose repeats are dropped within one cell is retried elsewhere.
 */
final class EndpointListingMerge {
  private EndpointListingMerge() {}

  /**
   * Merges the listings of one endpoint.
   *
   * @param listings what each source lists by the source's name, at least one, the one whose
   *     address, zone and kind are preferred first
   * @param isolatedCell the cell of the endpoint where the sources contradict each other on it; no
   *     other endpoint has it
   */
  static ListedEndpoint merge(Map<String, ListedEndpoint> listings, int isolatedCell) {
    List<ListedEndpoint> all = List.copyOf(listings.values());
    ListedEndpoint mostRestrictive = all.get(0);
    ListedEndpoint latestStarted = all.get(0);
    OptionalDouble weight = OptionalDouble.empty();
    for (ListedEndpoint listing : all) {
      if (listing.state().compareTo(mostRestrictive.state()) > 0) {
        mostRestrictive = listing;
      }
      if (listing.startedAtMillis() > latestStarted.startedAtMillis()) {
        latestStarted = listing;
      }
      weight = lower(weight, listing.weight());
    }
    if (mostRestrictive.state() == EndpointState.GONE) {
      return mostRestrictive;
    }
    return new ListedEndpoint(
        mostRestrictive.id(),
        latestStarted.address(),
        firstNonEmpty(all, ListedEndpoint::zone),
        firstNonEmpty(all, ListedEndpoint::kind),
        mergeCells(all, isolatedCell),
        mostRestrictive.state(),
        weight,
        latestStarted.startedAtMillis());
  }

  private static OptionalDouble lower(OptionalDouble first, OptionalDouble second) {
    if (first.isEmpty() || second.isEmpty()) {
      return first.isEmpty() ? second : first;
    }
    return first.getAsDouble() <= second.getAsDouble() ? first : second;
  }

  private static OptionalInt mergeCells(List<ListedEndpoint> all, int isolatedCell) {
    OptionalInt merged = OptionalInt.empty();
    for (ListedEndpoint listing : all) {
      if (merged.isEmpty()) {
        merged = listing.cell();
      } else if (listing.cell().isPresent() && !listing.cell().equals(merged)) {
        return OptionalInt.of(isolatedCell);
      }
    }
    return merged;
  }

  private static String firstNonEmpty(
      List<ListedEndpoint> all, Function<ListedEndpoint, String> field) {
    return all.stream().map(field).filter(Predicate.not(String::isEmpty)).findFirst().orElse("");
  }

  /**
   * Returns which fields the sources contradict each other on, with what each lists; empty if they
   * agree. States and start times are left out: sources learn of a drain or a restart at different
   * times.
   */
  static String contradictions(Map<String, ListedEndpoint> listings) {
    StringBuilder text = new StringBuilder();
    appendContradiction(text, "address", listings, ListedEndpoint::address);
    appendContradiction(text, "zone", listings, ListedEndpoint::zone);
    appendContradiction(text, "kind", listings, ListedEndpoint::kind);
    appendContradiction(
        text,
        "cell",
        listings,
        listing -> listing.cell().isPresent() ? Integer.toString(listing.cell().getAsInt()) : "");
    appendContradiction(
        text,
        "weight",
        listings,
        listing ->
            listing.weight().isPresent() ? Double.toString(listing.weight().getAsDouble()) : "");
    return text.toString();
  }

  private static void appendContradiction(
      StringBuilder text,
      String name,
      Map<String, ListedEndpoint> listings,
      Function<ListedEndpoint, String> field) {
    long values =
        listings.values().stream().map(field).filter(value -> !value.isEmpty()).distinct().count();
    if (values > 1) {
      listings.forEach(
          (source, listing) ->
              text.append(text.isEmpty() ? "" : ", ")
                  .append(source)
                  .append(' ')
                  .append(name)
                  .append('=')
                  .append(field.apply(listing)));
    }
  }
}
