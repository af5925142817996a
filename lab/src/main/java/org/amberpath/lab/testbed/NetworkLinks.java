package org.amberpath.lab.testbed;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The network between the gateways. Each gateway has one UDP relay, to which the other gateways
 * send their datagrams for it. A relay identifies the sender by its source port and, as the present
 * condition of that one-way link demands, drops, delays, duplicates or reorders its datagrams.
 * Confined to one event loop.
 */
public final class NetworkLinks {
  private static final int UNKNOWN_SENDER = -1;
  private static final int MIN_DELAY_MILLIS = 1;

  /**
   * The condition of a one-way link.
   *
   * @param cut whether all datagrams are dropped
   * @param lossRate the fraction of datagrams that is dropped, from 0 to 1
   * @param duplicationRate the fraction of datagrams that is forwarded twice, from 0 to 1
   * @param maxDelayMillis the longest delay in milliseconds, drawn for each datagram, so that
   *     delayed datagrams are reordered; 0 for no delay
   */
  public record LinkCondition(
      boolean cut, double lossRate, double duplicationRate, long maxDelayMillis) {
    /** Forwards all datagrams without delay. */
    public static final LinkCondition HEALTHY = new LinkCondition(false, 0, 0, 0);

    /** Drops all datagrams. */
    public static final LinkCondition CUT = new LinkCondition(true, 0, 0, 0);
  }

  private final Vertx vertx;
  private final SplittableRandom random;
  private final List<DatagramSocket> relays = new ArrayList<>();
  private final int[] relayPorts;
  private final LinkCondition[][] conditions;
  private final Map<Integer, Integer> gatewaysByPort = new HashMap<>();
  private final int[] gatewayPorts;

  /** The last second ({@link System#nanoTime}) in which each gateway sent. */
  private final long[] lastSendSecond;

  /** How many datagrams each gateway sent in that second. */
  private final long[] datagramsInSecond;

  private final long[] bytesInSecond;

  private long maxDatagramsPerSecond;
  private long maxBytesPerSecond;
  private long forwardedDatagrams;
  private long droppedDatagrams;

  NetworkLinks(Vertx vertx, int gatewayCount, long seed) {
    this.vertx = vertx;
    random = new SplittableRandom(seed);
    relayPorts = new int[gatewayCount];
    gatewayPorts = new int[gatewayCount];
    lastSendSecond = new long[gatewayCount];
    datagramsInSecond = new long[gatewayCount];
    bytesInSecond = new long[gatewayCount];
    conditions = new LinkCondition[gatewayCount][gatewayCount];
    for (LinkCondition[] row : conditions) {
      Arrays.fill(row, LinkCondition.HEALTHY);
    }
  }

  Future<?> startRelays() {
    List<Future<?>> all = new ArrayList<>();
    for (int gateway = 0; gateway < relayPorts.length; gateway++) {
      int to = gateway;
      DatagramSocket relay = vertx.createDatagramSocket();
      relays.add(relay);
      all.add(
          relay
              .listen(0, "127.0.0.1")
              .onSuccess(
                  listening -> {
                    relayPorts[to] = listening.localAddress().port();
                    listening.handler(packet -> datagramReceived(to, packet));
                  }));
    }
    return Future.all(all);
  }

  /**
   * Returns HOST:PORT of the relay to which other gateways send their datagrams for this gateway.
   */
  String relayAddress(int gateway) {
    return "127.0.0.1:" + relayPorts[gateway];
  }

  /** Sets the port on which the gateway itself receives datagrams; 0 while it does not run. */
  void setGatewayPort(int gateway, int port) {
    gatewaysByPort.values().removeIf(known -> known == gateway);
    gatewayPorts[gateway] = port;
    if (port != 0) {
      gatewaysByPort.put(port, gateway);
    }
  }

  /** Sets the condition of a link, in one direction. */
  public void setCondition(int from, int to, LinkCondition condition) {
    conditions[from][to] = condition;
  }

  /** Sets the condition of all links. */
  void setAllConditions(LinkCondition condition) {
    for (LinkCondition[] row : conditions) {
      Arrays.fill(row, condition);
    }
  }

  /** Returns the highest number of datagrams that any gateway sent within one second. */
  public long maxDatagramsPerSecond() {
    return maxDatagramsPerSecond;
  }

  /** Returns the highest number of bytes that any gateway sent within one second. */
  public long maxBytesPerSecond() {
    return maxBytesPerSecond;
  }

  /** Returns the number of datagrams that were forwarded. */
  public long forwardedDatagrams() {
    return forwardedDatagrams;
  }

  /** Returns the number of datagrams that a link condition dropped. */
  public long droppedDatagrams() {
    return droppedDatagrams;
  }

  private void datagramReceived(int to, DatagramPacket packet) {
    int from = gatewaysByPort.getOrDefault(packet.sender().port(), UNKNOWN_SENDER);
    if (from == UNKNOWN_SENDER) { // The process has ended, or has not logged its port yet.
      return;
    }
    long second = System.nanoTime() / 1_000_000_000;
    if (lastSendSecond[from] != second) {
      lastSendSecond[from] = second;
      datagramsInSecond[from] = 0;
      bytesInSecond[from] = 0;
    }
    maxDatagramsPerSecond = Math.max(maxDatagramsPerSecond, ++datagramsInSecond[from]);
    bytesInSecond[from] += packet.data().length();
    maxBytesPerSecond = Math.max(maxBytesPerSecond, bytesInSecond[from]);
    LinkCondition condition = conditions[from][to];
    if (condition.cut || random.nextDouble() < condition.lossRate) {
      droppedDatagrams++;
      return;
    }
    int copies = random.nextDouble() < condition.duplicationRate ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      if (condition.maxDelayMillis == 0) {
        forward(to, packet.data());
      } else {
        vertx.setTimer(
            MIN_DELAY_MILLIS + random.nextLong(condition.maxDelayMillis),
            timer -> forward(to, packet.data()));
      }
    }
  }

  private void forward(int to, Buffer data) {
    if (gatewayPorts[to] != 0) {
      forwardedDatagrams++;
      relays.get(to).send(data, gatewayPorts[to], "127.0.0.1");
    }
  }
}
