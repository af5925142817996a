package org.amberpath.gateway.client;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import org.amberpath.gateway.transport.ReceiveBufferAccounting;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.core.MessagePack;

/** Framing of MessagePack from clients: all header widths, any segmentation, and the bounds. */
class MessageReaderTest implements MessageReader.Sink {
  private final List<byte[]> messages = new ArrayList<>();
  private final List<byte[]> discardedBeginnings = new ArrayList<>();
  private int discardedMessages;
  private final List<String> protocolErrors = new ArrayList<>();
  private final ReceiveBufferAccounting accounting = new ReceiveBufferAccounting(20_000);
  private final MessageReader reader = new MessageReader(5000, accounting, this);

  @Override
  public boolean onMessage(byte[] bytes, int start, int end) {
    messages.add(Arrays.copyOfRange(bytes, start, end));
    return true;
  }

  @Override
  public void onDiscarding(byte[] bytes, int end) {
    discardedBeginnings.add(Arrays.copyOf(bytes, end));
  }

  @Override
  public boolean onDiscarded() {
    discardedMessages++;
    return true;
  }

  @Override
  public void onProtocolError(String reason) {
    protocolErrors.add(reason);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 7, 64, 4000})
  void messagesAreCompleteHoweverTheyAreSplit(int segmentBytes) {
    byte[] stream =
        HexFormat.of()
            .parseHex("9301a3616263c4020d0a" + "94000793c0c2c380" + "c0" + "dd00000002a0c400");
    for (int offset = 0; offset < stream.length; offset += segmentBytes) {
      reader.handle(
          Buffer.buffer(
              Arrays.copyOfRange(stream, offset, Math.min(stream.length, offset + segmentBytes))));
    }
    assertEquals(List.of(10, 8, 1, 8), messages.stream().map(one -> one.length).toList());
    ByteArrayOutputStream joined = new ByteArrayOutputStream();
    messages.forEach(joined::writeBytes);
    assertArrayEquals(stream, joined.toByteArray());
  }

  @ParameterizedTest
  @CsvSource({"d9, c4, 81", "da00, c500, de0001", "db000000, c6000000, df00000001"})
  void everyWidthOfStringsBinariesAndMapsIsRead(
      String stringHeader, String binaryHeader, String mapHeader) throws Exception {
    String fields = mapHeader.substring(0, mapHeader.length() - 1) + "6";
    StringBuilder hex = new StringBuilder(fields);
    for (String[] field :
        new String[][] {
          {"ref", "9b1f03aa5c7e2d41"},
          {"allow", "1500"},
          {"tag", "17"},
          {"lookup", "ffffffffffffffff"},
          {"chunk", "3"},
          {"room", "412.5"}
        }) {
      for (String text : field) {
        hex.append(stringHeader).append(String.format("%02x", text.length()));
        hex.append(HexFormat.of().formatHex(text.getBytes(StandardCharsets.US_ASCII)));
      }
    }
    byte[] bytes = HexFormat.of().parseHex(hex + binaryHeader + "020d0a");
    DecodedRequest request =
        RequestFields.read("parts", MessagePack.newDefaultUnpacker(bytes), true);
    assertEquals(-1, request.objectId());
    assertEquals(
        List.of(3, 17, 1_500_000_000L, 412.5),
        List.of(
            request.partNumber(), request.purgeGroup(), request.timeoutNanos(), request.sizeKb()));
    assertArrayEquals(new byte[] {13, 10}, request.body().array());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "a161|not fields and a body|parameters: got STRING, expected ARRAY of 1 or 2: fields,"
            + " optionally a body",
        "93c0c0c0|not fields and a body|parameters: got ARRAY of 3, expected ARRAY of 1 or 2:"
            + " fields, optionally a body",
        "91c0|fields: not a map|got NIL",
        "91de0041|fields: more than 64|got 65",
        "9182a16ba131a16ba132|fields: one key twice|got \"k\" again",
        "9181a3726566c0|ref: not a string|got NIL",
        "9181a66c6f6f6b7570a3016667|lookup: not 16 hex digits|got \"?fg\"",
        "9280a3616263|body: not bytes|got STRING",
      })
  void invalidRequestSendsTheReasonAndLogsADetail(String hex, String reason, String detail) {
    byte[] parameters = HexFormat.of().parseHex(hex);
    RequestDecoder decoder = new RequestDecoder(parameters, 0, parameters.length);
    InvalidRequestException failure =
        assertThrows(InvalidRequestException.class, () -> decoder.readRequest("parts"));
    assertEquals(reason, failure.getMessage());
    assertEquals(reason + ": " + detail, failure.logText());
  }

  @ParameterizedTest
  @CsvSource({"c0, got NIL", "d941, got 65 bytes"})
  void invalidMethodSendsTheReasonAndLogsADetail(String hex, String detail) {
    byte[] method = HexFormat.of().parseHex(hex);
    RequestDecoder decoder = new RequestDecoder(method, 0, method.length);
    InvalidRequestException failure =
        assertThrows(InvalidRequestException.class, decoder::readMethod);
    assertEquals("method: not a string of up to 64 bytes", failure.getMessage());
    assertEquals(failure.getMessage() + ": " + detail, failure.logText());
  }

  @Test
  void messageOfAnotherTypeIsLoggedWithTheExpectedOnes() {
    byte[] message = HexFormat.of().parseHex("9305c0c0");
    ProtocolException failure =
        assertThrows(
            ProtocolException.class,
            () -> new RequestDecoder(message, 0, message.length).readKind());
    assertEquals(
        "message: got type 5 with 3 elements, expected a request (type 0, 4 elements) or a"
            + " notification (2, 3)",
        failure.getMessage());
  }

  @Test
  void tooLongMessageIsRejectedWhenItIsDeclared() {
    reader.handle(Buffer.buffer(HexFormat.of().parseHex("92c67fffff")));
    assertTrue(protocolErrors.isEmpty());
    reader.handle(Buffer.buffer(new byte[1]));
    assertEquals(List.of("message longer than 5000 bytes"), protocolErrors);
  }

  @ParameterizedTest
  @ValueSource(strings = {"91", "8100", "dd7fffffff", "df7fffffff"})
  void deepNestingAndTooManyValuesAreRejected(String repeatedHex) {
    for (int repetition = 0; repetition < 600; repetition++) {
      reader.handle(Buffer.buffer(HexFormat.of().parseHex(repeatedHex)));
    }
    assertEquals(List.of("message of more than 512 values"), protocolErrors);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 5, 6, 9, 100, 4500})
  void messageWhoseBufferIsReleasedIsDiscardedUpToItsEnd(int bufferedBytes) {
    byte[] message =
        HexFormat.of().parseHex("9307d91e" + "61".repeat(30) + "c51194" + "62".repeat(4500));
    byte[] next = HexFormat.of().parseHex("920102");
    reader.handle(Buffer.buffer(Arrays.copyOf(message, bufferedBytes)));

    reader.releaseBuffer();
    reader.handle(
        Buffer.buffer(Arrays.copyOfRange(message, bufferedBytes, message.length))
            .appendBytes(next));

    assertArrayEquals(Arrays.copyOf(message, bufferedBytes), discardedBeginnings.get(0));
    assertEquals(1, discardedMessages);
    assertEquals(1, messages.size());
    assertArrayEquals(next, messages.get(0));
    assertTrue(protocolErrors.isEmpty());
  }

  /** Guards against a heap that is exhausted by partial messages of many connections. */
  @Test
  void partialMessageWithoutProgressForLongestIsDiscardedAboveTheBoundOfAllReaders() {
    MessageReader other = new MessageReader(50_000, accounting, this);
    byte[] header = HexFormat.of().parseHex("92c54000");
    byte[] partial = Arrays.copyOf(HexFormat.of().parseHex("91c51300"), 4500);
    reader.handle(Buffer.buffer(partial));

    other.handle(Buffer.buffer(header));
    other.handle(Buffer.buffer(new byte[15_000]));

    assertEquals(0, discardedBeginnings.size());
    other.handle(Buffer.buffer(new byte[1000]));
    assertEquals(1, discardedBeginnings.size());
    assertArrayEquals(partial, discardedBeginnings.get(0));
    assertTrue(reader.hasPartialMessage());
    assertTrue(protocolErrors.isEmpty());
  }

  @Test
  void warmUpDecodesWhatItEncodes() {
    assertEquals(20, RequestWarmUp.run(20));
  }

  @Test
  void nothingIsReadAfterAProtocolError() throws IOException {
    reader.handle(Buffer.buffer(HexFormat.of().parseHex("c1")));
    reader.handle(Buffer.buffer(HexFormat.of().parseHex("c0")));
    assertEquals(1, protocolErrors.size());
    assertTrue(messages.isEmpty());
  }
}
