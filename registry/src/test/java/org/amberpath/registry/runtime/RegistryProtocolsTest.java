package org.amberpath.registry.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.MultiMap;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryFailure;
import org.amberpath.registry.RegistryPage;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.Snapshot;
import org.amberpath.routing.EndpointState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The codecs and the snapshot's file: what they take, and what they refuse without harm. */
class RegistryProtocolsTest {
  private static final MultiMap NONE = MultiMap.caseInsensitiveMultiMap();
  private static final RegistryRecord.Cache CACHE =
      new RegistryRecord.Cache(
          "c1", "127.0.0.1:7001", "z", "box", 3, EndpointState.DRAINING, 4, 1_700_000_000_000L);

  private final EtcdProtocol etcd = new EtcdProtocol("p/");
  private final ConsulProtocol consul = new ConsulProtocol("p/", 1000);

  private static String base64(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  private static byte[] bytes(String text) {
    return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
  }

  private static String text(byte[] body) {
    return new String(body, StandardCharsets.UTF_8);
  }

  @Test
  void aCacheReadsAsItWasWritten() {
    assertEquals(CACHE, RecordCodec.decode("caches/c1", RecordCodec.encode(CACHE)));
    RegistryRecord.Purge purge =
        new RegistryRecord.Purge(0x7f3a9c21e0b4d655L, 0, 1_700_000_000_000L);
    assertEquals(purge, RecordCodec.decode("purges/1", RecordCodec.encode(purge)));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "[]",
        "{'v':2}",
        "{'v':1,'address':'host:1','zone':'z','kind':'k','state':'ready'}",
        "{'v':1,'address':'127.0.0.1:1','zone':'z','kind':'k','state':'gone'}",
        "{'v':1,'address':'127.0.0.1:1','zone':'z','kind':'k','state':'ready','weight':0}",
        "{'v':1,'address':'127.0.0.1:1','zone':'','kind':'k','state':'ready'}",
        "{'v':1,'address':'127.0.0.1:1','zone':'z','kind':'k','state':'ready','cell':99999999999}"
      })
  void aValueThatIsNotAsThePageHasItIsUnreadableAndNoMore(String value) {
    assertInstanceOf(
        RegistryRecord.Unreadable.class, RecordCodec.decode("caches/c1", bytes(value)));
  }

  @Property(tries = 500)
  void noValueIsThrownOver(@ForAll byte[] value) {
    RecordCodec.decode("caches/c1", value);
    RecordCodec.decode("purges/1", value);
  }

  @Property(tries = 500)
  void noLineIsThrownOverButAsMalformed(@ForAll byte[] line) {
    try {
      new EtcdProtocol("p/").decodeFrame(line);
    } catch (InvalidDocumentException e) {
      assertTrue(e.getMessage().length() < 200);
    }
  }

  @Test
  void aRangeIsAskedAndReadByThePublishedForm() {
    RegistryProtocol.Request ask = etcd.listRequest(7, "p/caches/a", 5, 100);
    assertEquals("/v3/kv/range", ask.uri());
    assertEquals(
        "{'key':'"
            + base64("p/caches/a\0")
            + "','range_end':'"
            + base64("p0")
            + "','limit':'100',"
            + "'revision':'7','min_mod_revision':'5'}",
        text(ask.body()).replace('"', '\''));
    RegistryPage page =
        etcd.decodePage(
            200,
            NONE,
            bytes(
                "{'header':{'cluster_id':'12','revision':'40'},'kvs':[{'key':'"
                    + base64("p/caches/c1")
                    + "','create_revision':'3','mod_revision':'9','value':'"
                    + Base64.getEncoder().encodeToString(RecordCodec.encode(CACHE))
                    + "'}],'more':true,'count':'2'}"));
    assertEquals(List.of(new RegistryEntry("p/caches/c1", CACHE, 3, 9)), page.entries());
    assertEquals(40, page.header().revision());
    assertTrue(page.hasMore());
    assertEquals(2, page.totalCount());
  }

