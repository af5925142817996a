package org.amberpath.registry.runtime;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The disk operations of {@link SnapshotFile}. Tests implement disks whose operations fail. */
interface FileOperations {
  /** The local disk. */
  FileOperations DISK = new FileOperations() {};

  /** Creates or truncates a file and opens it for writing. */
  default FileChannel open(Path file) throws IOException {
    return FileChannel.open(
        file,
        StandardOpenOption.CREATE,
        StandardOpenOption.WRITE,
        StandardOpenOption.TRUNCATE_EXISTING);
  }

  /** Writes as many bytes as the disk accepts in one call. */
  default void write(FileChannel to, ByteBuffer bytes) throws IOException {
    to.write(bytes);
  }

  /** Forces a file's contents to disk; returns once they survive a power loss. */
  default void force(FileChannel file) throws IOException {
    file.force(true);
  }

  /** Atomically replaces a file. */
  default void move(Path from, Path to) throws IOException {
    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Forces a directory's entries to disk; returns once they survive a power loss. */
  default void forceDirectory(Path directory) throws IOException {
    try (FileChannel names = FileChannel.open(directory, StandardOpenOption.READ)) {
      names.force(true);
    }
  }

  /** Deletes a file if it exists. */
  default void delete(Path file) throws IOException {
    Files.deleteIfExists(file);
  }
}
