package org.amberpath.registry.runtime;

import java.io.IOException;

/** A snapshot file can't be read, written, or taken; the message says why, for the log. */
abstract sealed class SnapshotException extends IOException {
  private static final long serialVersionUID = 1;

  private SnapshotException(String message, Throwable cause) {
    super(message, cause);
  }

  /** The file is longer than a snapshot may be. */
  static final class TooLong extends SnapshotException {
    private static final long serialVersionUID = 1;

    TooLong(int maxBytes) {
      super("longer than " + maxBytes + " bytes", null);
    }
  }

  /** The file's first line is not that of a snapshot. */
  static final class NotASnapshot extends SnapshotException {
    private static final long serialVersionUID = 1;

    NotASnapshot() {
      super("no snapshot", null);
    }
  }

  /** The file is of another version of the form. */
  static final class UnsupportedVersion extends SnapshotException {
    private static final long serialVersionUID = 1;

    UnsupportedVersion(String version) {
      super("of version " + version, null);
    }
  }

  /** The file is not as it was written. */
  static final class ChecksumMismatch extends SnapshotException {
    private static final long serialVersionUID = 1;

    ChecksumMismatch() {
      super("torn: its checksum is another one", null);
    }
  }

  /** The file is as it was written, but its fields are not those of a snapshot. */
  static final class Malformed extends SnapshotException {
    private static final long serialVersionUID = 1;

    Malformed(Exception cause) {
      super(cause.getMessage(), cause);
    }
  }

  /** The disk does not let the file be read. */
  static final class ReadFailed extends SnapshotException {
    private static final long serialVersionUID = 1;

    ReadFailed(IOException cause) {
      super("it can't be read: " + cause, cause);
    }
  }

  /** The disk does not let the file be written; the one before stays. */
  static final class WriteFailed extends SnapshotException {
    private static final long serialVersionUID = 1;

    WriteFailed(IOException cause) {
      super(cause.toString(), cause);
    }
  }
}
