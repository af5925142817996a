package org.amberpath.membership.runtime;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

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
import org.junit.jupiter.api.Test;

/** Checks that datagrams of format version 1 are decoded and encoded as by an earlier release. */
class DatagramCodecGoldenTest {
  /** Each line holds a kind and its datagram in hexadecimal; written by commit 7587aa7. */
  private static final String GOLDEN_FILE = "/gossip-datagrams-1";

  /** The kind of a user message in the golden file. */
  private static final String USER_MESSAGE_KIND = "LETTER";

  private static final MemberUpdate SENDER =
      new MemberUpdate("g-1", "192.0.2.1:7946", 3, 1700000000123L, MemberStatus.ALIVE, "g-1");
  private static final byte[] BODY = "body".getBytes(StandardCharsets.US_ASCII);
  private static final long RECIPIENT_INSTANCE_ID = 99;
  private static final long SEQUENCE_NUMBER = 1L << 33;

  private final DatagramCodec codec = new DatagramCodec("stores", 8);
  private final HmacKeyring keyring =
      HmacKeyring.of("k1", HexFormat.of().parseHex("0123456789abcdef0123456789abcdef"));

  /** Returns one update per status, in the order of the status ordinals on the wire. */
  private static List<MemberUpdate> updates() {
    List<MemberUpdate> updates = new ArrayList<>();
    for (MemberStatus status :
        List.of(MemberStatus.ALIVE, MemberStatus.SUSPECTED, MemberStatus.LOST, MemberStatus.LEFT)) {
      int index = updates.size();
      String address = "192.0.2." + (10 + index) + ":7946";
      updates.add(
          new MemberUpdate("r" + index, address, index * 1000L, -1L - index, status, "g-2"));
    }
    return updates;
  }

  private static GossipMessage message(Kind kind, int number) {
    boolean ask = kind == Kind.ASK;
    boolean page = kind == Kind.PAGE;
    List<MemberUpdate> updates = ask ? List.of() : updates().subList(0, page ? 4 : 1);
    return new GossipMessage(
        kind,
        SENDER,
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

  private static Map<String, GossipMessage> messages() {
    Map<String, GossipMessage> messages = new LinkedHashMap<>();
    for (Kind kind : List.of(Kind.PING, Kind.ACK, Kind.ASK, Kind.NACK, Kind.SYNC, Kind.PAGE)) {
      messages.put(kind.name(), message(kind, messages.size()));
    }
    return messages;
  }

  private static Map<String, byte[]> readGoldenFile() throws IOException {
    Map<String, byte[]> datagrams = new LinkedHashMap<>();
    try (InputStream in = DatagramCodecGoldenTest.class.getResourceAsStream(GOLDEN_FILE)) {
      String text = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
      text.lines()
          .forEach(
              line -> {
                int separator = line.indexOf(' ');
                byte[] datagram = HexFormat.of().parseHex(line, separator + 1, line.length());
                datagrams.put(line.substring(0, separator), datagram);
              });
    }
    return datagrams;
  }

  private GossipMessage decodeGossip(byte[] datagram) {
    DecodedDatagram decoded = codec.decode(datagram, keyring);
    return assertInstanceOf(DecodedDatagram.Gossip.class, decoded).message();
  }

  @Test
  void gossipOfAnEarlierReleaseIsDecodedUnchanged() throws IOException {
    Map<String, byte[]> golden = readGoldenFile();
    golden.remove(USER_MESSAGE_KIND);
    Map<String, GossipMessage> decoded = new LinkedHashMap<>();
    golden.forEach((kind, datagram) -> decoded.put(kind, decodeGossip(datagram)));
    assertEquals(messages(), decoded);
  }

  @Test
  void userMessageOfAnEarlierReleaseIsDecodedUnchanged() throws IOException {
    DecodedDatagram decoded = codec.decode(readGoldenFile().get(USER_MESSAGE_KIND), keyring);
    UserMessage message = assertInstanceOf(DecodedDatagram.User.class, decoded).message();
    assertEquals(SENDER, message.sender());
    assertEquals(RECIPIENT_INSTANCE_ID, message.recipientInstanceId());
    assertEquals(SEQUENCE_NUMBER, message.sequenceNumber());
    assertArrayEquals(BODY, message.body());
  }

  @Test
  void eachKindIsEncodedAsInAnEarlierRelease() throws IOException {
    Map<String, byte[]> golden = readGoldenFile();
    messages()
        .forEach(
            (kind, message) ->
                assertArrayEquals(golden.get(kind), codec.encode(message, keyring), kind));
    UserMessage message = new UserMessage(SENDER, RECIPIENT_INSTANCE_ID, SEQUENCE_NUMBER, BODY);
    assertArrayEquals(
        golden.get(USER_MESSAGE_KIND), codec.encode(message, keyring), USER_MESSAGE_KIND);
  }
}
