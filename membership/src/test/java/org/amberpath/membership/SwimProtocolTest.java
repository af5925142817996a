package org.amberpath.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.amberpath.membership.GossipMessage.Kind;
import org.junit.jupiter.api.Test;

/** Stories of one gateway's view, told datagrams by hand. */
class SwimProtocolTest implements SwimProtocol.Output {
  private static final long MS = 1_000_000, PERIOD = 500 * MS;

  private record Sent(String to, GossipMessage message) {}

  private final List<Sent> sent = new ArrayList<>();
  private final List<String> news = new ArrayList<>();
  private final List<String> twins = new ArrayList<>();
  private long now;
  private SwimProtocol view = view(2);

  private SwimProtocol view(int told) {
    return new SwimProtocol(
        SwimTimings.defaults(told),
        saying("me", 5, MemberStatus.ALIVE),
        List.of("at-me", "at-seed"),
        7,
        now,
        this);
  }

  private static MemberUpdate saying(String name, long incarnation, MemberStatus standing) {
    return new MemberUpdate(name, "at-" + name, incarnation, name.hashCode(), standing, name);
  }

  private void comes(Kind kind, String from, long number, boolean whole, MemberUpdate... rumours) {
    view.messageReceived(
        now,
        new GossipMessage(
            kind,
            saying(from, 1, MemberStatus.ALIVE),
            0,
            number,
            number,
            0,
            0,
            null,
            false,
            whole,
            List.of(rumours)));
  }

  /** The whole list, in answer to what was asked last. */
  private void lists(String from, boolean whole, MemberUpdate... rumours) {
    if (last(Kind.SYNC) == null) {
      view.tick(now);
    }
    comes(Kind.PAGE, from, last(Kind.SYNC).probeNumber(), whole, rumours);
  }

  private void pass(long time) {
    for (long until = now + time; now < until; ) {
      now += 100 * MS;
      view.tick(now);
    }
  }

  private GossipMessage last(Kind kind) {
    return sent.stream()
        .map(Sent::message)
        .filter(one -> one.kind() == kind)
        .reduce((a, b) -> b)
        .orElse(null);
  }

  @Test
  void aSeedThatIsItselfIsNotAsked() {
    pass(3 * PERIOD);
    assertTrue(sent.stream().allMatch(one -> one.to().equals("at-seed")));
    assertEquals(0, view.quotaShare());
  }

  @Test
  void aListThatNobodyAskedForIsNotWhole() {
    view.tick(now);
    comes(Kind.PAGE, "other", 99, true);
    assertEquals(0, view.quotaShare());
  }

  @Test
  void aListGoesOnWhereItEndedAndWhileViewsDiffer() {
    view.tick(now);
    long number = last(Kind.SYNC).probeNumber();
    GossipMessage more =
        new GossipMessage(
            Kind.PAGE,
            saying("other", 1, MemberStatus.ALIVE),
            0,
            1,
            number,
            0,
            0,
            null,
            true,
            true,
            List.of(saying("third", 1, MemberStatus.ALIVE)));
    view.messageReceived(now, more);
    assertEquals(
        "third", last(Kind.SYNC).subject(), "asked on at once, since the list is not whole yet");
    sent.clear();
    pass(3 * PERIOD);
    assertTrue(
        sent.stream().anyMatch(one -> "third".equals(one.message().subject())),
        "the rest was lost: it is asked for again, and not the whole");
  }

  @Test
  void whoHearsNobodyServesAsBefore() {
    pass(12 * PERIOD);
    assertEquals(SwimProtocol.Phase.ALONE, view.phase());
    assertEquals(0.5, view.quotaShare());
  }

  @Test
  void aListFromOneThatHasJustStartedIsNotWhole() {
    lists("other", false);
    assertEquals(0, view.quotaShare());
    lists("other", true);
    assertEquals(0.5, view.quotaShare());
  }

  @Test
  void aSilentOneIsSuspectedByOthersToldAndLostAtLast() {
    lists("other", true);
    lists("third", true);
    for (int time = 0; time < 200; time++) {
      now += 50 * MS;
      sent.clear();
      view.tick(now);
      for (Sent one : List.copyOf(sent)) {
        if (one.to().equals("at-third")) {
          comes(
              one.message().kind() == Kind.ASK ? Kind.NACK : Kind.ACK,
              "third",
              one.message().probeNumber(),
              true);
        }
      }
    }
    assertEquals(List.of("other ALIVE", "third ALIVE", "other SUSPECTED", "other LOST"), news);
    assertEquals(SwimProtocol.Phase.SETTLED, view.phase());
    assertEquals(3, view.countedMembers(), "a loss takes nobody's part");
  }

  @Test
  void whatIsSaidAgainstItIsRefuted() {
    comes(Kind.PING, "other", 1, true, saying("me", 5, MemberStatus.SUSPECTED));
    assertEquals(6, last(Kind.ACK).sender().incarnation());
    comes(Kind.PING, "other", 2, true, saying("me", 5, MemberStatus.LOST));
    assertEquals(6, last(Kind.ACK).sender().incarnation(), "old news of it is passed over");
  }

  @Test
  void aStartAnewIsAboveWhatTheFleetRemembersOfItAndNoTwin() {
    comes(
        Kind.PING,
        "other",
        1,
        true,
        new MemberUpdate("me", "at-me", 40, 99, MemberStatus.LOST, "other"));
    assertEquals(41, last(Kind.ACK).sender().incarnation());
    assertTrue(twins.isEmpty());
  }

