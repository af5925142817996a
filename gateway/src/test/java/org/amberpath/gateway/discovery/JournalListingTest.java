package org.amberpath.gateway.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.gateway.settings.JsonReader;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests which entries of one journal reply {@link JournalDecoder} forwards as one endpoint list.
 */
class JournalListingTest {
  private final List<String> events = new ArrayList<>();

  /**
   * Builds a reply from words, one for each entry. The first letter is the kind: R full list, C
   * changes, P purge, O unknown kind. For R and C comma-separated ids follow; "-" marks an endpoint
   * that is gone.
   */
  private static JsonReader reply(String words) throws IOException {
    StringBuilder text = new StringBuilder("{'pos':9,'entries':[");
    int pos = 0;
    for (String word : words.split(" ", -1)) {
      text.append(pos == 0 ? "" : ",").append("{'pos':").append(++pos).append(',');
      switch (word.charAt(0)) {
        case 'P' -> text.append("'expire':{'set':0,'stamp':5}}");
        case 'O' -> text.append("'other':{}}");
        default -> {
          text.append("'hosts':{'reset':").append(word.charAt(0) == 'R').append(",'instances':[");
          String separator = "";
          for (String id : word.substring(1).split(",", -1)) {
            text.append(separator).append("{'instanceId':'").append(id.replace("-", ""));
            text.append("','lifecycle':'").append(id.startsWith("-") ? "gone'}" : "ready'}");
            separator = ",";
          }
          text.append("]}}");
        }
      }
    }
    String json = text.append("]}").toString().replace('\'', '"');
    return JsonReader.read("reply", new JsonFactory().createParser(json));
  }

  @ParameterizedTest
  @CsvSource({
    "Ca Cb Cc, changes a b c listed",
    "Ca O Cb, changes a b listed",
    "Ca Rb Cc, changes a listed full b c listed",
    "Ca P Cb, changes a listed purge changes b listed",
    "Ra P, full a listed purge",
    "Ca Cb C-a, changes a b -a listed",
    "'C-a Cb Ca,c Cd', changes -a b listed changes a c d listed",
    "C-a C-a P Ca, changes -a -a listed purge changes a listed"
  })
  void consecutiveChangesAreForwardedAsOneList(String entries, String expected) throws Exception {
    new JournalDecoder(new IgnoringReplyListener())
        .decode(reply(entries), new RecordingListener(""));
    assertEquals(expected, String.join(" ", events));
  }

  @Test
  void changesBeforeARejectedEndpointAreForwarded() throws Exception {
    JsonReader reply = reply("Ca Cbad Cc");
    JournalDecoder decoder = new JournalDecoder(new IgnoringReplyListener());
    assertThrows(
        InvalidDocumentException.class,
        () -> decoder.decode(reply, new RecordingListener("bad")),
        "the listener's exception reaches the caller");
    assertEquals("changes a listed", String.join(" ", events));
    events.clear();
    assertThrows(
        InvalidDocumentException.class,
        () -> decoder.decode(reply("Rbad"), new RecordingListener("bad")));
    assertEquals(
        "full", String.join(" ", events), "a full list with a rejected endpoint is not completed");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "'expire':{'name':'xyz','stamp':5}"
            + " | expire: field 'name' is not a hexadecimal object id: xyz",
        "'hosts':{'instances':[{'instanceId':'a','lifecycle':'lost'}]}"
            + " | field 'lifecycle' is of no known kind: lost; expected ready, draining or gone"
      })
  void messageNamesTheInvalidField(String entry, String message) throws Exception {
    String json = "{'entries':[{'pos':1," + entry + "}]}";
    JsonReader reply =
        JsonReader.read("reply", new JsonFactory().createParser(json.replace('\'', '"')));
    InvalidDocumentException exception =
        assertThrows(
            InvalidDocumentException.class,
            () ->
                new JournalDecoder(new IgnoringReplyListener())
                    .decode(reply, new RecordingListener("")));
    assertTrue(exception.getMessage().endsWith(message), exception.getMessage());
    assertEquals(List.of(), events);
  }

  private static final class IgnoringReplyListener implements JournalDecoder.ReplyListener {
    @Override
    public void replyStarted(JournalDecoder.EntrySource source, long newestPurgeMillis) {}

    @Override
    public void replyEnded() {}
  }

  /** Records the events it receives, and throws for the endpoint with the given id. */
  private final class RecordingListener implements EndpointListener {
    private final String rejectedId;

    RecordingListener(String rejectedId) {
      this.rejectedId = rejectedId;
    }

    @Override
    public void endpointListStarted(EndpointListKind kind) {
      events.add(kind == EndpointListKind.FULL ? "full" : "changes");
    }

    @Override
    public void endpointListed(ListedEndpoint endpoint) {
      if (endpoint.id().equals(rejectedId)) {
        throw new InvalidDocumentException("unusable");
      }
      events.add(endpoint.state() == EndpointState.GONE ? "-" + endpoint.id() : endpoint.id());
    }

    @Override
    public void endpointListCompleted() {
      events.add("listed");
    }

    @Override
    public void objectPurged(long object, int group, long atMs) {
      events.add("purge");
    }
  }
}
