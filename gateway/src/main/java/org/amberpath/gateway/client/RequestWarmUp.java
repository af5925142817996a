package org.amberpath.gateway.client;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.amberpath.gateway.transport.ReceiveBufferAccounting;

/**
 * Warms up the codec before the first client connects: decodes synthetic requests and encodes their
 * responses without a connection, so that the JIT compiler has compiled that code.
 */
public final class RequestWarmUp implements MessageReader.Sink {
  private static final byte[] STATUS_REQUEST = bytes("\u0094\0\u0009\u00a6status\u0091\u0080");
  private static final byte[] PART_REQUEST =
      bytes(
          "\u0094\0\7\u00a5parts\u0092\u0086"
              + "\u00a3ref\u00b09b1f03aa5c7e2d41\u00a5allow\u00a41500"
              + "\u00a6lookup\u00b07f3a9c21e0b4d655\u00a5chunk\u00a13"
              + "\u00a3tag\u00a217\u00a4room\u00a5412.5\u00c4\0");

  private int decoded;

  private RequestWarmUp() {}

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Returns an encoded status request, which asks whether the gateway is ready. */
  public static Buffer statusRequest() {
    return Buffer.buffer(STATUS_REQUEST);
  }

  /** Decodes this number of requests and encodes responses; returns how many were decoded. */
  public static int run(int requests) {
    RequestWarmUp warmUp = new RequestWarmUp();
    MessageReader reader =
        new MessageReader(
            PART_REQUEST.length, new ReceiveBufferAccounting(PART_REQUEST.length), warmUp);
    for (int request = 0; request < requests; request++) {
      reader.handle(Buffer.buffer(PART_REQUEST));
    }
    return warmUp.decoded;
  }

  @Override
  public boolean onMessage(byte[] bytes, int start, int end) {
    try (RequestDecoder decoder = new RequestDecoder(bytes, start, end)) {
      decoder.readKind();
      long messageId = decoder.readMessageId();
      decoder.readRequest(decoder.readMethod());
      ResponseEncoder.body(messageId, Buffer.buffer(PART_REQUEST));
      decoded++;
      return true;
    } catch (IOException | InvalidRequestException e) {
      return false;
    }
  }

  @Override
  public void onProtocolError(String reason) {}
}
