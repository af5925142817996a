package org.amberpath.registry.runtime;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.regex.Pattern;
import org.amberpath.registry.Snapshot;

/**
 * Reads and writes the snapshot file. A write goes to a temporary file that then atomically
 * replaces the previous one, so a crash leaves the previous one intact. Blocking: must not be
 * called on the event loop.
 */
final class SnapshotFile {
  private static final String TEMPORARY_SUFFIX = ".new";

  /**
   * Suffix of this process's temporary files. Guards against a predecessor that has not exited yet
   * and would write to the same temporary file.
   */
  private static final String PROCESS_SUFFIX = Long.toHexString(new SecureRandom().nextLong());

  private SnapshotFile() {}

  /**
   * Writes a snapshot to the local disk. On failure the previous file stays in place, unless only
   * the sync of the directory failed.
   */
  static void write(Path file, Snapshot snapshot) throws SnapshotException {
    write(file, snapshot, FileOperations.DISK);
  }

  /** Writes a snapshot to the given disk, with the same result on failure. */
  static void write(Path file, Snapshot snapshot, FileOperations files) throws SnapshotException {
    byte[] bytes = SnapshotCodec.encode(snapshot);
    Path temporary =
        file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX + "-" + PROCESS_SUFFIX);
    try {
      replace(file, temporary, bytes, files);
      // Guards against a power loss that undoes the rename.
      files.forceDirectory(file.toAbsolutePath().getParent());
    } catch (IOException e) {
      throw new SnapshotException.WriteFailed(e);
    }
  }

  private static void replace(Path file, Path temporary, byte[] bytes, FileOperations files)
      throws IOException {
    try {
      try (FileChannel out = files.open(temporary)) {
        ByteBuffer remaining = ByteBuffer.wrap(bytes);
        while (remaining.hasRemaining()) {
          files.write(out, remaining);
        }
        files.force(out);
      }
      files.move(temporary, file);
    } catch (IOException e) {
      deleteQuietly(temporary, files);
      throw e;
    }
  }

  /** Deletes temporary files that interrupted writes have left next to the snapshot file. */
  static void deleteLeftovers(Path file, FileOperations files) {
    Pattern leftoverName =
        Pattern.compile(
            Pattern.quote(file.getFileName() + TEMPORARY_SUFFIX) + "(-[0-9a-f]{1,16})?");
    try (DirectoryStream<Path> leftovers =
        Files.newDirectoryStream(
            file.toAbsolutePath().getParent(),
            path ->
                leftoverName.matcher(path.getFileName().toString()).matches()
                    && !path.toString().endsWith(PROCESS_SUFFIX))) {
      leftovers.forEach(path -> deleteQuietly(path, files));
    } catch (IOException | DirectoryIteratorException e) {
      return; // They use disk space but do no other harm; the next start tries again.
    }
  }

  private static void deleteQuietly(Path file, FileOperations files) {
    try {
      files.delete(file);
    } catch (IOException e) {
      return; // The file is never read, and the next start deletes it.
    }
  }

  /** Reads a snapshot; fails if the file is larger than {@code maxBytes}. */
  static Snapshot read(Path file, int maxBytes) throws SnapshotException {
    byte[] bytes;
    try {
      if (Files.size(file) > maxBytes) {
        throw new SnapshotException.TooLong(maxBytes);
      }
      bytes = Files.readAllBytes(file);
    } catch (SnapshotException e) {
      throw e;
    } catch (IOException e) {
      throw new SnapshotException.ReadFailed(e);
    }
    return SnapshotCodec.decode(bytes);
  }
}
