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
 * The keys of a fleet: the first of a file signs, each verifies, so that one key follows another
 * without a gap. HMAC with SHA-256 (RFC 2104), of which the first {@value #SIGNATURE_BYTES} bytes
 * are sent. For one thread.
 */
public final class HmacKeyring {
  /** The length of a signature. */
  public static final int SIGNATURE_BYTES = 16;

  private static final int MAX_KEYS = 4;
  private static final int MIN_KEY_BYTES = 16;
  private static final int MAX_FILE_BYTES = 4096;
  private static final String KEY_ID = "[A-Za-z0-9._-]{1,16}";
  private static final String ALGORITHM = "HmacSHA256";

  private final Map<String, Mac> macs;
  private final String signingKeyId;

  private HmacKeyring(Map<String, Mac> macs) {
    this.macs = macs;
    signingKeyId = macs.keySet().iterator().next();
  }

  /**
   * Reads a file of lines "ID HEX"; blank lines and those that begin with # are passed over.
   *
   * @throws MembershipException.InvalidKeyFile where the file holds something wrong; its message
   *     names file and line, and never a key
   * @throws IOException where the file can't be read
   */
  public static HmacKeyring read(Path file) throws IOException {
    if (Files.size(file) > MAX_FILE_BYTES) {
      throw new MembershipException.InvalidKeyFile(file + ": over " + MAX_FILE_BYTES + " bytes");
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
      throw new MembershipException.InvalidKeyFile(file + ": no key in it");
    }
    return new HmacKeyring(macs);
  }

  private static void readKey(String line, String where, Map<String, Mac> macs)
      throws MembershipException.InvalidKeyFile {
    String[] fields = line.strip().split("\\s+", -1);
    if (fields.length != 2 || !fields[0].matches(KEY_ID)) {
      throw new MembershipException.InvalidKeyFile(
          where + "not an id of 16 letters, digits, ._- at most and a key in hexadecimal");
    }
    if (macs.size() == MAX_KEYS) {
      throw new MembershipException.InvalidKeyFile(where + "more than " + MAX_KEYS + " keys");
    }
    if (macs.put(fields[0], mac(parse(fields[1], where))) != null) {
      throw new MembershipException.InvalidKeyFile(
          where
              + (macs.size() == MAX_KEYS
                  ? "more than " + MAX_KEYS + " keys"
                  : "an id given twice"));
    }
  }

  private static byte[] parse(String hex, String where) throws MembershipException.InvalidKeyFile {
    byte[] key;
    try {
      key = HexFormat.of().parseHex(hex);
    } catch (IllegalArgumentException e) {
      throw new MembershipException.InvalidKeyFile(where + "a key that is not hexadecimal");
    }
    if (key.length < MIN_KEY_BYTES) {
      throw new MembershipException.InvalidKeyFile(
          where + "a key of under " + MIN_KEY_BYTES + " bytes");
    }
    return key;
  }

  /** A keyring of one key. */
  public static HmacKeyring of(String id, byte[] key) {
    return new HmacKeyring(Map.of(id, mac(key)));
  }

  private static Mac mac(byte[] key) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key, ALGORITHM));
      return mac;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("a runtime without " + ALGORITHM, e);
    }
  }

  /** The id of the key that signs. */
  String signingKeyId() {
    return signingKeyId;
  }

  boolean contains(String keyId) {
    return macs.containsKey(keyId);
  }

  /** The signature of these bytes by the signing key. */
  byte[] sign(byte[] bytes) {
    return signature(signingKeyId, bytes, bytes.length);
  }

  /** Whether a datagram's last bytes are the signature of the others by this key. */
  boolean verifies(String keyId, byte[] datagram) {
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
