package org.amberpath.membership.runtime;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.amberpath.membership.GossipMessage;
import org.amberpath.membership.GossipMessage.Kind;
import org.amberpath.membership.MemberStatus;
import org.amberpath.membership.MemberUpdate;
import org.amberpath.membership.runtime.DatagramCodec.UserMessage;
import org.junit.jupiter.api.Test;

/** Datagrams of version 1, as released code signed them, stay readable and are written alike. */
class DatagramCodecGoldenTest {
  /** A kind and its datagram in hexadecimal to a line; written by the code of 7587aa7. */
  private static final String GOLDEN = "/gossip-datagrams-1";

  private static final String LETTER = "LETTER";
  private static final MemberUpdate FROM =
      new MemberUpdate("g-1", "192.0.2.1:7946", 3, 1700000000123L, MemberStatus.ALIVE, "g-1");
  private static final byte[] BODY = "body".getBytes(StandardCharsets.US_ASCII);
  private static final long LETTER_TO = 99, LETTER_SERIAL = 1L << 33;

  private final DatagramCodec codec = new DatagramCodec("stores", 8);
  private final HmacKeyring keys =
      HmacKeyring.of("k1", HexFormat.of().parseHex("0123456789abcdef0123456789abcdef"));

  /** One update for each status, in the order that their numbers on the wire have. */
  private static List<MemberUpdate> updates() {
    List<MemberUpdate> updates = new ArrayList<>();
    for (MemberStatus status :
        List.of(MemberStatus.ALIVE, MemberStatus.SUSPECTED, MemberStatus.LOST, MemberStatus.LEFT)) {
      int at = updates.size();
      String address = "192.0.2." + (10 + at) + ":7946";
      updates.add(new MemberUpdate("r" + at, address, at * 1000L, -1L - at, status, "g-2"));
    }
    return updates;
  }

  private static GossipMessage message(Kind kind, int number) {
    boolean ask = kind == Kind.ASK;
    boolean page = kind == Kind.PAGE;
    List<MemberUpdate> updates = ask ? List.of() : updates().subList(0, page ? 4 : 1);
    return new GossipMessage(
        kind,
        FROM,
        -42,
        17 + number,
        1L << 40,
        0x123456789abcdefL,
        -7,
        ask ? "g-9" : null,
        page,
        page,
        updates);
  }

  private static Map<String, GossipMessage> said() {
    Map<String, GossipMessage> said = new LinkedHashMap<>();
    for (Kind kind : List.of(Kind.PING, Kind.ACK, Kind.ASK, Kind.NACK, Kind.SYNC, Kind.PAGE)) {
      said.put(kind.name(), message(kind, said.size()));
    }
    return said;
  }

  private static Map<String, byte[]> golden() throws IOException {
    Map<String, byte[]> datagrams = new LinkedHashMap<>();
    try (InputStream in = DatagramCodecGoldenTest.class.getResourceAsStream(GOLDEN)) {
      String text = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
      text.lines()
          .forEach(
              line -> {
                int end = line.indexOf(' ');
                byte[] datagram = HexFormat.of().parseHex(line, end + 1, line.length());
                datagrams.put(line.substring(0, end), datagram);
              });
    }
    return datagrams;
  }

  @Test
  void messagesOfAnEarlierReleaseAreReadAsWhatTheySaid() throws IOException {
    Map<String, byte[]> golden = golden();
    golden.remove(LETTER);
    Map<String, GossipMessage> read = new LinkedHashMap<>();
    golden.forEach((kind, datagram) -> read.put(kind, codec.decode(datagram, keys).message()));
    assertEquals(said(), read);
  }

  @Test
  void aLetterOfAnEarlierReleaseIsReadAsWhatItSaid() throws IOException {
    DatagramCodec.DecodedDatagram read = codec.decode(golden().get(LETTER), keys);
    assertNull(read.fault());
    assertEquals(FROM, read.letter().from());
    assertEquals(LETTER_TO, read.letter().to());
    assertEquals(LETTER_SERIAL, read.letter().serial());
    assertArrayEquals(BODY, read.letter().body());
  }

  @Test
  void theSameBytesAreWritten() throws IOException {
    Map<String, byte[]> golden = golden();
    said()
        .forEach(
            (kind, said) -> assertArrayEquals(golden.get(kind), codec.encode(said, keys), kind));
    UserMessage letter = new UserMessage(FROM, LETTER_TO, LETTER_SERIAL, BODY);
    assertArrayEquals(golden.get(LETTER), codec.encode(letter, keys), LETTER);
  }
}
