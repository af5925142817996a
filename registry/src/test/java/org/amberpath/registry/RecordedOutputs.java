package org.amberpath.registry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.ListedEndpoint;

/**
 * Hashes the outputs of a seeded world in their order, with all arguments, and counts them. The
 * hashed texts are a stored form: they stay when identifiers or log lines are renamed.
 */
final class RecordedOutputs implements EndpointListener {
  /** Number of outputs and events by name, which shows what a world covers. */
  final Map<String, Integer> counts = new TreeMap<>();

  private final MessageDigest digest = sha256();

  /** Returns the digest of all outputs as hexadecimal digits. */
  String digest() {
    return HexFormat.of().formatHex(digest.digest());
  }

  void record(String name, Object... arguments) {
    count("output " + name);
    StringBuilder line = new StringBuilder(name);
    for (Object argument : arguments) {
      line.append(' ').append(argument);
    }
    digest.update(line.append('\n').toString().getBytes(StandardCharsets.UTF_8));
  }

  void recordSessionLogLine(String line) {
    String recorded = recordedForm(line);
    count("note " + recorded.replaceAll("[0-9]+", "N"));
    record("note", recorded);
  }

  void recordViewLogLine(String line) {
    record("complaint", recordedForm(line));
  }

  /** Maps a log line to the text under which the digests were recorded. */
  private static String recordedForm(String line) {
    return line.replaceFirst("^(endpoint [0-9]+: [A-Z]+) failed: ([A-Z_]+)$", "$1 $2")
        .replace(": HEARTBEAT ", ": PULSE ")
        .replaceFirst(
            "^(endpoint [0-9]+): response discarded, it has the id of another cluster:"
                + " '(c[0-9]+|foreign|)'$",
            "$1 is of another registry")
        .replaceFirst(
            "^the registry now has cluster id '(c[0-9]+|foreign|)'; requesting all keys again$",
            "the registry is another one: all is read anew")
        .replaceFirst(
            "^(revisions went back from [0-9]+ to [0-9]+); requesting all keys again$",
            "$1: all is read anew")
        .replaceFirst(
            "^the registry holds (more than [0-9]+ keys) \\(most-keys\\):"
                + " further keys are ignored$",
            "$1: those past it are passed over")
        .replaceFirst("^(p/\\S+: )value can't be decoded: ", "$1");
  }

  void count(String name) {
    counts.merge(name, 1, Integer::sum);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void endpointListStarted(EndpointListKind kind) {
    boolean isFull = kind == EndpointListKind.FULL;
    record("listing", isFull);
    count("listing " + isFull);
  }

  @Override
  public void endpointListed(ListedEndpoint endpoint) {
    String state =
        switch (endpoint.state()) {
          case UP -> "UP";
          case DRAINING -> "DRAINING";
          case GONE -> "GONE";
        };
    count("member " + state);
    record(
        "member",
        endpoint.id(),
        endpoint.address(),
        endpoint.cell().orElse(ListedEndpoint.DEFAULT_CELL),
        state,
        endpoint.weight().orElse(ListedEndpoint.DEFAULT_WEIGHT),
        endpoint.startedAtMillis());
  }

  @Override
  public void endpointListCompleted() {
    record("listed");
  }

  @Override
  public void objectPurged(long object, int group, long atMillis) {
    count(group == EndpointListener.ALL_GROUPS ? "purged everything" : "purged");
    record("purged", object, group, atMillis);
  }
}
