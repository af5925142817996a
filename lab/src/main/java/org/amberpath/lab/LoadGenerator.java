package org.amberpath.lab;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.HdrHistogram.Histogram;

/**
 * Clients of one gateway that send on a schedule whatever comes back. Latency counts from when a
 * request was to be sent. Only for the event loop of its Vert.x.
 *
 * <p>Bounds: open requests, since each ends soon after its timeout.
 */
public final class LoadGenerator {
  /** How requests ended, the best first; reports have these names. */
  public enum Outcome {
    /** A cache's answer came. */
    RETURNED,

    /** Rejected, with a time after which to ask again. */
    SHED,

    /** Failed: it may have run. */
    ERRORED,

    /** No answer came in time. */
    LOST,

    /** A second answer came. */
    TWICE
  }

  /**
   * A request that was returned.
   *
   * @param issuedAtMillis when the copy was issued (Unix time)
   * @param receivedAtNanos when it came (nanoTime)
   * @param sentAtNanos when the request was to be sent (nanoTime)
   */
  public record Response(
      String object, long issuedAtMillis, long receivedAtNanos, long sentAtNanos) {}

  /** Says of a request with no answer whether that is nobody's fault. */
  public interface LossExcuse {
    /** Whether a request sent and due at these times (nanoTime) is excused. */
    boolean excuses(long sentAtNanos, long deadlineNanos);
  }

  private record PendingRequest(
      long deadlineNanos, long sentAtNanos, String object, LoadConnection connection) {}

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
  private static final long LOSS_GRACE_NANOS = 50 * NANOS_PER_MILLI;

  /** A second answer that comes later is not noticed. */
  private static final long REMEMBERED_NANOS = 10 * NANOS_PER_SECOND;

  private static final long MAX_LATENCY_MICROS = 10_000_000;
  private static final long NUMBER_MASK = 0xffff_ffffL;
  private static final int PARTS = 4;

  private final Vertx vertx;
  private final SplittableRandom random;
  private final String trafficClass;
  private final long timeoutMillis;

  /** The first half of all ids: those of other generators are others. */
  private final int idPrefix;

  private final Consumer<Response> responseListener;
  private final List<LoadConnection> connections = new ArrayList<>();
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private final Map<Long, Long> answeredAtNanos = new HashMap<>();
  private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
  private final Histogram latency = new Histogram(MAX_LATENCY_MICROS, 3);
  private final Histogram lateness = new Histogram(MAX_LATENCY_MICROS, 3);
  private ObjectChoice objects = ObjectChoice.usual();
  private LossExcuse lossExcuse = (sentAtNanos, deadlineNanos) -> false;
  private LongConsumer sendListener = sentAtNanos -> {};
  private long excusedLosses;
  private long notSent;
  private long lastExpiryNanos = System.nanoTime();
  private boolean stopped;
  private long lastRequestNumber;
  private long nextSendNanos;
  private long intervalNanos;
  private long timerId = -1;

  /**
   * Clients that do not send yet.
   *
   * @param timeoutMillis how long they wait for each answer
   * @param responseListener takes each request that is returned
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

  /** Counts losses that are excused apart. */
  public LoadGenerator withLossExcuse(LossExcuse excuse) {
    lossExcuse = excuse;
    return this;
  }

  /** Tells when each request was to be sent (nanoTime). */
  public LoadGenerator withSendListener(LongConsumer listener) {
    sendListener = listener;
    return this;
  }

  /** Asks for so many objects, by Zipf's law with this exponent. */
  public LoadGenerator withZipfPopularity(int objectCount, double exponent) {
    objects = ObjectChoice.zipf(objectCount, exponent);
    return this;
  }

  /** Losses that were excused. */
  public long excusedLosses() {
    return excusedLosses;
  }

  /** Requests that found no connection with room, and were not sent. */
  public long notSent() {
    return notSent;
  }

  /** Connects, and sends so many requests a second from then on. */
  public Future<Void> start(int port, int connectionCount, int requestsPerSecond) {
    NetClient client = vertx.createNetClient();
    List<Future<?>> connecting = new ArrayList<>();
    for (int index = 0; index < connectionCount; index++) {
      LoadConnection connection =
          new LoadConnection(vertx, client, port, this::responseReceived, () -> stopped);
      connections.add(connection);
      connecting.add(connection.connect());
    }
    return Future.all(connecting)
        .map(
            connected -> {
              intervalNanos = NANOS_PER_SECOND / requestsPerSecond;
              nextSendNanos = System.nanoTime();
              timerId = vertx.setPeriodic(1, tick -> tick());
              return null;
            });
  }

