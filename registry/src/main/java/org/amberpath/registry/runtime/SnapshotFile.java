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
 * The file of a snapshot. It is written under a temporary name and moved into its place, so that a
 * crash leaves the one before. Blocks: not for the event loop.
 */
final class SnapshotFile {
  private static final String TEMPORARY_SUFFIX = ".new";

  /** Guards against a process that is not quite gone yet and writes beside the same file. */
  private static final String PROCESS_SUFFIX = Long.toHexString(new SecureRandom().nextLong());

  private SnapshotFile() {}

  /** Writes the whole of it to the machine's disk, or leaves the file as it was. */
  static void write(Path file, Snapshot snapshot) throws SnapshotException {
    write(file, snapshot, FileOperations.DISK);
  }

  /** Writes the whole of it, or leaves the file as it was. */
  static void write(Path file, Snapshot snapshot, FileOperations files) throws SnapshotException {
    byte[] bytes = SnapshotCodec.encode(snapshot);
    Path temporary =
        file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX + "-" + PROCESS_SUFFIX);
    try {
      replace(file, temporary, bytes, files);
      // Guards the move itself against a loss of power.
      files.forceFolder(file.toAbsolutePath().getParent());
    } catch (IOException e) {
      throw new SnapshotException.WriteFailed(e);
    }
  }

  private static void replace(Path file, Path temporary, byte[] bytes, FileOperations files)
      throws IOException {
    try {
      try (FileChannel out = files.open(temporary)) {
        ByteBuffer rest = ByteBuffer.wrap(bytes);
        while (rest.hasRemaining()) {
          files.write(out, rest);
        }
        files.force(out);
      }
      files.move(temporary, file);
    } catch (IOException e) {
      deleteQuietly(temporary, files);
      throw e;
    }
  }

  /** Removes what writes that were cut short have left beside the file. */
  static void clean(Path file, FileOperations files) {
    Pattern stale =
        Pattern.compile(
            Pattern.quote(file.getFileName() + TEMPORARY_SUFFIX) + "(-[0-9a-f]{1,16})?");
    try (DirectoryStream<Path> leftovers =
        Files.newDirectoryStream(
            file.toAbsolutePath().getParent(),
            path ->
                stale.matcher(path.getFileName().toString()).matches()
                    && !path.toString().endsWith(PROCESS_SUFFIX))) {
      leftovers.forEach(path -> deleteQuietly(path, files));
    } catch (IOException | DirectoryIteratorException e) {
      return; // They take place and do no other harm; the next start looks again.
    }
  }

  private static void deleteQuietly(Path file, FileOperations files) {
    try {
      files.delete(file);
    } catch (IOException e) {
      return; // It is never read, and goes with the next start.
    }
  }

  /** Reads a file of so many bytes at most. */
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
