package org.amberpath.lab;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.HdrHistogram.Histogram;
import org.amberpath.gateway.client.MessageReader;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Clients of one gateway that send on a schedule whatever comes back. Latency counts from when a
 * GET was to be sent.
 *
 * <p>Bounds: GETs that are open, since each ends at its viewer timeout and some more.
 */
public final class LoadGenerator {
  /** How GETs ended, in the order of how good that is. */
  public enum End {
    RETURNED,
    SHED,
    ERRORED,
    LOST,
    TWICE
  }

  /**
   * One GET that was returned: its object, when the copy was given out (Unix ms) and when it came
   * (nanoTime).
   */
  public record Returned(String object, long issuedMs, long cameAt, long sentAt) {}

  /** Whether a GET that got no answer is nobody's fault, by when it was sent and due (nanoTime). */
  public interface Excuse {
    boolean holds(long sentAt, long due);
  }

  private static final class Open {
    final long due, sentAt;
    final String object;
    final Line on;

    Open(long due, long sentAt, String object, Line on) {
      this.due = due;
      this.sentAt = sentAt;
      this.object = object;
      this.on = on;
    }
  }

  /** One till's connection; null while it is made anew. */
  private static final class Line {
    NetSocket socket;
    int open;
  }

  /** The protocol's own bound of what may be open on a connection. */
  private static final int MOST_OPEN = 32;

  private static final int LONGEST = 400_000, OBJECTS = 64, AGAIN_MS = 100;
  private static final long MS = 1_000_000, GRACE = 50 * MS, HIGHEST_US = 10_000_000;

  private final Vertx vertx;
  private final SplittableRandom chance;
  private final String service;
  private final long allowMs;

  /** The first half of all ids: those of other tills are others. */
  private final int mine;

  private final Consumer<Returned> returned;
  private final List<Line> lines = new ArrayList<>();
  private final Map<Long, Open> open = new HashMap<>();
  private final Map<Long, Long> answered = new HashMap<>();
  private final Map<End, Long> ends = new EnumMap<>(End.class);
  private final Histogram latency = new Histogram(HIGHEST_US, 3);
  private final Histogram lateness = new Histogram(HIGHEST_US, 3);
  private NetClient client;
  private Excuse excuse = (sentAt, due) -> false;
  private LongConsumer sending = at -> {};
  private long excused, unsent, settledAt = System.nanoTime();
  private boolean stopped;

  /** Of each object, how likely it or one before it is asked for; null for the usual few. */
  private double[] cumulative;

  private long last, next, interval, timer = -1;

  /**
   * Clients of one delivery service, who wait allowMs for each GET; each that is returned is told.
   */
  public LoadGenerator(
      Vertx vertx, String service, long allowMs, long seed, Consumer<Returned> returned) {
    this.vertx = vertx;
    this.service = service;
    this.allowMs = allowMs;
    this.returned = returned;
    chance = new SplittableRandom(seed);
    mine = chance.nextInt();
  }

  /** GETs whose loss is excused are counted apart. */
  public LoadGenerator excusing(Excuse one) {
    excuse = one;
    return this;
  }

  /** Tells when each GET was to be sent (nanoTime). */
  public LoadGenerator counting(LongConsumer one) {
    sending = one;
    return this;
  }

  /** Asks for so many objects, by Zipf's law with this exponent. */
  public LoadGenerator spread(int objects, double exponent) {
    cumulative = new double[objects];
    double sum = 0;
    for (int object = 0; object < objects; object++) {
      sum += Math.pow(object + 1, -exponent);
      cumulative[object] = sum;
    }
    for (int object = 0; object < objects; object++) {
      cumulative[object] /= sum;
    }
    return this;
  }

  private long object(double drawn) {
    if (cumulative == null) {
      return 1 + (long) (drawn * drawn * OBJECTS);
    }
    int at = Arrays.binarySearch(cumulative, drawn);
    return 1L + Math.min(cumulative.length - 1, at < 0 ? -at - 1 : at);
  }

  public long excused() {
    return excused;
  }

  /** GETs that found no connection with room, and were not sent. */
  public long unsent() {
    return unsent;
  }

  /** Connects so many tills, and sends so many GETs a second from then on. */
  public Future<Void> start(int port, int connections, int rate) {
    client = vertx.createNetClient();
    List<Future<?>> all = new ArrayList<>();
    for (int one = 0; one < connections; one++) {
      Line line = new Line();
      lines.add(line);
      all.add(connect(port, line));
    }
    return Future.all(all)
        .map(
            up -> {
              interval = 1_000_000_000L / rate;
              next = System.nanoTime();
              timer = vertx.setPeriodic(1, tick -> tick());
              return null;
            });
  }

