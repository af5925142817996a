package org.amberpath.cli.settings;

import java.nio.file.Path;

/**
 * Signals that a deployment file can't be read, or reports its first fault. The message has the
 * form {@code FILE: [section] key: what is wrong}; section and key are left out of it if the fault
 * is not at one of them.
 */
public final class InvalidDeploymentFileException extends RuntimeException {
  private static final long serialVersionUID = 1;

  private InvalidDeploymentFileException(String message) {
    super(message);
  }

  /** Returns the exception for a file that can't be read or parsed as INI. */
  static InvalidDeploymentFileException inFile(Path file, String problem) {
    return new InvalidDeploymentFileException(file + ": " + problem);
  }

  /** Returns the exception for an unknown or missing section. */
  static InvalidDeploymentFileException inSection(Path file, String section, String problem) {
    return new InvalidDeploymentFileException(file + ": [" + section + "]: " + problem);
  }

  /** Returns the exception for an unknown or missing key, or for an invalid value. */
  static InvalidDeploymentFileException atKey(
      Path file, String section, String key, String problem) {
    return new InvalidDeploymentFileException(file + ": [" + section + "] " + key + ": " + problem);
  }
}
