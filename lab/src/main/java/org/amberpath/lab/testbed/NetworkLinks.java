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
 * Every link between two gateways: one relay for each, at which the others send what is for it. A
 * relay knows the sender by its port, and drops, delays, doubles, reorders or cuts as the link has
 * it now, one way. Only for its event loop.
 */
public final class NetworkLinks {
  private static final int UNKNOWN_SENDER = -1;
  private static final int MIN_DELAY_MILLIS = 1;

  /**
   * How a link is.
   *
   * @param lossRate the part of all datagrams that is lost
   * @param duplicationRate the part that is passed twice
   * @param maxDelayMillis the longest delay; 0 for none
   */
  public record LinkCondition(
      boolean cut, double lossRate, double duplicationRate, long maxDelayMillis) {
    /** Passes all at once. */
    public static final LinkCondition HEALTHY = new LinkCondition(false, 0, 0, 0);

    /** Passes nothing. */
    public static final LinkCondition CUT = new LinkCondition(true, 0, 0, 0);
  }

  private final Vertx vertx;
  private final SplittableRandom random;
  private final List<DatagramSocket> relays = new ArrayList<>();
  private final int[] ports;
  private final LinkCondition[][] conditions;
  private final Map<Integer, Integer> gatewaysByPort = new HashMap<>();
  private final int[] gatewayPorts;

  /** Of each gateway, the last second in which it sent. */
  private final long[] currentSecond;

  /** Of each gateway, what it sent in that second. */
  private final long[] datagramsInSecond;

  private final long[] bytesInSecond;

  private long maxDatagramsPerSecond;
  private long maxBytesPerSecond;
  private long forwardedDatagrams;
  private long droppedDatagrams;

  NetworkLinks(Vertx vertx, int gatewayCount, long seed) {
    this.vertx = vertx;
    random = new SplittableRandom(seed);
    ports = new int[gatewayCount];
    gatewayPorts = new int[gatewayCount];
    currentSecond = new long[gatewayCount];
    datagramsInSecond = new long[gatewayCount];
    bytesInSecond = new long[gatewayCount];
    conditions = new LinkCondition[gatewayCount][gatewayCount];
    for (LinkCondition[] row : conditions) {
      Arrays.fill(row, LinkCondition.HEALTHY);
    }
  }

  Future<?> open() {
    List<Future<?>> all = new ArrayList<>();
    for (int gateway = 0; gateway < ports.length; gateway++) {
      int to = gateway;
      DatagramSocket relay = vertx.createDatagramSocket();
      relays.add(relay);
      all.add(
          relay
              .listen(0, "127.0.0.1")
              .onSuccess(
                  listening -> {
                    ports[to] = listening.localAddress().port();
                    listening.handler(packet -> datagramReceived(to, packet));
                  }));
    }
    return Future.all(all);
  }

  /** Where the others find it. */
  String address(int gateway) {
    return "127.0.0.1:" + ports[gateway];
  }

  /** Where it really is; 0 for nowhere. */
  void setGatewayPort(int gateway, int port) {
    gatewaysByPort.values().removeIf(known -> known == gateway);
    gatewayPorts[gateway] = port;
    if (port != 0) {
      gatewaysByPort.put(port, gateway);
    }
  }

  /** Sets how a link is, one way. */
  public void setCondition(int from, int to, LinkCondition condition) {
    conditions[from][to] = condition;
  }

  /** Sets how all links are. */
  void setAll(LinkCondition condition) {
    for (LinkCondition[] row : conditions) {
      Arrays.fill(row, condition);
    }
  }

  /** The most datagrams that one gateway sent in any second. */
  public long maxDatagramsPerSecond() {
    return maxDatagramsPerSecond;
  }

  /** The most bytes that one gateway sent in any second. */
  public long maxBytesPerSecond() {
    return maxBytesPerSecond;
  }

  /** Datagrams that were passed on. */
  public long forwardedDatagrams() {
    return forwardedDatagrams;
  }

  /** Datagrams that were lost. */
  public long droppedDatagrams() {
    return droppedDatagrams;
  }

  private void datagramReceived(int to, DatagramPacket packet) {
    int from = gatewaysByPort.getOrDefault(packet.sender().port(), UNKNOWN_SENDER);
    if (from == UNKNOWN_SENDER) { // One that has ended, or has not said yet where it is.
      return;
    }
    long second = System.nanoTime() / 1_000_000_000;
    if (currentSecond[from] != second) {
      currentSecond[from] = second;
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
