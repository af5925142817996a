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
 * Open-loop load generator: simulates the clients of one gateway, which send requests at fixed
 * intervals whether or not earlier ones have been answered. Latency counts from the scheduled
 * sending time. Not thread-safe: confined to the event loop of its Vert.x instance.
 *
 * <p>Bounds: the open requests, each of which ends soon after its timeout.
 */
public final class LoadGenerator {
  /** How a request ended, from best to worst. Reports write the lower-case constant names. */
  public enum Outcome {
    /** The gateway returned the response of a cache. */
    RETURNED,

    /** The gateway rejected the request and named a time after which to retry. */
    SHED,

    /** The gateway reported a failure; the request may have been executed. */
    ERRORED,

    /** No response arrived before the end of the timeout and of a short grace period. */
    LOST,

    /**
     * A second response to the same request arrived, or one to a request that had been counted as
     * lost.
     */
    TWICE
  }

  /**
   * A request that was returned.
   *
   * @param object the object's name, 16 hex digits
   * @param issuedAtMillis when the origin issued the returned copy (Unix time)
   * @param receivedAtNanos when the response arrived ({@link System#nanoTime})
   * @param sentAtNanos when the request was scheduled to be sent ({@link System#nanoTime})
   */
  public record Response(
      String object, long issuedAtMillis, long receivedAtNanos, long sentAtNanos) {}

  /** Decides which unanswered requests are not counted as {@link Outcome#LOST}. */
  public interface LossExcuse {
    /**
     * Returns whether the loss of a request is excused, for instance because the gateway was
     * paused.
     *
     * @param sentAtNanos when the request was scheduled to be sent ({@link System#nanoTime})
     * @param deadlineNanos when its timeout ended ({@link System#nanoTime})
     */
    boolean excuses(long sentAtNanos, long deadlineNanos);
  }

  private record PendingRequest(
      long deadlineNanos, long sentAtNanos, String object, LoadConnection connection) {}

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
  private static final long LOSS_GRACE_NANOS = 50 * NANOS_PER_MILLI;

  /**
   * How long the ids of answered and lost requests are kept; a duplicate response that arrives
   * later goes undetected.
   */
  private static final long ANSWERED_RETENTION_NANOS = 10 * NANOS_PER_SECOND;

  private static final long MAX_LATENCY_MICROS = 10_000_000;
  private static final long REQUEST_NUMBER_MASK = 0xffff_ffffL;
  private static final int PARTS_PER_OBJECT = 4;

  private final Vertx vertx;
  private final SplittableRandom random;
  private final String trafficClass;
  private final long timeoutMillis;

  /**
   * The upper 32 bits of all request ids, drawn at random so that the ids of several load
   * generators differ.
   */
  private final int idPrefix;

  private final Consumer<Response> responseListener;
  private final List<LoadConnection> connections = new ArrayList<>();
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private final Map<Long, Long> answeredAtNanos = new HashMap<>();
  private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
  private final Histogram latency = new Histogram(MAX_LATENCY_MICROS, 3);
  private final Histogram lateness = new Histogram(MAX_LATENCY_MICROS, 3);
  private ObjectChoice objectChoice = ObjectChoice.defaultObjects();
  private LossExcuse lossExcuse = (sentAtNanos, deadlineNanos) -> false;
  private LongConsumer sendListener = sentAtNanos -> {};
  private long excusedLossCount;
  private long notSentCount;
  private long lastExpiryNanos = System.nanoTime();
  private boolean stopped;
  private long lastRequestNumber;
  private long nextSendNanos;
  private long intervalNanos;
  private long timerId = -1;

  /**
   * Creates a load generator that does not send yet.
   *
   * @param trafficClass the traffic class, sent as the method of each request
   * @param timeoutMillis how long a client waits for each response, also sent to the gateway
   * @param seed the seed of the random number generator and of the request ids
   * @param responseListener receives each request that is returned
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

  /**
   * Sets which unanswered requests count as {@link #excusedLossCount} and not as {@link
   * Outcome#LOST}.
   */
  public LoadGenerator withLossExcuse(LossExcuse excuse) {
    lossExcuse = excuse;
    return this;
  }

  /**
   * Sets a listener that receives the scheduled sending time ({@link System#nanoTime}) of each
   * request, including those that are not sent for want of a free connection.
   */
  public LoadGenerator withSendListener(LongConsumer listener) {
    sendListener = listener;
    return this;
  }

  /**
   * Replaces the default set of objects by the given number of objects, requested by Zipf's law
   * with this exponent.
   */
  public LoadGenerator withZipfPopularity(int objectCount, double exponent) {
    objectChoice = ObjectChoice.zipf(objectCount, exponent);
    return this;
  }

  /** Returns the number of unanswered requests that were excused. */
  public long excusedLossCount() {
    return excusedLossCount;
  }

  /**
   * Returns the number of requests that were not sent because their connection was closed or had as
   * many open requests as the protocol allows.
   */
  public long notSentCount() {
    return notSentCount;
  }

  /**
   * Connects to the gateway on loopback and, once all connections are open, sends the given number
   * of requests per second.
   */
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

  /** Stops sending; requests that are open are still awaited until their timeout. */
  public void stop() {
    stopped = true;
  }

  /** Returns the number of open requests. */
  public int pendingCount() {
    return pending.size();
  }

  /** Returns the number of requests that ended with an outcome. */
  public long countOf(Outcome outcome) {
    return outcomes.getOrDefault(outcome, 0L);
  }

  /**
   * Returns the histogram, in microseconds, from the scheduled sending time to the response, of the
   * returned requests.
   */
  public Histogram latency() {
    return latency;
  }

  /**
   * Returns the histogram, in microseconds, of how late the load generator itself was in sending.
   */
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
    long number = ++lastRequestNumber & REQUEST_NUMBER_MASK;
    String object = objectChoice.objectName(random.nextDouble());
    LoadConnection connection = connections.get((int) (number % connections.size()));
    if (!connection.canSend()) {
      notSentCount++;
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
            Integer.toString(random.nextInt(PARTS_PER_OBJECT)),
            "tag",
            "17",
            "room",
            "4.5");
    connection.send(LoadMessages.encodeRequest(number, trafficClass, fields));
  }

  /**
   * Ends the requests that were already overdue at the previous call. Guards against counting a
   * response as lost that waits in the socket buffer while the event loop of the load generator is
   * stalled.
   */
  private void expireOverdue() {
    long previousExpiryNanos = lastExpiryNanos;
    lastExpiryNanos = System.nanoTime();
    pending.entrySet().removeIf(entry -> expireIfOverdue(entry, previousExpiryNanos));
    answeredAtNanos
        .values()
        .removeIf(endedNanos -> previousExpiryNanos - endedNanos > ANSWERED_RETENTION_NANOS);
  }

  private boolean expireIfOverdue(Map.Entry<Long, PendingRequest> entry, long asOfNanos) {
    PendingRequest request = entry.getValue();
    if (asOfNanos <= request.deadlineNanos + LOSS_GRACE_NANOS) {
      return false;
    }
    request.connection.onRequestEnded();
    if (lossExcuse.excuses(request.sentAtNanos, request.deadlineNanos)) {
      excusedLossCount++;
    } else {
      increment(Outcome.LOST);
      answeredAtNanos.put(entry.getKey(), asOfNanos);
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
    request.connection.onRequestEnded();
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
