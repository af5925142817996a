import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;

/** A proxy for one TCP server: requests pass at once, answers come late by a given time. */
final class DelayProxy implements AutoCloseable {
  private record Chunk(long atNanos, byte[] bytes) {}

  private final ServerSocket server;
  private final int target;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  volatile long delayMillis;

  DelayProxy(int target, long delayMillis) throws IOException {
    this.target = target;
    this.delayMillis = delayMillis;
    server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "proxy");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket client = server.accept();
        start(() -> connect(client));
      }
    } catch (IOException e) {
      // It was closed.
    }
  }

  private void connect(Socket client) {
    try {
      Socket upstream = new Socket("127.0.0.1", target);
      client.setTcpNoDelay(true);
      upstream.setTcpNoDelay(true);
      sockets.add(client);
      sockets.add(upstream);
      LinkedBlockingQueue<Chunk> answers = new LinkedBlockingQueue<>();
      start(() -> copy(client, upstream));
      start(() -> receive(upstream, answers));
      start(() -> deliver(answers, client, upstream));
    } catch (IOException e) {
      close(client);
    }
  }

  private void copy(Socket from, Socket to) {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] bytes = new byte[16_384];
      for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
        out.write(bytes, 0, count);
      }
    } catch (IOException e) {
      // One of both has closed.
    }
    close(from);
    close(to);
  }

  private void receive(Socket upstream, LinkedBlockingQueue<Chunk> answers) {
    try {
      InputStream in = upstream.getInputStream();
      byte[] bytes = new byte[16_384];
      for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
        answers.add(
            new Chunk(System.nanoTime() + delayMillis * Rig.MS, Arrays.copyOf(bytes, count)));
      }
    } catch (IOException e) {
      // The server has closed.
    }
    answers.add(new Chunk(System.nanoTime() + delayMillis * Rig.MS, new byte[0]));
  }

  private void deliver(LinkedBlockingQueue<Chunk> answers, Socket client, Socket upstream) {
    try {
      for (Chunk chunk = answers.take(); chunk.bytes.length > 0; chunk = answers.take()) {
        long wait = chunk.atNanos - System.nanoTime();
        if (wait > 0) {
          Thread.sleep(wait / Rig.MS, (int) (wait % Rig.MS));
        }
        client.getOutputStream().write(chunk.bytes);
      }
    } catch (IOException | InterruptedException e) {
      // One of both has closed.
    }
    close(client);
    close(upstream);
  }

  private void close(Socket socket) {
    sockets.remove(socket);
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is left to close.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    sockets.forEach(this::close);
  }
}
