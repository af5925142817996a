package org.amberpath.gateway.settings;

/**
 * A JSON document, or one field of it, is not as its page has it. The message names the document
 * and the field, and says what is wrong.
 */
public final class InvalidDocumentException extends RuntimeException {
  private static final long serialVersionUID = 1;

  private final String document;
  private final String key;

  /** The document as a whole is invalid, for a reason that the message gives. */
  public InvalidDocumentException(String message) {
    super(message);
    document = "";
    key = "";
  }

  /** One field of a document is invalid. */
  InvalidDocumentException(String document, String key, String problem) {
    super(document + ": field '" + key + "' is " + problem);
    this.document = document;
    this.key = key;
  }

  /** The name of the object in the document, with the keys that lead to it; empty if unknown. */
  public String document() {
    return document;
  }

  /** The key of the field; empty where the document as a whole is invalid. */
  public String key() {
    return key;
  }
}
