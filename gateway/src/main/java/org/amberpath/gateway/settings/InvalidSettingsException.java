package org.amberpath.gateway.settings;

/**
 * Thrown when settings are missing or invalid, so that the process cannot start with them. The
 * message is one line for the operator and says what is wrong; {@link #file()}, {@link #section()}
 * and {@link #key()} locate the setting as far as it is known.
 */
public final class InvalidSettingsException extends RuntimeException {
  private static final long serialVersionUID = 1;

  private final String file;
  private final String section;
  private final String key;

  /**
   * Creates an exception for settings of any format.
   *
   * @param file the path of the file, or the name of another source such as the environment
   * @param section the section of an INI file or the JSON object; empty if the problem concerns the
   *     whole file
   * @param key the key in the section; empty if the problem concerns the whole section
   * @param message the line for the operator
   */
  public InvalidSettingsException(String file, String section, String key, String message) {
    super(message);
    this.file = file;
    this.section = section;
    this.key = key;
  }

  /**
   * Creates an exception for settings in a JSON file. The message, section and key are those of the
   * cause.
   */
  public InvalidSettingsException(String file, InvalidDocumentException cause) {
    super(cause.getMessage(), cause);
    this.file = file;
    section = cause.document();
    key = cause.key();
  }

  /** Returns the path of the file, or the name of another source such as the environment. */
  public String file() {
    return file;
  }

  /**
   * Returns the section of an INI file or the JSON object; empty if the problem concerns the whole
   * file.
   */
  public String section() {
    return section;
  }

  /** Returns the key in the section; empty if the problem concerns the whole section. */
  public String key() {
    return key;
  }
}
