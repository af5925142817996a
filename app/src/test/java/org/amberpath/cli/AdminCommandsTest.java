package org.amberpath.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests what {@code members} and {@code leader} print for responses of the admin endpoint. */
class AdminCommandsTest {
  private static final int CONFLICT = 409;

  @TempDir private Path folder;
  private HttpServer adminServer;
  private String settings;

  @BeforeEach
  void startAdminServer() throws Exception {
    adminServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    adminServer.start();
    Path key = Files.writeString(folder.resolve("keys"), "k1 00");
    String text =
        "[fleet]\nlisten = 127.0.0.1:7946\nseeds = 127.0.0.1:7946\nkey = "
            + key
            + "\noperators = 127.0.0.1:"
            + adminServer.getAddress().getPort()
            + "\n";
    settings = Files.writeString(folder.resolve("a.ini"), text).toString();
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
  void membersListShowsPhaseShareAndMembers() {
    respond(
        "/fleet",
        AdminClient.OK,
        """
        {"name": "g1", "fleet": "a", "phase": "settled", "there": 2, "counted": 3, "part": 0.0,
         "told": 4, "gateways": [{"name": "g2", "standing": "alive",
         "address": "127.0.0.1:7947", "since_ms": 1500}]}
        """);

    CommandRunner.Result result = CommandRunner.run("members", "--file", settings, "list");

    assertEquals(AmberpathCommand.SUCCESS, result.exitCode(), result.err());
    assertEquals(
        "g1 in fleet a: phase settled, 2 present, share 1/3, not assigned yet (told = 4)\n"
            + "  "
            + "g2"
            + " ".repeat(31)
            + "alive     127.0.0.1:7947        for 1.5 s\n",
        result.out());
  }

  @Test
  void forgetOfAMemberThatIsNotLostFails() {
    respond("/fleet/forget/g2", CONFLICT, "");

    CommandRunner.Result result = CommandRunner.run("members", "--file", settings, "forget", "g2");

    assertEquals(AmberpathCommand.FAILURE, result.exitCode());
    assertEquals("g2: not removed: the gateway does not list this member as lost\n", result.err());
  }

  @Test
  void leaderListShowsVotersAndLease() {
    respond(
        "/owner",
        AdminClient.OK,
        """
        {"name": "g1", "votes": true, "voters": ["g1", "g2"], "tasks": [{"task": "sweep",
         "state": "holding", "term": 7, "holds": true, "left_ms": 900, "done": 5, "refused": 1,
         "failed": 2}]}
        """);

    CommandRunner.Result result = CommandRunner.run("leader", "--file", settings, "list");

    assertEquals(AmberpathCommand.SUCCESS, result.exitCode(), result.err());
    assertEquals(
        "g1 (voter); voters: [g1, g2]\n"
            + "  sweep      holding   term 7, lease expires in 900 ms; done 5, refused 1,"
            + " failed 2\n",
        result.out());
  }

  @Test
  void releaseOfATaskThatTheGatewayDoesNotLeadFails() {
    respond("/owner/release/sweep", CONFLICT, "");

    CommandRunner.Result result =
        CommandRunner.run("leader", "--file", settings, "release", "sweep");

    assertEquals(AmberpathCommand.FAILURE, result.exitCode());
    assertEquals("sweep: not released: the gateway does not lead this task\n", result.err());
  }
}
