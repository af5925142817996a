package org.amberpath.gateway.settings;

/**
 * Thrown when a JSON document or one of its fields is invalid: absent, of the wrong type or out of
 * range. The message names the document and the field and states the problem.
 */
public final class InvalidDocumentException extends RuntimeException {
  private static final long serialVersionUID = 1;

  private final String document;
  private final String key;

  /**
   * Creates an exception for a document that is invalid as a whole.
   *
   * @param message names the document and states the problem
   */
  public InvalidDocumentException(String message) {
    super(message);
    document = "";
    key = "";
  }

  /**
   * Creates an exception for an invalid field of a document.
   *
   * @param document the name of the object that holds the field
   * @param key the key of the field
   * @param problem what the field is, as it follows "is" in the message: "missing", "not a string"
   */
  InvalidDocumentException(String document, String key, String problem) {
    super(document + ": field '" + key + "' is " + problem);
    this.document = document;
    this.key = key;
  }

  /**
   * Returns the name of the JSON object that holds the invalid field: the document's name and the
   * keys that lead to the object, separated by spaces. Empty if the document is invalid as a whole.
   */
  public String document() {
    return document;
  }

  /** Returns the key of the invalid field; empty if the document is invalid as a whole. */
  public String key() {
    return key;
  }
}
