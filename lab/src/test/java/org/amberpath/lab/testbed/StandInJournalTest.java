package org.amberpath.lab.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Vertx;
import org.amberpath.lab.EventLoopWaiter;
import org.junit.jupiter.api.Test;

/** Checks the bound of the events that the stand-in journal holds. */
class StandInJournalTest {
  private static final int MAX_EVENTS = 100_000;

  @Test
  void fullJournalRefusesAnotherEvent() throws Exception {
    Vertx vertx = Vertx.vertx();
    try {
      StandInJournal journal = new StandInJournal(vertx);
      for (int event = 0; event < MAX_EVENTS; event++) {
        journal.announcePurge("0000000000000001", event);
      }

      IllegalStateException error =
          assertThrows(
              IllegalStateException.class, () -> journal.announcePurge("0000000000000001", 0));

      assertEquals("stand-in journal is full: it already holds 100000 events", error.getMessage());
    } finally {
      EventLoopWaiter.await(vertx.close());
    }
  }
}
