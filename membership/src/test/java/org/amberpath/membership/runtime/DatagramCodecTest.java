package org.amberpath.membership.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Collections;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.amberpath.membership.GossipMessage;
import org.amberpath.membership.GossipMessage.Kind;
import org.amberpath.membership.MemberStatus;
import org.amberpath.membership.MemberUpdate;
import org.amberpath.membership.SwimTimings;
import org.amberpath.membership.runtime.DecodedDatagram.Fault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that encoded messages are decoded unchanged, and that all other datagrams are rejected. */
class DatagramCodecTest {
  private static final String KEY = "0123456789abcdef0123456789abcdef";
  private static final String OTHER_KEY = "ffffffffffffffffffffffffffffffff";
  private static final int MAX_UPDATES = SwimTimings.defaults(1).maxUpdatesPerMessage();

  private final DatagramCodec codec = new DatagramCodec("stores", MAX_UPDATES);
  @TempDir private Path folder;

  private HmacKeyring keyring(String text) throws Exception {
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

  private static GossipMessage message(DecodedDatagram decoded) {
    return assertInstanceOf(DecodedDatagram.Gossip.class, decoded).message();
  }

  private static Fault fault(DecodedDatagram decoded, String what) {
    return assertInstanceOf(DecodedDatagram.Rejected.class, decoded, what).fault();
  }

  @Test
  void longestMessageFitsIntoADatagramAndIsDecodedAsItWas() throws Exception {
    DatagramCodec longestHeader = new DatagramCodec("f".repeat(32), MAX_UPDATES);
    HmacKeyring keys = keyring("k".repeat(16) + " " + KEY);
    GossipMessage message = longestMessage(MAX_UPDATES);
    byte[] datagram = longestHeader.encode(message, keys);
    assertTrue(datagram.length <= DatagramCodec.MAX_DATAGRAM_BYTES, "" + datagram.length);
    assertEquals(message, message(longestHeader.decode(datagram, keys)));
  }

  @Test
  void datagramOfAnotherFleetOrKeyOrChangedOnTheWayIsRejected() throws Exception {
    HmacKeyring keys = keyring("k1 " + KEY);
    byte[] datagram = codec.encode(longestMessage(2), keys);
    DatagramCodec otherFleet = new DatagramCodec("other", 10);
    assertEquals(Fault.OTHER_FLEET, fault(otherFleet.decode(datagram, keys), "fleet"));
    assertEquals(Fault.OTHER_KEY, fault(codec.decode(datagram, keyring("k2 " + KEY)), "id"));
    assertEquals(Fault.FORGED, fault(codec.decode(datagram, keyring("k1 " + OTHER_KEY)), "key"));
    for (int at = 0; at < datagram.length; at++) {
      byte[] changed = datagram.clone();
      changed[at] ^= 1;
      fault(codec.decode(changed, keys), "byte " + at);
      fault(codec.decode(Arrays.copyOf(datagram, at), keys), "cut at " + at);
    }
    fault(codec.decode(Arrays.copyOf(datagram, datagram.length + 1), keys), "a byte more");
  }

  @Test
  void firstKeyOfAFileSignsAndEachVerifies() throws Exception {
    HmacKeyring before = keyring("k1 " + KEY);
    HmacKeyring both = keyring("# new\nk2 " + OTHER_KEY + "\nk1 " + KEY + "\n");
    GossipMessage message = longestMessage(1);
    assertEquals(message, message(codec.decode(codec.encode(message, before), both)));
    assertEquals("k2", both.signingKeyId());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "k1",
        "k1 xyz",
        "k1 0011",
        "k1 " + KEY + " more",
        "k/1 " + KEY,
        "k1 " + KEY + "\nk1 " + KEY
      })
  void invalidKeyFileIsRejectedWithoutItsKeyInTheMessage(String invalid) {
    assertInvalidKeyFile(invalid);
  }

  @Test
  void keyFileOverItsSizeIsRejected() {
    assertInvalidKeyFile(("k1 " + KEY + "\n").repeat(200));
  }

  private void assertInvalidKeyFile(String invalid) {
    MembershipException.InvalidKeyFile failure =
        assertThrows(MembershipException.InvalidKeyFile.class, () -> keyring(invalid), invalid);
    assertTrue(failure.getMessage().startsWith("[fleet] key: "), failure.getMessage());
    assertTrue(!failure.getMessage().contains(KEY), failure.getMessage());
  }

  /** Guards against a sender that has a valid key and signs a malformed datagram. */
  @Property(tries = 500)
  void signedDatagramOfAnotherFormIsRejected(@ForAll @Size(max = 200) byte[] body)
      throws Exception {
    HmacKeyring keys =
        HmacKeyring.read(Files.writeString(Files.createTempFile("keys", ""), "k1 " + KEY));
    byte[] valid = codec.encode(longestMessage(0), keys);
    int header = "stores".length() + "k1".length() + 3;
    byte[] bytes = Arrays.copyOf(valid, header + body.length);
    System.arraycopy(body, 0, bytes, header, body.length);
    byte[] signed = Arrays.copyOf(bytes, bytes.length + HmacKeyring.SIGNATURE_BYTES);
    System.arraycopy(keys.sign(bytes), 0, signed, bytes.length, HmacKeyring.SIGNATURE_BYTES);
    assertEquals(Fault.UNREADABLE, fault(codec.decode(signed, keys), "signed"));
  }
}
