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
  public enum Outcome {
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
  public record Response(
      String object, long issuedAtMillis, long receivedAtNanos, long sentAtNanos) {}

  /** Whether a GET that got no answer is nobody's fault, by when it was sent and due (nanoTime). */
  public interface LossExcuse {
    boolean excuses(long sentAtNanos, long deadlineNanos);
  }

  private static final class PendingRequest {
    final long deadlineNanos;
    final long sentAtNanos;
    final String object;
    final ClientConnection connection;

    PendingRequest(
        long deadlineNanos, long sentAtNanos, String object, ClientConnection connection) {
      this.deadlineNanos = deadlineNanos;
      this.sentAtNanos = sentAtNanos;
      this.object = object;
      this.connection = connection;
    }
  }

  /** One till's connection; null while it is made anew. */
  private static final class ClientConnection {
    NetSocket socket;
    int pendingCount;
  }

  /** The protocol's own bound of what may be open on a connection. */
  private static final int MAX_PENDING_PER_CONNECTION = 32;

  private static final int MAX_MESSAGE_BYTES = 400_000;
  private static final int DEFAULT_OBJECTS = 64;
  private static final int RECONNECT_DELAY_MILLIS = 100;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long LOSS_GRACE_NANOS = 50 * NANOS_PER_MILLI;
  private static final long MAX_LATENCY_MICROS = 10_000_000;

  private final Vertx vertx;
  private final SplittableRandom random;
  private final String trafficClass;
  private final long timeoutMillis;

  /** The first half of all ids: those of other tills are others. */
  private final int idPrefix;

  private final Consumer<Response> responseListener;
  private final List<ClientConnection> connections = new ArrayList<>();
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private final Map<Long, Long> answeredAtNanos = new HashMap<>();
  private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
  private final Histogram latency = new Histogram(MAX_LATENCY_MICROS, 3);
  private final Histogram lateness = new Histogram(MAX_LATENCY_MICROS, 3);
  private NetClient client;
  private LossExcuse lossExcuse = (sentAtNanos, deadlineNanos) -> false;
  private LongConsumer sendListener = at -> {};
  private long excusedLosses;
  private long notSent;
  private long lastSettledNanos = System.nanoTime();
  private boolean stopped;

  /** Of each object, how likely it or one before it is asked for; null for the usual few. */
  private double[] cumulativePopularity;

  private long lastRequestNumber;
  private long nextSendNanos;
  private long intervalNanos;
  private long timerId = -1;

  /**
   * Clients of one delivery service, who wait allowMs for each GET; each that is returned is told.
   */
  public LoadGenerator(
      Vertx vertx,
      String trafficClass,
      long timeoutMillis,
      long seed,
      Consumer<Response> responseListener) {
    this.vertx = vertx;
    this.trafficClass = trafficClass;
    this.timeoutMillis = timeoutMillis;
    this.responseListener = responseListener;
    random = new SplittableRandom(seed);
    idPrefix = random.nextInt();
  }

  /** GETs whose loss is excused are counted apart. */
  public LoadGenerator withLossExcuse(LossExcuse excuse) {
    lossExcuse = excuse;
    return this;
  }

  /** Tells when each GET was to be sent (nanoTime). */
  public LoadGenerator withSendListener(LongConsumer listener) {
    sendListener = listener;
    return this;
  }

  /** Asks for so many objects, by Zipf's law with this exponent. */
  public LoadGenerator withZipfPopularity(int objects, double exponent) {
    cumulativePopularity = new double[objects];
    double sum = 0;
    for (int object = 0; object < objects; object++) {
      sum += Math.pow(object + 1, -exponent);
      cumulativePopularity[object] = sum;
    }
    for (int object = 0; object < objects; object++) {
      cumulativePopularity[object] /= sum;
    }
    return this;
  }

  private long objectFor(double uniform) {
    if (cumulativePopularity == null) {
      return 1 + (long) (uniform * uniform * DEFAULT_OBJECTS);
    }
    int index = Arrays.binarySearch(cumulativePopularity, uniform);
    return 1L + Math.min(cumulativePopularity.length - 1, index < 0 ? -index - 1 : index);
  }

  public long excusedLosses() {
    return excusedLosses;
  }

  /** GETs that found no connection with room, and were not sent. */
  public long notSent() {
    return notSent;
  }

  /** Connects so many tills, and sends so many GETs a second from then on. */
  public Future<Void> start(int port, int connectionCount, int requestsPerSecond) {
    client = vertx.createNetClient();
    List<Future<?>> connecting = new ArrayList<>();
    for (int index = 0; index < connectionCount; index++) {
      ClientConnection connection = new ClientConnection();
      connections.add(connection);
      connecting.add(connect(port, connection));
    }
    return Future.all(connecting)
        .map(
            ignored -> {
              intervalNanos = 1_000_000_000L / requestsPerSecond;
              nextSendNanos = System.nanoTime();
              timerId = vertx.setPeriodic(1, tick -> tick());
              return null;
            });
  }

  private Future<NetSocket> connect(int port, ClientConnection connection) {
    return client
        .connect(port, "127.0.0.1")
        .onSuccess(socket -> connected(socket, port, connection))
        .onFailure(
            e -> vertx.setTimer(RECONNECT_DELAY_MILLIS, timer -> reconnect(port, connection)));
  }

  private void reconnect(int port, ClientConnection connection) {
    if (!stopped) {
      connect(port, connection);
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
  private void expireOverdue() {
    long nowNanos = lastSettledNanos;
    lastSettledNanos = System.nanoTime();
    pending
        .entrySet()
        .removeIf(
            entry -> {
              boolean over = nowNanos > entry.getValue().deadlineNanos + LOSS_GRACE_NANOS;
              boolean lost =
                  over
                      && !lossExcuse.excuses(
                          entry.getValue().sentAtNanos, entry.getValue().deadlineNanos);
              entry.getValue().connection.pendingCount -= over ? 1 : 0;
              excusedLosses += over && !lost ? 1 : 0;
              if (lost) {
                increment(Outcome.LOST);
                answeredAtNanos.put(entry.getKey(), nowNanos);
              }
              return over;
            });
    // An answer that comes this long after the first is counted no more.
    answeredAtNanos.values().removeIf(timeNanos -> nowNanos - timeNanos > 10_000 * NANOS_PER_MILLI);
  }

  public int pendingCount() {
    return pending.size();
  }

  public long countOf(Outcome outcome) {
    return outcomes.getOrDefault(outcome, 0L);
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
    for (; nextSendNanos <= now && !stopped; nextSendNanos += intervalNanos) {
      lateness.recordValue(Math.min(MAX_LATENCY_MICROS, (now - nextSendNanos) / 1000));
      sendListener.accept(nextSendNanos);
      send(nextSendNanos, now);
    }
    expireOverdue();
    if (stopped && pending.isEmpty()) {
      vertx.cancelTimer(timerId);
    }
  }

  private void send(long scheduledNanos, long nowNanos) {
    long number = ++lastRequestNumber & 0xffff_ffffL;
    String object = String.format("%016x", objectFor(random.nextDouble()));
    ClientConnection connection = connections.get((int) (number % connections.size()));
    if (connection.socket == null || connection.pendingCount >= MAX_PENDING_PER_CONNECTION) {
      notSent++;
      return;
    }
    connection.pendingCount++;
    pending.put(
        number,
        new PendingRequest(
            nowNanos + timeoutMillis * NANOS_PER_MILLI, scheduledNanos, object, connection));
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      Map<String, String> fields =
          Map.of(
              "ref",
              String.format("%08x%08x", idPrefix, number),
              "lookup",
              object,
              "allow",
              Long.toString(timeoutMillis),
              "chunk",
              Integer.toString(random.nextInt(4)),
              "tag",
              "17",
              "room",
              "4.5");
      packer
          .packArrayHeader(4)
          .packInt(0)
          .packLong(number)
          .packString(trafficClass)
          .packArrayHeader(2)
          .packMapHeader(fields.size());
      for (Map.Entry<String, String> field : fields.entrySet()) {
        packer.packString(field.getKey()).packString(field.getValue());
      }
      packer.packBinaryHeader(0);
      connection.socket.write(Buffer.buffer(packer.toByteArray()));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void connected(NetSocket socket, int port, ClientConnection connection) {
    connection.socket = socket;
    socket.exceptionHandler(e -> {});
    socket.closeHandler(
        ignored -> {
          connection.socket = null;
          vertx.setTimer(RECONNECT_DELAY_MILLIS, timer -> reconnect(port, connection));
        });
    socket.handler(
        new MessageReader(
            MAX_MESSAGE_BYTES,
            new MessageReader.Sink() {
              @Override
              public boolean onMessage(byte[] bytes, int start, int end) {
                try (MessageUnpacker in =
                    MessagePack.newDefaultUnpacker(bytes, start, end - start)) {
                  responseReceived(in);
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

  private void increment(Outcome outcome) {
    outcomes.merge(outcome, 1L, Long::sum);
  }

  private void responseReceived(MessageUnpacker in) throws IOException {
    in.unpackArrayHeader();
    in.unpackInt();
    long number = in.unpackLong();
    long now = System.nanoTime();
    PendingRequest request = pending.remove(number);
    if (request == null) {
      if (answeredAtNanos.containsKey(number)) {
        increment(Outcome.TWICE);
      }
      return;
    }
    request.connection.pendingCount--;
    answeredAtNanos.put(number, now);
    if (!in.tryUnpackNil()) {
      in.unpackArrayHeader();
      increment(in.unpackString().equals("Overloaded") ? Outcome.SHED : Outcome.ERRORED);
      return;
    }
    in.unpackArrayHeader();
    String body = new String(in.readPayload(in.unpackBinaryHeader()), StandardCharsets.ISO_8859_1);
    increment(Outcome.RETURNED);
    latency.recordValue(Math.min(MAX_LATENCY_MICROS, (now - request.sentAtNanos) / 1000));
    responseListener.accept(
        new Response(
            request.object,
            Long.parseLong(body.substring(body.indexOf('@') + 1)),
            now,
            request.sentAtNanos));
  }
}