  /** Sends nothing more; what is open is waited for. */
  public void stop() {
    stopped = true;
  }

  /** Requests that are open. */
  public int pendingCount() {
    return pending.size();
  }

  /** How many requests ended so. */
  public long countOf(Outcome outcome) {
    return outcomes.getOrDefault(outcome, 0L);
  }

  /** Microseconds from the scheduled sending to the answer, of what was returned. */
  public Histogram latency() {
    return latency;
  }

  /** Microseconds by which these clients themselves were late in sending. */
  public Histogram lateness() {
    return lateness;
  }

  private void tick() {
    long nowNanos = System.nanoTime();
    for (; nextSendNanos <= nowNanos && !stopped; nextSendNanos += intervalNanos) {
      lateness.recordValue(Math.min(MAX_LATENCY_MICROS, (nowNanos - nextSendNanos) / 1000));
      sendListener.accept(nextSendNanos);
      send(nextSendNanos, nowNanos);
    }
    expireOverdue();
    if (stopped && pending.isEmpty()) {
      vertx.cancelTimer(timerId);
    }
  }

  private void send(long scheduledNanos, long nowNanos) {
    long number = ++lastRequestNumber & NUMBER_MASK;
    String object = objects.name(random.nextDouble());
    LoadConnection connection = connections.get((int) (number % connections.size()));
    if (!connection.hasRoom()) {
      notSent++;
      return;
    }
    long deadlineNanos = nowNanos + timeoutMillis * NANOS_PER_MILLI;
    pending.put(number, new PendingRequest(deadlineNanos, scheduledNanos, object, connection));
    Map<String, String> fields =
        Map.of(
            "ref",
            String.format("%08x%08x", idPrefix, number),
            "lookup",
            object,
            "allow",
            Long.toString(timeoutMillis),
            "chunk",
            Integer.toString(random.nextInt(PARTS)),
            "tag",
            "17",
            "room",
            "4.5");
    connection.send(LoadMessages.request(number, trafficClass, fields));
  }

  /**
   * Ends the requests that were overdue when this was called before. Guards against blame for
   * answers that wait to be read while these clients themselves stall.
   */
  private void expireOverdue() {
    long nowNanos = lastExpiryNanos;
    lastExpiryNanos = System.nanoTime();
    pending.entrySet().removeIf(entry -> expireIfOverdue(entry, nowNanos));
    answeredAtNanos.values().removeIf(at -> nowNanos - at > REMEMBERED_NANOS);
  }

  private boolean expireIfOverdue(Map.Entry<Long, PendingRequest> entry, long nowNanos) {
    PendingRequest request = entry.getValue();
    if (nowNanos <= request.deadlineNanos + LOSS_GRACE_NANOS) {
      return false;
    }
    request.connection.requestEnded();
    if (lossExcuse.excuses(request.sentAtNanos, request.deadlineNanos)) {
      excusedLosses++;
    } else {
      increment(Outcome.LOST);
      answeredAtNanos.put(entry.getKey(), nowNanos);
    }
    return true;
  }

  private void increment(Outcome outcome) {
    outcomes.merge(outcome, 1L, Long::sum);
  }

  private void responseReceived(LoadMessages.Response response) {
    long nowNanos = System.nanoTime();
    PendingRequest request = pending.remove(response.number());
    if (request == null) {
      if (answeredAtNanos.containsKey(response.number())) {
        increment(Outcome.TWICE);
      }
      return;
    }
    request.connection.requestEnded();
    answeredAtNanos.put(response.number(), nowNanos);
    switch (response.kind()) {
      case REJECTED -> increment(Outcome.SHED);
      case FAILED -> increment(Outcome.ERRORED);
      default -> {
        increment(Outcome.RETURNED);
        latency.recordValue(Math.min(MAX_LATENCY_MICROS, (nowNanos - request.sentAtNanos) / 1000));
        responseListener.accept(
            new Response(request.object, response.issuedAtMillis(), nowNanos, request.sentAtNanos));
      }
    }
  }
}
