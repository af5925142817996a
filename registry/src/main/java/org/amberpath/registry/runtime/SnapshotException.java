package org.amberpath.registry.runtime;

import java.io.IOException;

/**
 * A snapshot file can't be read, written or accepted. The message states the reason, for the log.
 */
abstract sealed class SnapshotException extends IOException {
  private static final long serialVersionUID = 1;

  private SnapshotException(String message, Throwable cause) {
    super(message, cause);
  }

  /** The file exceeds the maximum size. */
  static final class TooLong extends SnapshotException {
    private static final long serialVersionUID = 1;

    TooLong(int maxBytes) {
      super("the file is larger than " + maxBytes + " bytes", null);
    }
  }

  /** The file's first line is not a snapshot header. */
  static final class NotASnapshot extends SnapshotException {
    private static final long serialVersionUID = 1;

    NotASnapshot() {
      super("the file has no snapshot header", null);
    }
  }

  /** The file has an unsupported format version. */
  static final class UnsupportedVersion extends SnapshotException {
    private static final long serialVersionUID = 1;

    UnsupportedVersion(String version) {
      super("the file has the unsupported version " + version, null);
    }
  }

  /** The file's contents do not match its checksum. */
  static final class ChecksumMismatch extends SnapshotException {
    private static final long serialVersionUID = 1;

    ChecksumMismatch() {
      super("the file is corrupted: its checksum does not match", null);
    }
  }

  /** The checksum matches, but the fields are not those of a snapshot. */
  static final class Malformed extends SnapshotException {
    private static final long serialVersionUID = 1;

    Malformed(Exception cause) {
      super(cause.getMessage(), cause);
    }
  }

  /** The file can't be read from disk. */
  static final class ReadFailed extends SnapshotException {
    private static final long serialVersionUID = 1;

    ReadFailed(IOException cause) {
      super("the file can't be read: " + cause, cause);
    }
  }

  /**
   * The file can't be written: the previous one stays in place. If only the sync of the directory
   * failed, the new one is in place but may not survive a power loss.
   */
  static final class WriteFailed extends SnapshotException {
    private static final long serialVersionUID = 1;

    WriteFailed(IOException cause) {
      super(cause.toString(), cause);
    }
  }
}
