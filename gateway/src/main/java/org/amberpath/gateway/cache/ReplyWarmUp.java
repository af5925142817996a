package org.amberpath.gateway.cache;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.amberpath.routing.RoutingEvents.Note;
import org.amberpath.routing.RoutingEvents.Outcome;

/**
 * Wants that go nowhere and replies that nobody sent: the code is warm when the first ones come.
 */
public final class ReplyWarmUp implements ReplyReader.Sink {
  private static final byte[] ID = "9b1f03aa5c7e2d41".getBytes(StandardCharsets.ISO_8859_1);
  private static final String FIELDS =
      "res=h,entity=4be0c1927d55a6f3,issued=1764576000123,gauges=inflight:7;util:0.61";

  private int read;

  private ReplyWarmUp() {}

  /** Encodes and reads so many; returns how many could be read. */
  public static int play(int many) {
    ReplyWarmUp sink = new ReplyWarmUp();
    ReplyReader reader = new ReplyReader(FIELDS.length(), sink);
    byte[] fields = FIELDS.getBytes(StandardCharsets.ISO_8859_1);
    for (int number = 0; number < many; number++) {
      CacheCommand want =
          new CacheCommand(ID, fields, ID, ID, number, List.of()) {
            @Override
            protected void ended(Outcome outcome, Note note, Buffer body) {}
          };
      want.encode(number);
      reader.handle(
          Buffer.buffer(
              "*4\r\n$16\r\n"
                  + want.key
                  + "\r\n$2\r\nok\r\n$"
                  + fields.length
                  + "\r\n"
                  + FIELDS
                  + "\r\n$0\r\n\r\n"));
    }
    return sink.read;
  }

  @Override
  public void reply(List<Buffer> elements) {
    read +=
        CacheConnection.outcome(elements, true) == Outcome.RETURNED
                && CacheConnection.note(CacheConnection.text(elements.get(2))) == Note.HIT
            ? 1
            : 0;
  }

  @Override
  public void unreadable(String why) {}
}