  @Test
  void aTwinIsToldOnceAndDrivesUpNoIncarnation() {
    for (int time = 0; time < 50; time++) {
      now += MS;
      MemberUpdate twin =
          new MemberUpdate("me", "at-twin", 100 + time, 99, MemberStatus.ALIVE, "me");
      view.messageReceived(
          now, new GossipMessage(Kind.PING, twin, 0, 1, 1, 0, 0, null, false, true, List.of()));
      comes(Kind.PING, "other", 1, true, twin);
    }
    assertEquals(List.of("at-twin"), twins);
    assertTrue(
        last(Kind.ACK).sender().incarnation() <= 102, "" + last(Kind.ACK).sender().incarnation());
  }

  @Test
  void theCountFallsByWordAloneAndNeverByLoss() {
    lists("other", true, saying("third", 1, MemberStatus.LOST));
    assertEquals(3, view.countedMembers());
    assertEquals(0, view.quotaShare(), "beyond the told number, and not counted by all yet");
    assertTrue(view.forget(now, "third"));
    assertEquals(3, view.countedMembers(), "it has time to say otherwise");
    pass(30 * PERIOD);
    assertEquals(2, view.countedMembers());
    assertFalse(view.forget(now, "third"), "it is not lost any more");
    comes(Kind.PING, "other", 1, true, saying("other", 1, MemberStatus.LEFT));
    assertEquals(2, view.countedMembers(), "never under the told number");
  }

  @Test
  void whoStoodStillAccusesNobodyAndKnowsThatItsViewIsOld() {
    lists("other", true);
    pass(2 * PERIOD);
    news.clear();
    now += 20 * PERIOD;
    view.tick(now);
    assertTrue(news.isEmpty(), news.toString());
    assertEquals(SwimProtocol.Phase.SETTLING, view.phase());
  }

  @Test
  void whoLeavesHasNoShareAndAnswersNobody() {
    lists("other", true);
    view.leave(now);
    assertEquals(0, view.quotaShare());
    assertEquals(MemberStatus.LEFT, last(Kind.NACK).sender().status());
    sent.clear();
    comes(Kind.PING, "other", 1, true);
    assertTrue(sent.isEmpty());
  }

  @Test
  void aFloodIsAnsweredUpToABound() {
    for (int one = 0; one < 1000; one++) {
      comes(Kind.PING, "other", one, true);
    }
    assertEquals(8, sent.size(), "one asker leaves answers for the others");
    for (int one = 0; one < 1000; one++) {
      comes(Kind.PING, "from" + one, one, true);
    }
    assertEquals(40, sent.size());
  }

  @Test
  void aLiarsWordThatAnotherLeftTakesNoPartBeforeThatOneHasSpoken() {
    lists("other", true, saying("third", 1, MemberStatus.ALIVE));
    assertEquals(3, view.countedMembers());
    comes(Kind.PING, "liar", 2, true, saying("third", 2, MemberStatus.LEFT));
    pass(10 * PERIOD);
    assertEquals(4, view.countedMembers());
    comes(Kind.PING, "other", 3, true, saying("third", 3, MemberStatus.ALIVE));
    pass(30 * PERIOD);
    assertEquals(4, view.countedMembers(), "it has spoken");
  }

  @Test
  void aSayingThatCouldNeverBeRefutedIsPassedOver() {
    lists(
        "other",
        true,
        saying("third", Long.MAX_VALUE, MemberStatus.LOST),
        saying("me", Long.MAX_VALUE, MemberStatus.LOST));
    assertNull(view.statusOf("third"));
    assertEquals(5, view.self().incarnation());
  }

  @Test
  void aStartThatNobodyBelievesIsToldWhatIsHeldOfIt() {
    comes(
        Kind.PING,
        "other",
        1,
        true,
        new MemberUpdate("third", "at-third", 900, 77, MemberStatus.ALIVE, "third"));
    sent.clear();
    comes(Kind.SYNC, "third", 2, false);
    assertEquals(900, last(Kind.NACK).updates().get(0).incarnation());
  }

  @Test
  void whoKnowsAnAddressAloneIsGreetedAndBelievedInNothing() {
    view.greet(now, saying("other", 1, MemberStatus.ALIVE));
    assertEquals(List.of("at-other"), sent.stream().map(Sent::to).toList());
    assertNull(view.statusOf("other"));
    view.greet(now, new MemberUpdate("me", "at-twin", 1, 99, MemberStatus.ALIVE, "me"));
    assertEquals(1, sent.size(), "an old datagram of its own is nobody's");
  }

  @Test
  void namesThatComeAndGoAreForgotten() {
    lists("other", true, saying("third", 1, MemberStatus.LEFT));
    assertEquals(MemberStatus.LEFT, view.statusOf("third"));
    pass(250 * PERIOD);
    assertNull(view.statusOf("third"));
  }

  @Override
  public void send(String address, GossipMessage message) {
    sent.add(new Sent(address, message));
  }

  @Override
  public void memberStatusChanged(String name, MemberStatus standing) {
    news.add(name + " " + standing);
  }

  @Override
  public void phaseChanged(SwimProtocol.Phase from, SwimProtocol.Phase to) {}

  @Override
  public void nameConflictDetected(String address) {
    twins.add(address);
  }
}
