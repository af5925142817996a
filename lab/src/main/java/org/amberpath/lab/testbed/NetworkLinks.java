package org.amberpath.lab.testbed;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import java.util.ArrayList;
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
  private static final int NOBODY = -1, SLACK_MS = 1;

  /** How a link is: parts of all datagrams, and the longest delay. */
  public record Way(boolean cut, double loss, double doubled, long delayMs) {
    public static final Way WELL = new Way(false, 0, 0, 0), CUT = new Way(true, 0, 0, 0);
  }

  private final Vertx vertx;
  private final SplittableRandom chance;
  private final List<DatagramSocket> relays = new ArrayList<>();
  private final int[] ports;
  private final Way[][] ways;
  private final Map<Integer, Integer> senders = new HashMap<>();
  private final int[] real;

  /** Of each gateway, in the present second: what it sent; and the most in any second. */
  private final long[] second, datagrams, bytes;

  private long mostDatagrams, mostBytes, carried, dropped;

  NetworkLinks(Vertx vertx, int many, long seed) {
    this.vertx = vertx;
    chance = new SplittableRandom(seed);
    ports = new int[many];
    real = new int[many];
    second = new long[many];
    datagrams = new long[many];
    bytes = new long[many];
    ways = new Way[many][many];
    for (Way[] row : ways) {
      java.util.Arrays.fill(row, Way.WELL);
    }
  }

  Future<?> open() {
    List<Future<?>> all = new ArrayList<>();
    for (int one = 0; one < ports.length; one++) {
      int to = one;
      DatagramSocket relay = vertx.createDatagramSocket();
      relays.add(relay);
      all.add(
          relay
              .listen(0, "127.0.0.1")
              .onSuccess(
                  up -> {
                    ports[to] = up.localAddress().port();
                    up.handler(packet -> come(to, packet));
                  }));
    }
    return Future.all(all);
  }

  /** Where the others find it. */
  String address(int gateway) {
    return "127.0.0.1:" + ports[gateway];
  }

  /** Where it really is; 0 for nowhere. */
  void at(int gateway, int port) {
    senders.values().removeIf(one -> one == gateway);
    real[gateway] = port;
    if (port != 0) {
      senders.put(port, gateway);
    }
  }

  public void way(int from, int to, Way way) {
    ways[from][to] = way;
  }

  /** The most that one gateway sent in any second. */
  public long mostDatagrams() {
    return mostDatagrams;
  }

  public long mostBytes() {
    return mostBytes;
  }

  public long carried() {
    return carried;
  }

  public long dropped() {
    return dropped;
  }

  private void come(int to, DatagramPacket packet) {
    int from = senders.getOrDefault(packet.sender().port(), NOBODY);
    if (from == NOBODY) { // One that has ended, or has not said yet where it is.
      return;
    }
    long now = System.nanoTime() / 1_000_000_000;
    if (second[from] != now) {
      second[from] = now;
      datagrams[from] = 0;
      bytes[from] = 0;
    }
    mostDatagrams = Math.max(mostDatagrams, ++datagrams[from]);
    bytes[from] += packet.data().length();
    mostBytes = Math.max(mostBytes, bytes[from]);
    Way way = ways[from][to];
    if (way.cut || chance.nextDouble() < way.loss) {
      dropped++;
      return;
    }
    int copies = chance.nextDouble() < way.doubled ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      if (way.delayMs == 0) {
        pass(to, packet.data());
      } else {
        vertx.setTimer(SLACK_MS + chance.nextLong(way.delayMs), due -> pass(to, packet.data()));
      }
    }
  }

  private void pass(int to, Buffer data) {
    if (real[to] != 0) {
      carried++;
      relays.get(to).send(data, real[to], "127.0.0.1");
    }
  }
}
