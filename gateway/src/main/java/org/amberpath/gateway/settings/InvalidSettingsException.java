package org.amberpath.gateway.settings;

/**
 * Settings that a process cannot start with. The message is one line for the operator; it names the
 * file, the section and the key as far as they are known.
 */
public final class InvalidSettingsException extends RuntimeException {
  private static final long serialVersionUID = 1;

  private final String file;
  private final String section;
  private final String key;

  /**
   * Settings that are invalid.
   *
   * @param file the file, or what else the settings are read from
   * @param section the section of the file, or the object in it; empty for the file as a whole
   * @param key the key in the section; empty for the section as a whole
   */
  public InvalidSettingsException(String file, String section, String key, String message) {
    super(message);
    this.file = file;
    this.section = section;
    this.key = key;
  }

  /** Settings in a JSON file that are invalid, with the message of the reader. */
  public InvalidSettingsException(String file, InvalidDocumentException cause) {
    super(cause.getMessage(), cause);
    this.file = file;
    section = cause.document();
    key = cause.key();
  }

  /** The file, or what else the settings are read from. */
  public String file() {
    return file;
  }

  /** The section of the file, or the object in it; empty for the file as a whole. */
  public String section() {
    return section;
  }

  /** The key in the section; empty for the section as a whole. */
  public String key() {
    return key;
  }
}
