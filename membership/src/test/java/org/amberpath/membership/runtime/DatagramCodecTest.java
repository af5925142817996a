package org.amberpath.membership.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.amberpath.membership.GossipMessage;
import org.amberpath.membership.GossipMessage.Kind;
import org.amberpath.membership.MemberStatus;
import org.amberpath.membership.MemberUpdate;
import org.amberpath.membership.SwimTimings;
import org.amberpath.membership.runtime.DatagramCodec.Fault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A datagram's form: what goes in comes out, and nothing else does. */
class DatagramCodecTest {
  private static final String KEY = "0123456789abcdef0123456789abcdef", OTHER = "ff".repeat(16);
  private final DatagramCodec form =
      new DatagramCodec("stores", SwimTimings.defaults(1).maxUpdatesPerMessage());
  @TempDir private Path folder;

  private HmacKeyring keys(String text) throws Exception {
    return HmacKeyring.read(Files.writeString(folder.resolve("keys"), text));
  }

  private static MemberUpdate longest(MemberStatus standing) {
    String name = "n".repeat(32);
    return new MemberUpdate(
        name, "255.255.255.255:65535", Long.MAX_VALUE, Long.MIN_VALUE, standing, name);
  }

  private static GossipMessage longest(int rumours) {
    return new GossipMessage(
        Kind.PAGE,
        longest(MemberStatus.ALIVE),
        Long.MIN_VALUE,
        Long.MAX_VALUE,
        Long.MIN_VALUE,
        Long.MIN_VALUE,
        Long.MIN_VALUE,
        "n".repeat(32),
        true,
        true,
        Collections.nCopies(rumours, longest(MemberStatus.LOST)));
  }

  @Test
  void theLongestFitsAndComesBackAsItWas() throws Exception {
    DatagramCodec longest =
        new DatagramCodec("f".repeat(32), SwimTimings.defaults(1).maxUpdatesPerMessage());
    HmacKeyring keys = keys("k".repeat(16) + " " + KEY);
    GossipMessage message = longest(SwimTimings.defaults(1).maxUpdatesPerMessage());
    byte[] bytes = longest.encode(message, keys);
    assertTrue(bytes.length <= DatagramCodec.MAX_DATAGRAM_BYTES, "" + bytes.length);
    assertEquals(message, longest.decode(bytes, keys).message());
  }

  @Test
  void whatIsOfAnotherFleetOrKeyOrChangedIsToldApart() throws Exception {
    HmacKeyring keys = keys("k1 " + KEY);
    byte[] bytes = form.encode(longest(2), keys);
    assertEquals(Fault.OTHER_FLEET, new DatagramCodec("other", 10).decode(bytes, keys).fault());
    assertEquals(Fault.OTHER_KEY, form.decode(bytes, keys("k2 " + KEY)).fault());
    assertEquals(Fault.FORGED, form.decode(bytes, keys("k1 " + OTHER)).fault());
    for (int at = 0; at < bytes.length; at++) {
      byte[] changed = bytes.clone();
      changed[at] ^= 1;
      assertNotNull(form.decode(changed, keys).fault(), "byte " + at);
      assertNotNull(form.decode(Arrays.copyOf(bytes, at), keys).fault(), "cut at " + at);
    }
    assertNotNull(form.decode(Arrays.copyOf(bytes, bytes.length + 1), keys).fault());
  }

  @Test
  void oneKeyFollowsAnotherWithoutAGap() throws Exception {
    HmacKeyring before = keys("k1 " + KEY),
        both = keys("# new\nk2 " + OTHER + "\nk1 " + KEY + "\n");
    assertNotNull(form.decode(form.encode(longest(1), before), both).message());
    assertEquals("k2", both.first());
  }

  @Test
  void aFileOfKeysIsReadStrictly() {
    for (String wrong :
        List.of(
            "",
            "k1",
            "k1 xyz",
            "k1 0011",
            "k1 " + KEY + " more",
            "k/1 " + KEY,
            "k1 " + KEY + "\nk1 " + KEY,
            ("k1 " + KEY + "\n").repeat(200))) {
      HmacKeyring.Faulty faulty = assertThrows(HmacKeyring.Faulty.class, () -> keys(wrong), wrong);
      assertTrue(
          faulty.getMessage().startsWith("[fleet] key: ") && !faulty.getMessage().contains(KEY),
          faulty.getMessage());
    }
  }

  /** A holder of the key may still send what can't be read. */
  @Property(tries = 500)
  void whatIsSignedAndUnreadableCostsNothingButACount(@ForAll @Size(max = 200) byte[] behind)
      throws Exception {
    HmacKeyring keys =
        HmacKeyring.read(Files.writeString(Files.createTempFile("keys", ""), "k1 " + KEY));
    byte[] good = form.encode(longest(0), keys);
    int header = "stores".length() + "k1".length() + 3;
    byte[] bytes = Arrays.copyOf(good, header + behind.length);
    System.arraycopy(behind, 0, bytes, header, behind.length);
    byte[] whole = Arrays.copyOf(bytes, bytes.length + HmacKeyring.LENGTH);
    System.arraycopy(keys.sign(bytes), 0, whole, bytes.length, HmacKeyring.LENGTH);
    assertEquals(Fault.UNREADABLE, form.decode(whole, keys).fault());
  }
}