  @Test
  void aWatchsLinesSayWhatThePublishedFormHas() {
    String header = "'header':{'cluster_id':'12','revision':'40'}";
    assertInstanceOf(
        RegistryProtocol.Frame.Opened.class,
        etcd.decodeFrame(bytes("{'result':{" + header + ",'created':true}}")));
    assertInstanceOf(
        RegistryProtocol.Frame.Compacted.class,
        etcd.decodeFrame(
            bytes("{'result':{" + header + ",'canceled':true,'compact_revision':'33'}}")));
    assertEquals(
        new RegistryProtocol.Frame.Ended(RegistryFailure.UNAUTHORISED),
        etcd.decodeFrame(bytes("{'error':{'grpc_code':16,'message':'x'}}")));
    RegistryProtocol.Frame.Events told =
        (RegistryProtocol.Frame.Events)
            etcd.decodeFrame(
                bytes(
                    "{'result':{"
                        + header
                        + ",'fragment':true,'events':["
                        + "{'type':'DELETE','kv':{'key':'"
                        + base64("p/caches/c1")
                        + "','mod_revision':'40'}}]}}"));
    assertTrue(told.partial());
    assertNull(told.events().get(0).entry());
    assertEquals(40, told.events().get(0).revision());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{'header':{'revision':'-4'}}",
        "{'header':{'revision':'4x'}}",
        "{'kvs':[]}",
        "{'header':{'revision':'4'},'kvs':[{'key':'!!'}]}",
        "{'header':{'revision':'4'},'kvs':[{'key':'cQ=='}]}"
      })
  void aPageThatIsNotAsPublishedIsMalformed(String body) {
    assertThrows(InvalidDocumentException.class, () -> etcd.decodePage(200, NONE, bytes(body)));
  }

  @ParameterizedTest
  @CsvSource({
    "401,0,UNAUTHORISED",
    "403,7,UNAUTHORISED",
    "429,8,THROTTLED",
    "503,14,UNAVAILABLE",
    "400,16,UNAUTHORISED",
    "404,5,UNREADABLE"
  })
  void aStatusSaysWhyItIsNoAnswer(int status, int code, RegistryFailure why) {
    assertEquals(Optional.of(why), etcd.failure(status, bytes("{'code':" + code + "}")));
    assertTrue(etcd.isCompacted(400, bytes("{'code':11,'message':'compacted'}")));
  }

  @Test
  void aBlockingReadIsAskedAndReadByThePublishedForm() {
    assertEquals(
        "/v1/kv/p/?recurse=true&consistent=true&index=40&wait=1000ms",
        consul.watchRequest(41).uri());
    MultiMap headers = MultiMap.caseInsensitiveMultiMap().add("X-Consul-Index", "41");
    RegistryPage page =
        consul.decodePage(
            200,
            headers,
            bytes(
                "[{'Key':'p/caches/c1','Value':'"
                    + Base64.getEncoder().encodeToString(RecordCodec.encode(CACHE))
                    + "','CreateIndex':3,'ModifyIndex':9}]"));
    assertEquals(List.of(new RegistryEntry("p/caches/c1", CACHE, 3, 9)), page.entries());
    assertTrue(page.totalCount() < 0);
    assertEquals(List.of(), consul.decodePage(404, headers, new byte[0]).entries());
    assertThrows(InvalidDocumentException.class, () -> consul.decodePage(404, NONE, new byte[0]));
  }

  // ---- The snapshot's file.

  private static Snapshot snapshot() {
    return new Snapshot(
        "p/",
        "12",
        40,
        5,
        List.of(
            new RegistryEntry("p/caches/c1", CACHE, 3, 9),
            new RegistryEntry("p/tip", new RegistryRecord.Other(), 1, 40)));
  }

  @Test
  void aSnapshotReadsAsItWasWritten(@TempDir Path folder) throws IOException {
    Path file = folder.resolve("view");
    SnapshotFile.write(file, snapshot());
    SnapshotFile.write(file, snapshot());
    assertEquals(snapshot(), SnapshotFile.read(file, 10_000));
    assertEquals(1, folder.toFile().list().length);
  }

  @Test
  void aTornSnapshotIsToldWhereverItWasTorn(@TempDir Path folder) throws IOException {
    Path file = folder.resolve("view");
    SnapshotFile.write(file, snapshot());
    byte[] whole = Files.readAllBytes(file);
    for (int length = 0; length < whole.length; length++) {
      Files.write(file, java.util.Arrays.copyOf(whole, length));
      assertThrows(IOException.class, () -> SnapshotFile.read(file, 10_000));
    }
  }

  @Test
  void aSnapshotOfALaterVersionOrPastTheBoundIsPassedOver(@TempDir Path folder) throws IOException {
    Path file = folder.resolve("view");
    SnapshotFile.write(file, snapshot());
    assertThrows(IOException.class, () -> SnapshotFile.read(file, 20));
    Files.writeString(file, Files.readString(file).replaceFirst("snapshot 1 ", "snapshot 2 "));
    assertEquals(
        "of version 2",
        assertThrows(IOException.class, () -> SnapshotFile.read(file, 10_000)).getMessage());
  }
}
