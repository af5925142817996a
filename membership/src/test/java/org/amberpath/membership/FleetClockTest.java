package org.amberpath.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.amberpath.membership.GossipMessage.Kind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Wall clocks that stepped before a start: an incarnation begins with one, and is believed and
 * outlived anyhow.
 */
class FleetClockTest implements SwimProtocol.Output {
  private static final long SECOND = 1_000_000_000, NOW_S = 1_700_000_000L;

  private final List<GossipMessage> sent = new ArrayList<>();
  private final List<String> twins = new ArrayList<>();

  private static MemberUpdate saying(
      String name, long incarnation, long birth, MemberStatus standing) {
    return new MemberUpdate(name, "at-" + name, incarnation, birth, standing, name);
  }

  @ParameterizedTest
  @ValueSource(longs = {5, -5, 3600, -3600})
  void aStepBeforeAStartKeepsNobodyOut(long step) {
    long now = NOW_S * SECOND;
    SwimProtocol view =
        new SwimProtocol(
            SwimTimings.defaults(2),
            saying("me", NOW_S, 1, MemberStatus.ALIVE),
            List.of("at-seed"),
            7,
            now,
            this);
    // Another's clock is off; the fleet remembers this name's last start under such a clock, and
    // holds it for lost.
    view.messageReceived(
        now,
        new GossipMessage(
            Kind.PING,
            saying("other", NOW_S + step, 2, MemberStatus.ALIVE),
            1,
            1,
            1,
            0,
            0,
            null,
            false,
            true,
            List.of(saying("me", NOW_S + step, 3, MemberStatus.LOST))));
    assertEquals(MemberStatus.ALIVE, view.statusOf("other"));
    MemberUpdate self = sent.get(sent.size() - 1).sender();
    assertEquals(Math.max(NOW_S, NOW_S + step + 1), self.incarnation());
    assertTrue(twins.isEmpty());
  }

  @Override
  public void send(String address, GossipMessage message) {
    sent.add(message);
  }

  @Override
  public void memberStatusChanged(String name, MemberStatus standing) {}

  @Override
  public void phaseChanged(SwimProtocol.Phase from, SwimProtocol.Phase to) {}

  @Override
  public void nameConflictDetected(String address) {
    twins.add(address);
  }
}
