package org.amberpath.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.amberpath.membership.Message.Kind;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Wall clocks that stepped before a start: an incarnation begins with one, and is believed and outlived anyhow. */
class FleetClockTest implements FleetView.Out {
  private static final long SECOND = 1_000_000_000, NOW_S = 1_700_000_000L;

  private final List<Message> sent = new ArrayList<>();
  private final List<String> twins = new ArrayList<>();

  private static Rumour saying(String name, long incarnation, long birth, Standing standing) {
    return new Rumour(name, "at-" + name, incarnation, birth, standing, name);
  }

  @ParameterizedTest
  @ValueSource(longs = {5, -5, 3600, -3600})
  void aStepBeforeAStartKeepsNobodyOut(long step) {
    long now = NOW_S * SECOND;
    FleetView view = new FleetView(FleetRules.usual(2), saying("me", NOW_S, 1, Standing.ALIVE), List.of("at-seed"), 7,
        now, this);
    // Another's clock is off; the fleet remembers this name's last start under such a clock, and holds it for lost.
    view.received(now, new Message(Kind.PING, saying("other", NOW_S + step, 2, Standing.ALIVE), 1, 1, 1, 0, 0, null,
        false, true, List.of(saying("me", NOW_S + step, 3, Standing.LOST))));
    assertEquals(Standing.ALIVE, view.standing("other"));
    Rumour self = sent.get(sent.size() - 1).from();
    assertEquals(Math.max(NOW_S, NOW_S + step + 1), self.incarnation());
    assertTrue(twins.isEmpty());
  }

  @Override public void send(String address, Message message) {
    sent.add(message);
  }

  @Override public void news(String name, Standing standing) {
  }

  @Override public void phase(FleetView.Phase from, FleetView.Phase to) {
  }

  @Override public void twin(String address) {
    twins.add(address);
  }
}
