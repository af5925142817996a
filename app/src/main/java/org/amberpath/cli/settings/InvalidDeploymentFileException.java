package org.amberpath.cli.settings;

import java.nio.file.Path;

/**
 * A deployment file can't be read, or its first fault; the message is {@code FILE: [section] key:
 * what is wrong}, with as much of it as is known.
 */
public final class InvalidDeploymentFileException extends RuntimeException {
  private static final long serialVersionUID = 1;

  private InvalidDeploymentFileException(String message) {
    super(message);
  }

  /** The file itself can't be read or is no INI. */
  static InvalidDeploymentFileException inFile(Path file, String what) {
    return new InvalidDeploymentFileException(file + ": " + what);
  }

  /** A section is unknown or missing. */
  static InvalidDeploymentFileException inSection(Path file, String section, String what) {
    return new InvalidDeploymentFileException(file + ": [" + section + "]: " + what);
  }

  /** A key is unknown or missing, or its value is invalid. */
  static InvalidDeploymentFileException atKey(Path file, String section, String key, String what) {
    return new InvalidDeploymentFileException(file + ": [" + section + "] " + key + ": " + what);
  }
}
