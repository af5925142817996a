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
 * The keyring of a fleet. The first key of the file signs datagrams, and every key verifies them,
 * so that a key can be replaced without a time in which members reject each other's datagrams.
 * Signatures are HMAC-SHA256 (RFC 2104), truncated to the first {@value #SIGNATURE_BYTES} bytes.
 * Not thread-safe.
 */
public final class HmacKeyring {
  /** The length of a signature, in bytes. */
  public static final int SIGNATURE_BYTES = 16;

  private static final int MAX_KEYS = 4;
  private static final int MIN_KEY_BYTES = 16;
  private static final int MAX_FILE_BYTES = 4096;
  private static final String KEY_ID_PATTERN = "[A-Za-z0-9._-]{1,16}";
  private static final String ALGORITHM = "HmacSHA256";

  private final Map<String, Mac> macs;
  private final String signingKeyId;

  private HmacKeyring(Map<String, Mac> macs) {
    this.macs = macs;
    signingKeyId = macs.keySet().iterator().next();
  }

  /**
   * Reads a key file: one key per line, as "ID HEX". Blank lines and lines that begin with # are
   * skipped. Blocks the calling thread.
   *
   * @throws MembershipException.InvalidKeyFile if the content of the file is invalid; the message
   *     names the file and the line, and never contains a key
   * @throws IOException if the file cannot be read
   */
  public static HmacKeyring read(Path file) throws IOException {
    long fileBytes = Files.size(file);
    if (fileBytes > MAX_FILE_BYTES) {
      throw new MembershipException.InvalidKeyFile(
          file + ": the file has " + fileBytes + " bytes, at most " + MAX_FILE_BYTES + " allowed");
    }
    Map<String, Mac> macs = new LinkedHashMap<>();
    int lineNumber = 0;
    for (String line : Files.readAllLines(file)) {
      lineNumber++;
      if (!line.isBlank() && !line.startsWith("#")) {
        readKey(line, file + ", line " + lineNumber + ": ", macs);
      }
    }
    if (macs.isEmpty()) {
      throw new MembershipException.InvalidKeyFile(
          file + ": the file contains no key, expected lines \"ID HEX\"");
    }
    return new HmacKeyring(macs);
  }

  private static void readKey(String line, String location, Map<String, Mac> macs)
      throws MembershipException.InvalidKeyFile {
    String[] fields = line.strip().split("\\s+", -1);
    if (fields.length != 2 || !fields[0].matches(KEY_ID_PATTERN)) {
      throw new MembershipException.InvalidKeyFile(
          location
              + "expected \"ID HEX\": a key id of 1 to 16 letters, digits, '.', '_' or '-',"
              + " and the key in hexadecimal");
    }
    if (macs.size() == MAX_KEYS) {
      throw new MembershipException.InvalidKeyFile(location + "more than " + MAX_KEYS + " keys");
    }
    if (macs.put(fields[0], createMac(parseKey(fields[1], location))) != null) {
      throw new MembershipException.InvalidKeyFile(
          location
              + (macs.size() == MAX_KEYS
                  ? "more than " + MAX_KEYS + " keys"
                  : "key id " + fields[0] + " is used more than once"));
    }
  }

  private static byte[] parseKey(String hex, String location)
      throws MembershipException.InvalidKeyFile {
    byte[] key;
    try {
      key = HexFormat.of().parseHex(hex);
    } catch (IllegalArgumentException e) {
      throw new MembershipException.InvalidKeyFile(
          location + "the key is not a hexadecimal number of complete bytes");
    }
    if (key.length < MIN_KEY_BYTES) {
      throw new MembershipException.InvalidKeyFile(
          location + "the key has " + key.length + " bytes, expected at least " + MIN_KEY_BYTES);
    }
    return key;
  }

  /** Creates a keyring with one key. */
  public static HmacKeyring of(String id, byte[] key) {
    return new HmacKeyring(Map.of(id, createMac(key)));
  }

  private static Mac createMac(byte[] key) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key, ALGORITHM));
      return mac;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the Java runtime does not provide " + ALGORITHM, e);
    }
  }

  /** Returns the id of the signing key. */
  String signingKeyId() {
    return signingKeyId;
  }

  boolean contains(String keyId) {
    return macs.containsKey(keyId);
  }

  /** Returns the signature of the bytes by the signing key. */
  byte[] sign(byte[] bytes) {
    return signature(signingKeyId, bytes, bytes.length);
  }

  /**
   * Whether the last {@value #SIGNATURE_BYTES} bytes of a datagram are the signature of the
   * preceding bytes by the given key, which must be in the keyring.
   */
  boolean verify(String keyId, byte[] datagram) {
    int signedLength = datagram.length - SIGNATURE_BYTES;
    return MessageDigest.isEqual(
        signature(keyId, datagram, signedLength),
        Arrays.copyOfRange(datagram, signedLength, datagram.length));
  }

  private byte[] signature(String keyId, byte[] bytes, int length) {
    Mac mac = macs.get(keyId);
    mac.update(bytes, 0, length);
    return Arrays.copyOf(mac.doFinal(), SIGNATURE_BYTES);
  }
}
