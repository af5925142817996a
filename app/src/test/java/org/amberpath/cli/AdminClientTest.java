package org.amberpath.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.amberpath.gateway.settings.InvalidSettingsException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the results of requests to a gateway's admin endpoint and the message of each error. */
class AdminClientTest {
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  @TempDir private Path folder;
  private HttpServer adminServer;
  private AdminClient client;

  @BeforeEach
  void startAdminServer() throws Exception {
    adminServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    adminServer.start();
    client = new AdminClient(SocketAddress.inetSocketAddress(adminServer.getAddress()));
  }

  @AfterEach
  void stopAdminServer() {
    adminServer.stop(0);
  }

  private void respond(String path, int status, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    adminServer.createContext(
        path,
        exchange -> {
          exchange.sendResponseHeaders(status, bytes.length);
          exchange.getResponseBody().write(bytes);
          exchange.close();
        });
  }

  @Test
  void getReturnsTheParsedJson() throws Exception {
    respond("/page", AdminClient.OK, "{\"name\":\"g1\"}");

    assertEquals("g1", client.get("/page").getString("name"));
  }

  @Test
  void getWithAnotherStatusThrowsUnexpectedStatus() {
    respond("/page", NOT_FOUND, "none");

    AdminException.UnexpectedStatus e =
        assertThrows(AdminException.UnexpectedStatus.class, () -> client.get("/page"));

    assertEquals("unexpected response from the gateway: status 404, expected 200", e.getMessage());
  }

  @Test
  void postReturnsTheStatus() throws Exception {
    respond("/change", CONFLICT, "no");

    assertEquals(CONFLICT, client.post("/change"));
  }

  @Test
  void connectionClosedWithoutResponseThrowsUnreachable() throws Exception {
    try (ServerSocket closingServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Thread closer =
          new Thread(
              () -> {
                try {
                  while (true) {
                    closingServer.accept().close();
                  }
                } catch (IOException e) {
                  // The test has closed the server socket.
                }
              });
      closer.start();
      String authority = "127.0.0.1:" + closingServer.getLocalPort();
      AdminClient unreachable =
          new AdminClient(
              SocketAddress.inetSocketAddress(closingServer.getLocalPort(), "127.0.0.1"));

      AdminException.Unreachable e =
          assertThrows(AdminException.Unreachable.class, () -> unreachable.get("/page"));

      assertEquals(
          "no response from a gateway at " + authority + ": " + e.getCause(), e.getMessage());
    }
  }

  @Test
  void fileWithoutAdminAddressThrowsInvalidSettings() throws Exception {
    Path file = Files.writeString(folder.resolve("a.ini"), "");

    InvalidSettingsException e =
        assertThrows(InvalidSettingsException.class, () -> AdminClient.fromFile(file));

    assertTrue(e.getMessage().endsWith("a.ini: [fleet] operators: missing"), e.getMessage());
  }
}
