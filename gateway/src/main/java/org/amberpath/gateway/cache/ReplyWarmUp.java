package org.amberpath.gateway.cache;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.ResponseDetail;

/**
 * Warms up the codec before the first request: encodes synthetic commands and parses replies to
 * them without a connection, so that the JIT compiler has compiled that code.
 */
public final class ReplyWarmUp implements ReplyReader.Sink {
  private static final byte[] REQUEST_ID = "9b1f03aa5c7e2d41".getBytes(StandardCharsets.ISO_8859_1);
  private static final String FIELDS =
      "res=h,entity=4be0c1927d55a6f3,issued=1764576000123,gauges=inflight:7;util:0.61";

  private final CacheCommand command = newCommand(0);
  private int parsed;

  private ReplyWarmUp() {}

  /** Encodes this number of commands and parses as many replies; returns how many were parsed. */
  public static int run(int commands) {
    ReplyWarmUp warmUp = new ReplyWarmUp();
    ReplyReader reader = new ReplyReader(FIELDS.length(), warmUp);
    for (int number = 0; number < commands; number++) {
      CacheCommand command = newCommand(number);
      command.encode(number);
      reader.handle(
          Buffer.buffer(
              "*4\r\n$16\r\n"
                  + command.requestId
                  + "\r\n$2\r\nok\r\n$"
                  + FIELDS.length()
                  + "\r\n"
                  + FIELDS
                  + "\r\n$0\r\n\r\n"));
    }
    return warmUp.parsed;
  }

  private static CacheCommand newCommand(long deadlineNanos) {
    byte[] fields = FIELDS.getBytes(StandardCharsets.ISO_8859_1);
    return new CacheCommand(REQUEST_ID, fields, REQUEST_ID, REQUEST_ID, deadlineNanos, List.of()) {
      @Override
      protected void onEnded(AttemptOutcome outcome, ResponseDetail note, Buffer body) {}
    };
  }

  @Override
  public void onReply(List<Buffer> elements) {
    try {
      CacheReply reply = CacheReply.decode(elements, command);
      parsed +=
          reply.outcome() == AttemptOutcome.SUCCEEDED && reply.note() == ResponseDetail.HIT ? 1 : 0;
    } catch (InvalidReplyException e) {
      onProtocolError(e.getMessage());
    }
  }

  @Override
  public void onProtocolError(String reason) {}
}
