package org.amberpath.membership.runtime;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The keys of a fleet: the first of a file signs, each is believed, so that one follows another
 * without a gap. HMAC with SHA-256 (RFC 2104), of which the first {@value #LENGTH} bytes are sent.
 * Only for one thread.
 */
public final class HmacKeyring {
  public static final int LENGTH = 16;
  private static final int MOST = 4, LEAST_BYTES = 16, LONGEST_FILE = 4096;
  private static final String ID = "[A-Za-z0-9._-]{1,16}";

  /** What is wrong with a file of keys; never with a key in it. */
  public static final class Faulty extends IOException {
    Faulty(String message) {
      super(message);
    }
  }

  private final Map<String, Mac> byId = new LinkedHashMap<>();
  private final String first;

  private HmacKeyring(String first) {
    this.first = first;
  }

  private HmacKeyring(Path file) throws IOException {
    if (Files.size(file) > LONGEST_FILE) {
      throw new Faulty("[fleet] key: " + file + ": over " + LONGEST_FILE + " bytes");
    }
    int number = 0;
    for (String line : Files.readAllLines(file)) {
      number++;
      String[] words = line.strip().split("\\s+", -1);
      if (line.isBlank() || line.startsWith("#")) {
        continue;
      }
      String where = "[fleet] key: " + file + ", line " + number + ": ";
      if (words.length != 2 || !words[0].matches(ID)) {
        throw new Faulty(
            where + "not an id of 16 letters, digits, ._- at most and a key in hexadecimal");
      }
      if (byId.size() == MOST || byId.put(words[0], mac(words[1], where)) != null) {
        throw new Faulty(
            where + (byId.size() == MOST ? "more than " + MOST + " keys" : "an id given twice"));
      }
    }
    if (byId.isEmpty()) {
      throw new Faulty("[fleet] key: " + file + ": no key in it");
    }
    first = byId.keySet().iterator().next();
  }

  private static Mac mac(String hex, String where) throws Faulty {
    try {
      byte[] key = HexFormat.of().parseHex(hex);
      if (key.length < LEAST_BYTES) {
        throw new Faulty(where + "a key of under " + LEAST_BYTES + " bytes");
      }
      return mac(key);
    } catch (IllegalArgumentException e) {
      throw new Faulty(where + "a key that is not hexadecimal");
    }
  }

  private static Mac mac(byte[] key) {
    try {
      Mac mac = Mac.getInstance("HmacSHA256");
      mac.init(new SecretKeySpec(key, "HmacSHA256"));
      return mac;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("a runtime without HmacSHA256", e);
    }
  }

  /** Reads a file; a message of {@link Faulty} names file and line, and never a key. */
  public static HmacKeyring read(Path file) throws IOException {
    return new HmacKeyring(file);
  }

  /** One key alone. */
  public static HmacKeyring of(String id, byte[] key) {
    HmacKeyring keys = new HmacKeyring(id);
    keys.byId.put(id, mac(key));
    return keys;
  }

  /** The id of the key that signs. */
  String first() {
    return first;
  }

  boolean knows(String id) {
    return byId.containsKey(id);
  }

  byte[] sign(byte[] bytes) {
    return mac(first, bytes, bytes.length);
  }

  /** Whether the last bytes are those that the key makes of the others. */
  boolean proves(String id, byte[] bytes) {
    int signed = bytes.length - LENGTH;
    return MessageDigest.isEqual(
        mac(id, bytes, signed), Arrays.copyOfRange(bytes, signed, bytes.length));
  }

  private byte[] mac(String id, byte[] bytes, int length) {
    Mac mac = byId.get(id);
    mac.update(bytes, 0, length);
    return Arrays.copyOf(mac.doFinal(), LENGTH);
  }
}
