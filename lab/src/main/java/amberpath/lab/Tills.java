package amberpath.lab;

import amberpath.msgpack.MessageReader;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Clients of one gateway that send on a schedule whatever comes back. Latency counts from when a GET was to be sent.
 *
 * <p>Bounds: GETs that are open, since each ends at its viewer timeout and some more.
 */
public final class Tills {
  /** How GETs ended, in the order of how good that is. */
  public enum End { RETURNED, SHED, ERRORED, LOST, TWICE }

  /** One GET that was returned: its object, when the copy was given out (Unix ms) and when it came (nanoTime). */
  public record Returned(String object, long issuedMs, long cameAt, long sentAt) {
  }

  private static final class Open {
    final long due, sentAt;
    final String object;

    Open(long due, long sentAt, String object) {
      this.due = due;
      this.sentAt = sentAt;
      this.object = object;
    }
  }

  private static final int LONGEST = 400_000, OBJECTS = 64;
  private static final long MS = 1_000_000, GRACE = 50 * MS, HIGHEST_US = 10_000_000;

  private final Vertx vertx;
  private final SplittableRandom chance;
  private final String service;
  private final long allowMs;
  private final Consumer<Returned> returned;
  private final List<NetSocket> sockets = new ArrayList<>();
  private final Map<Long, Open> open = new HashMap<>();
  private final Map<Long, Long> answered = new HashMap<>();
  private final long[] ends = new long[End.values().length];
  private final Histogram latency = new Histogram(HIGHEST_US, 3);
  private final Histogram lateness = new Histogram(HIGHEST_US, 3);
  private NetClient client;
  private long last, next, interval, timer = -1;

  /** Clients of one delivery service, who wait allowMs for each GET; each that is returned is told. */
  public Tills(Vertx vertx, String service, long allowMs, long seed, Consumer<Returned> returned) {
    this.vertx = vertx;
    this.service = service;
    this.allowMs = allowMs;
    this.returned = returned;
    chance = new SplittableRandom(seed);
  }

  /** Connects so many tills, and sends so many GETs a second from then on. */
  public Future<Void> start(int port, int connections, int rate) {
    client = vertx.createNetClient();
    List<Future<?>> all = new ArrayList<>();
    for (int one = 0; one < connections; one++) {
      all.add(client.connect(port, "127.0.0.1").onSuccess(this::take));
    }
    return Future.all(all).map(up -> {
      interval = 1_000_000_000L / rate;
      next = System.nanoTime();
      timer = vertx.setPeriodic(1, tick -> tick());
      return null;
    });
  }

  /** Sends nothing more; what is open is waited for. */
  public void stop() {
    vertx.cancelTimer(timer);
    timer = -1;
  }

  /** Ends those whose time is over. */
  public void settle() {
    long now = System.nanoTime();
    open.entrySet().removeIf(entry -> {
      boolean lost = now > entry.getValue().due + GRACE;
      if (lost) {
        ends[End.LOST.ordinal()]++;
        answered.put(entry.getKey(), now);
      }
      return lost;
    });
    // An answer that comes this long after the first is counted no more.
    answered.values().removeIf(at -> now - at > 10_000 * MS);
  }

  public int open() {
    return open.size();
  }

  public long ended(End how) {
    return ends[how.ordinal()];
  }

  /** Microseconds from the intended sending to the answer, of what was returned. */
  public Histogram latency() {
    return latency;
  }

  /** Microseconds by which these clients themselves were late in sending. */
  public Histogram lateness() {
    return lateness;
  }

  private void tick() {
    long now = System.nanoTime();
    for (; next <= now; next += interval) {
      lateness.recordValue(Math.min(HIGHEST_US, (now - next) / 1000));
      send(next, now);
    }
    settle();
  }

  private void send(long intended, long now) {
    long number = ++last & 0xffff_ffffL;
    double skewed = chance.nextDouble();
    String object = String.format("%016x", 1 + (long) (skewed * skewed * OBJECTS));
    open.put(number, new Open(now + allowMs * MS, intended, object));
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      Map<String, String> fields = Map.of("ref", String.format("%016x", number), "lookup", object, "allow",
          Long.toString(allowMs), "chunk", Integer.toString(chance.nextInt(4)), "tag", "17", "room", "4.5");
      packer.packArrayHeader(4).packInt(0).packLong(number).packString(service).packArrayHeader(2)
          .packMapHeader(fields.size());
      for (Map.Entry<String, String> field : fields.entrySet()) {
        packer.packString(field.getKey()).packString(field.getValue());
      }
      packer.packBinaryHeader(0);
      sockets.get((int) (number % sockets.size())).write(Buffer.buffer(packer.toByteArray()));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void take(NetSocket socket) {
    sockets.add(socket);
    socket.exceptionHandler(e -> { });
    socket.handler(new MessageReader(LONGEST, new MessageReader.Sink() {
      @Override public boolean message(byte[] bytes, int start, int end) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes, start, end - start)) {
          answer(in);
          return true;
        } catch (IOException e) {
          throw new UncheckedIOException(e);
        }
      }

      @Override public void unreadable(String why) {
        socket.close();
      }
    }));
  }

  private void answer(MessageUnpacker in) throws IOException {
    in.unpackArrayHeader();
    in.unpackInt();
    long number = in.unpackLong(), now = System.nanoTime();
    Open get = open.remove(number);
    if (get == null) {
      ends[End.TWICE.ordinal()] += answered.containsKey(number) ? 1 : 0;
      return;
    }
    answered.put(number, now);
    if (!in.tryUnpackNil()) {
      in.unpackArrayHeader();
      ends[(in.unpackString().equals("Overloaded") ? End.SHED : End.ERRORED).ordinal()]++;
      return;
    }
    in.unpackArrayHeader();
    String body = new String(in.readPayload(in.unpackBinaryHeader()), StandardCharsets.ISO_8859_1);
    ends[End.RETURNED.ordinal()]++;
    latency.recordValue(Math.min(HIGHEST_US, (now - get.sentAt) / 1000));
    returned.accept(new Returned(get.object, Long.parseLong(body.substring(body.indexOf('@') + 1)), now,
        get.sentAt));
  }
}
