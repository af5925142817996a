package org.amberpath.membership.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Collections;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.amberpath.membership.GossipMessage;
import org.amberpath.membership.GossipMessage.Kind;
import org.amberpath.membership.MemberStatus;
import org.amberpath.membership.MemberUpdate;
import org.amberpath.membership.SwimTimings;
import org.amberpath.membership.runtime.DecodedDatagram.RejectionReason;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that encoded messages are decoded unchanged, and that all other datagrams are rejected. */
class DatagramCodecTest {
  private static final String KEY = "0123456789abcdef0123456789abcdef";
  private static final String OTHER_KEY = "ffffffffffffffffffffffffffffffff";
  private static final int MAX_UPDATES = SwimTimings.defaults(1).maxUpdatesPerMessage();

  private final DatagramCodec codec = new DatagramCodec("stores", MAX_UPDATES);
  @TempDir private Path folder;

  private HmacKeyring readKeyring(String text) throws Exception {
    return HmacKeyring.read(Files.writeString(folder.resolve("keys"), text));
  }

  private static MemberUpdate longestUpdate(MemberStatus status) {
    String name = "n".repeat(32);
    return new MemberUpdate(
        name, "255.255.255.255:65535", Long.MAX_VALUE, Long.MIN_VALUE, status, name);
  }

  private static GossipMessage longestMessage(int updates) {
    return new GossipMessage(
        Kind.PAGE,
        longestUpdate(MemberStatus.ALIVE),
        Long.MIN_VALUE,
        Long.MAX_VALUE,
        Long.MIN_VALUE,
        Long.MIN_VALUE,
        Long.MIN_VALUE,
        "n".repeat(32),
        true,
        true,
        Collections.nCopies(updates, longestUpdate(MemberStatus.LOST)));
  }

  private static GossipMessage gossipMessage(DecodedDatagram decoded) {
    return assertInstanceOf(DecodedDatagram.Gossip.class, decoded).message();
  }

  private static RejectionReason rejectionReason(DecodedDatagram decoded, String description) {
    return assertInstanceOf(DecodedDatagram.Rejected.class, decoded, description).reason();
  }

  @Test
  void longestMessageFitsIntoADatagramAndIsDecodedUnchanged() throws Exception {
    DatagramCodec longestHeader = new DatagramCodec("f".repeat(32), MAX_UPDATES);
    HmacKeyring keyring = readKeyring("k".repeat(16) + " " + KEY);
    GossipMessage message = longestMessage(MAX_UPDATES);
    byte[] datagram = longestHeader.encode(message, keyring);
    assertTrue(datagram.length <= DatagramCodec.MAX_DATAGRAM_BYTES, "" + datagram.length);
    assertEquals(message, gossipMessage(longestHeader.decode(datagram, keyring)));
  }

  @Test
  void datagramOfAnotherFleetOrKeyOrWithChangedBytesIsRejected() throws Exception {
    HmacKeyring keyring = readKeyring("k1 " + KEY);
    byte[] datagram = codec.encode(longestMessage(2), keyring);
    DatagramCodec otherFleet = new DatagramCodec("other", 10);
    assertEquals(
        RejectionReason.WRONG_FLEET,
        rejectionReason(otherFleet.decode(datagram, keyring), "fleet"));
    assertEquals(
        RejectionReason.UNKNOWN_KEY,
        rejectionReason(codec.decode(datagram, readKeyring("k2 " + KEY)), "id"));
    assertEquals(
        RejectionReason.INVALID_SIGNATURE,
        rejectionReason(codec.decode(datagram, readKeyring("k1 " + OTHER_KEY)), "key"));
    for (int index = 0; index < datagram.length; index++) {
      byte[] changed = datagram.clone();
      changed[index] ^= 1;
      rejectionReason(codec.decode(changed, keyring), "byte " + index);
      rejectionReason(
          codec.decode(Arrays.copyOf(datagram, index), keyring), "truncated to " + index);
    }
    rejectionReason(
        codec.decode(Arrays.copyOf(datagram, datagram.length + 1), keyring), "one byte appended");
  }

  @Test
  void firstKeyOfAFileSignsAndEveryKeyVerifies() throws Exception {
    HmacKeyring before = readKeyring("k1 " + KEY);
    HmacKeyring both = readKeyring("# new\nk2 " + OTHER_KEY + "\nk1 " + KEY + "\n");
    GossipMessage message = longestMessage(1);
    assertEquals(message, gossipMessage(codec.decode(codec.encode(message, before), both)));
    assertEquals("k2", both.signingKeyId());
  }

  private static Stream<Arguments> invalidKeyFiles() {
    String format =
        ", line 1: expected \"ID HEX\": a key id of 1 to 16 letters, digits, '.', '_' or '-',"
            + " and the key in hexadecimal";
    return Stream.of(
        arguments("", ": the file contains no key, expected lines \"ID HEX\""),
        arguments("k1", format),
        arguments("k1 xyz", ", line 1: the key is not a hexadecimal number of complete bytes"),
        arguments("k1 0011", ", line 1: the key has 2 bytes, expected at least 16"),
        arguments("k1 " + KEY + " more", format),
        arguments("k/1 " + KEY, format),
        arguments("k1 " + KEY + "\nk1 " + KEY, ", line 2: key id k1 is used more than once"));
  }

  @ParameterizedTest
  @MethodSource("invalidKeyFiles")
  void invalidKeyFileIsRejectedWithoutItsKeyInTheMessage(String invalid, String expected) {
    assertInvalidKeyFile(invalid, expected);
  }

  @Test
  void keyFileAboveTheMaximumSizeIsRejected() {
    assertInvalidKeyFile(
        ("k1 " + KEY + "\n").repeat(200), ": the file has 7200 bytes, at most 4096 allowed");
  }

  private void assertInvalidKeyFile(String invalid, String expected) {
    MembershipException.InvalidKeyFile failure =
        assertThrows(MembershipException.InvalidKeyFile.class, () -> readKeyring(invalid), invalid);
    assertEquals("[fleet] key: " + folder.resolve("keys") + expected, failure.getMessage());
    assertTrue(!failure.getMessage().contains(KEY), failure.getMessage());
  }

  /** Guards against a sender that has a valid key and signs a malformed datagram. */
  @Property(tries = 500)
  void signedMalformedDatagramIsRejected(@ForAll @Size(max = 200) byte[] body) throws Exception {
    HmacKeyring keyring =
        HmacKeyring.read(Files.writeString(Files.createTempFile("keys", ""), "k1 " + KEY));
    byte[] valid = codec.encode(longestMessage(0), keyring);
    int header = "stores".length() + "k1".length() + 3;
    byte[] bytes = Arrays.copyOf(valid, header + body.length);
    System.arraycopy(body, 0, bytes, header, body.length);
    byte[] signed = Arrays.copyOf(bytes, bytes.length + HmacKeyring.SIGNATURE_BYTES);
    System.arraycopy(keyring.sign(bytes), 0, signed, bytes.length, HmacKeyring.SIGNATURE_BYTES);
    assertEquals(
        RejectionReason.MALFORMED, rejectionReason(codec.decode(signed, keyring), "signed"));
  }
}