  private Future<NetSocket> connect(int port, Line line) {
    return client
        .connect(port, "127.0.0.1")
        .onSuccess(socket -> take(socket, port, line))
        .onFailure(e -> vertx.setTimer(AGAIN_MS, again -> connectAgain(port, line)));
  }

  private void connectAgain(int port, Line line) {
    if (!stopped) {
      connect(port, line);
    }
  }

  /** Sends nothing more; what is open is waited for. */
  public void stop() {
    stopped = true;
  }

  /**
   * Ends those whose time was over when this was called before. Guards against blame for answers
   * that wait to be read while these clients themselves stand still.
   */
  private void settle() {
    long now = settledAt;
    settledAt = System.nanoTime();
    open.entrySet()
        .removeIf(
            entry -> {
              boolean over = now > entry.getValue().due + GRACE;
              boolean lost = over && !excuse.holds(entry.getValue().sentAt, entry.getValue().due);
              entry.getValue().on.open -= over ? 1 : 0;
              excused += over && !lost ? 1 : 0;
              if (lost) {
                count(End.LOST);
                answered.put(entry.getKey(), now);
              }
              return over;
            });
    // An answer that comes this long after the first is counted no more.
    answered.values().removeIf(at -> now - at > 10_000 * MS);
  }

  public int open() {
    return open.size();
  }

  public long ended(End how) {
    return ends.getOrDefault(how, 0L);
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
    for (; next <= now && !stopped; next += interval) {
      lateness.recordValue(Math.min(HIGHEST_US, (now - next) / 1000));
      sending.accept(next);
      send(next, now);
    }
    settle();
    if (stopped && open.isEmpty()) {
      vertx.cancelTimer(timer);
    }
  }

  private void send(long intended, long now) {
    long number = ++last & 0xffff_ffffL;
    String object = String.format("%016x", object(chance.nextDouble()));
    Line line = lines.get((int) (number % lines.size()));
    if (line.socket == null || line.open >= MOST_OPEN) {
      unsent++;
      return;
    }
    line.open++;
    open.put(number, new Open(now + allowMs * MS, intended, object, line));
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      Map<String, String> fields =
          Map.of(
              "ref",
              String.format("%08x%08x", mine, number),
              "lookup",
              object,
              "allow",
              Long.toString(allowMs),
              "chunk",
              Integer.toString(chance.nextInt(4)),
              "tag",
              "17",
              "room",
              "4.5");
      packer
          .packArrayHeader(4)
          .packInt(0)
          .packLong(number)
          .packString(service)
          .packArrayHeader(2)
          .packMapHeader(fields.size());
      for (Map.Entry<String, String> field : fields.entrySet()) {
        packer.packString(field.getKey()).packString(field.getValue());
      }
      packer.packBinaryHeader(0);
      line.socket.write(Buffer.buffer(packer.toByteArray()));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void take(NetSocket socket, int port, Line line) {
    line.socket = socket;
    socket.exceptionHandler(e -> {});
    socket.closeHandler(
        closed -> {
          line.socket = null;
          vertx.setTimer(AGAIN_MS, again -> connectAgain(port, line));
        });
    socket.handler(
        new MessageReader(
            LONGEST,
            new MessageReader.Sink() {
              @Override
              public boolean onMessage(byte[] bytes, int start, int end) {
                try (MessageUnpacker in =
                    MessagePack.newDefaultUnpacker(bytes, start, end - start)) {
                  answer(in);
                  return true;
                } catch (IOException e) {
                  throw new UncheckedIOException(e);
                }
              }

              @Override
              public void onProtocolError(String reason) {
                socket.close();
              }
            }));
  }

  private void count(End how) {
    ends.merge(how, 1L, Long::sum);
  }

  private void answer(MessageUnpacker in) throws IOException {
    in.unpackArrayHeader();
    in.unpackInt();
    long number = in.unpackLong(), now = System.nanoTime();
    Open get = open.remove(number);
    if (get == null) {
      if (answered.containsKey(number)) {
        count(End.TWICE);
      }
      return;
    }
    get.on.open--;
    answered.put(number, now);
    if (!in.tryUnpackNil()) {
      in.unpackArrayHeader();
      count(in.unpackString().equals("Overloaded") ? End.SHED : End.ERRORED);
      return;
    }
    in.unpackArrayHeader();
    String body = new String(in.readPayload(in.unpackBinaryHeader()), StandardCharsets.ISO_8859_1);
    count(End.RETURNED);
    latency.recordValue(Math.min(HIGHEST_US, (now - get.sentAt) / 1000));
    returned.accept(
        new Returned(
            get.object, Long.parseLong(body.substring(body.indexOf('@') + 1)), now, get.sentAt));
  }
}
