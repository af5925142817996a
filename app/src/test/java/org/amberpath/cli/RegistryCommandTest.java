package org.amberpath.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerOptions;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.amberpath.lab.EventLoopWaiter;
import org.amberpath.lab.registry.StandInRegistry;
import org.amberpath.registry.runtime.RecordCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the error messages of the {@code registry} commands against a stand-in registry. */
class RegistryCommandTest {
  private static final String PREFIX = "amberpath/";

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final StandInRegistry registry = new StandInRegistry(vertx, new HttpServerOptions());
  @TempDir private Path folder;
  private Path settings;

  @BeforeEach
  void openRegistry() throws Exception {
    int port =
        EventLoopWaiter.await(EventLoopWaiter.callOnLoop(vertx, () -> registry.open(0))).port();
    settings =
        Files.writeString(
            folder.resolve("a.ini"),
            "[registry]\nform = etcd\nendpoints = 127.0.0.1:"
                + port
                + "\nprefix = "
                + PREFIX
                + "\n");
  }

  @AfterEach
  void close() throws Exception {
    EventLoopWaiter.await(vertx.close());
  }

  private CommandRunner.Result registry(String... args) {
    List<String> all = new ArrayList<>(List.of("registry", "--file", settings.toString()));
    all.addAll(List.of(args));
    return CommandRunner.run(all.toArray(String[]::new));
  }

  private CommandRunner.Result add(String id, String address) {
    return registry("add", id, "--address", address, "--zone", "z", "--kind", "edge");
  }

  private static void assertError(int exitCode, String message, CommandRunner.Result result) {
    assertEquals(message + "\n", result.err());
    assertEquals(exitCode, result.exitCode());
  }

  @Test
  void changeOfAnUnknownCacheFails() {
    assertError(
        AmberpathCommand.FAILURE, "e1: no such cache in the registry", registry("drain", "e1"));
  }

  @Test
  void changeOfAnUndecodableRecordFails() throws Exception {
    byte[] undecodable = "x".getBytes(StandardCharsets.UTF_8);
    EventLoopWaiter.callOnLoop(
        vertx,
        () -> registry.write(Map.of(PREFIX + RecordCodec.CACHES_PREFIX + "e1", undecodable)));

    assertError(
        AmberpathCommand.FAILURE,
        "e1: the registry's record of this cache can't be decoded",
        registry("drain", "e1"));
  }

  @Test
  void addOfAnExistingCacheFails() {
    assertEquals(AmberpathCommand.SUCCESS, add("e1", "127.0.0.1:9001").exitCode());

    assertError(
        AmberpathCommand.FAILURE,
        "e1: not written: the key exists already or has changed since it was read; list it and"
            + " retry",
        add("e1", "127.0.0.1:9001"));
  }

  @Test
  void addOfAnInvalidRecordIsAUsageError() {
    CommandRunner.Result result = add("e1", "nowhere");

    assertEquals(AmberpathCommand.USAGE_ERROR, result.exitCode());
    assertTrue(result.err().startsWith("add: gateways would reject this record: "), result.err());
    assertTrue(result.err().contains("address"), result.err());
  }

  @Test
  void purgeWithoutAnObjectOrGroupIsAUsageError() {
    assertError(
        AmberpathCommand.USAGE_ERROR,
        "purge: neither --object nor --group is given, or they are 0",
        registry("purge"));
    assertError(
        AmberpathCommand.USAGE_ERROR,
        "purge: --object: not a hexadecimal id: xyz",
        registry("purge", "--object", "xyz"));
  }
}
