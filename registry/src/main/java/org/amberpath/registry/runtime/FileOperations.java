package org.amberpath.registry.runtime;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** What a snapshot needs of a disk, each call of which may fail: a test's disk fails on purpose. */
interface FileOperations {
  /** The machine's own disk. */
  FileOperations DISK = new FileOperations() {};

  /** An empty file that is written to. */
  default FileChannel open(Path file) throws IOException {
    return FileChannel.open(
        file,
        StandardOpenOption.CREATE,
        StandardOpenOption.WRITE,
        StandardOpenOption.TRUNCATE_EXISTING);
  }

  /** Writes as much as the disk takes at once. */
  default void write(FileChannel to, ByteBuffer bytes) throws IOException {
    to.write(bytes);
  }

  /** Returns once a file's bytes outlast a loss of power. */
  default void force(FileChannel file) throws IOException {
    file.force(true);
  }

  /** Takes the place of another file, at once or not at all. */
  default void move(Path from, Path to) throws IOException {
    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Returns once a folder's names outlast a loss of power. */
  default void forceFolder(Path folder) throws IOException {
    try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
      names.force(true);
    }
  }

  /** Removes a file, if it is there. */
  default void delete(Path file) throws IOException {
    Files.deleteIfExists(file);
  }
}
