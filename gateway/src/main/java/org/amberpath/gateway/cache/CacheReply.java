package org.amberpath.gateway.cache;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.amberpath.gateway.transport.ReceivedText;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.ResponseDetail;

/**
 * A cache's reply to one command. On the wire it is an array of request id, status, fields ({@code
 * name=value}, separated by commas) and body.
 *
 * @param outcome the outcome of the attempt
 * @param note what the cache reported about how it produced the reply
 * @param body the body; null if there is none, also if the client's copy is current
 */
record CacheReply(AttemptOutcome outcome, ResponseDetail note, Buffer body) {
  private static final int ELEMENT_COUNT = 4;
  private static final int REQUEST_ID_INDEX = 0;
  private static final int STATUS_INDEX = 1;
  private static final int FIELDS_INDEX = 2;
  private static final int BODY_INDEX = 3;
  private static final String OK_STATUS = "ok";
  private static final String CURRENT_STATUS = "current";
  private static final String TAG_FIELD = "entity=";
  private static final String ISSUED_FIELD = "issued=";
  private static final String NOTE_FIELD = "res=";

  /**
   * Index i holds the letter of the {@link ResponseDetail} with ordinal i + 1; NONE has no letter.
   */
  private static final String NOTE_LETTERS = "hfojsrblnx";

  private static final ResponseDetail[] DETAILS = ResponseDetail.values();

  /** Returns the request id of a reply, which has at least one element. */
  static String requestId(List<Buffer> elements) {
    return decodeLatin1(elements.get(REQUEST_ID_INDEX));
  }

  /**
   * Decodes the reply to a command.
   *
   * @throws InvalidReplyException if the reply has the wrong number of elements or an unknown
   *     status, lacks the entity tag and issue time of a copy, or confirms a copy that the client
   *     does not hold
   */
  static CacheReply decode(List<Buffer> elements, CacheCommand command)
      throws InvalidReplyException {
    if (elements.size() != ELEMENT_COUNT) {
      throw new InvalidReplyException(
          "reply: got an array of "
              + elements.size()
              + ", expected "
              + ELEMENT_COUNT
              + " elements: request id, status, fields, body");
    }
    String status = decodeLatin1(elements.get(STATUS_INDEX));
    String fields = decodeLatin1(elements.get(FIELDS_INDEX));
    AttemptOutcome outcome =
        switch (status) {
          case OK_STATUS -> {
            if (command.expectsCopy()) {
              checkCopyFields(status, fields);
            }
            yield AttemptOutcome.SUCCEEDED;
          }
          case CURRENT_STATUS -> {
            // The reply must name the copy that the client holds, so that it confirms no other.
            checkCopyFields(status, fields);
            checkKnownTag(fieldValue(fields, TAG_FIELD), command);
            yield AttemptOutcome.SUCCEEDED;
          }
          case "nothing" -> AttemptOutcome.NOT_CACHED;
          case "refused" -> AttemptOutcome.REJECTED;
          case "error" -> AttemptOutcome.FAILED;
          case "stale" -> AttemptOutcome.NOT_SENT;
          default ->
              throw new InvalidReplyException(
                  "reply: status: got "
                      + ReceivedText.quote(status)
                      + ", expected ok, current, nothing, refused, error or stale");
        };
    return new CacheReply(
        outcome, note(fields), status.equals(OK_STATUS) ? elements.get(BODY_INDEX) : null);
  }

  private static void checkCopyFields(String status, String fields) throws InvalidReplyException {
    if (!hasCopyFields(fields)) {
      throw new InvalidReplyException(
          "reply: status "
              + status
              + ": got entity="
              + ReceivedText.quote(fieldValue(fields, TAG_FIELD))
              + " issued="
              + ReceivedText.quote(fieldValue(fields, ISSUED_FIELD))
              + ", expected an entity tag and a decimal time");
    }
  }

  private static void checkKnownTag(String tag, CacheCommand command) throws InvalidReplyException {
    if (!command.isKnownTag(tag)) {
      throw new InvalidReplyException(
          "reply: status current: got entity="
              + ReceivedText.quote(tag)
              + ", expected the tag of the client's copy, "
              + (command.knownTag.isEmpty() ? "which has none" : command.knownTag));
    }
  }

  /** Returns whether the fields have an entity tag and the origin's issue time in decimal. */
  private static boolean hasCopyFields(String fields) {
    String issued = fieldValue(fields, ISSUED_FIELD);
    return !fieldValue(fields, TAG_FIELD).isEmpty()
        && !issued.isEmpty()
        && issued.chars().allMatch(digit -> digit >= '0' && digit <= '9');
  }

  private static ResponseDetail note(String fields) {
    String letter = fieldValue(fields, NOTE_FIELD);
    int index = letter.length() == 1 ? NOTE_LETTERS.indexOf(letter) : -1;
    return index < 0 ? ResponseDetail.NONE : DETAILS[index + 1];
  }

  /**
   * Returns the value of a field; empty if the field is missing.
   *
   * @param name the field name with its equals sign
   */
  private static String fieldValue(String fields, String name) {
    int start = fields.startsWith(name) ? 0 : fields.indexOf("," + name) + 1;
    if (start == 0 && !fields.startsWith(name)) {
      return "";
    }
    int end = fields.indexOf(',', start);
    return fields.substring(start + name.length(), end < 0 ? fields.length() : end);
  }

  private static String decodeLatin1(Buffer bytes) {
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }
}
