package org.amberpath.leadership.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.amberpath.leadership.Trials.Said;
import org.amberpath.leadership.Vote;
import org.amberpath.leadership.runtime.WordForm.Kind;
import org.amberpath.leadership.runtime.WordForm.Word;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

/** Votes and words as letters: read as they were written, and whatever else comes is nothing. */
class LettersTest {
  @Property(tries = 200)
  void votesComeAsTheyWere(@ForAll Vote.Kind kind, @ForAll @LongRange(max = Vote.HIGHEST) long ballot,
      @ForAll @LongRange(max = Vote.HIGHEST) long other, @ForAll @LongRange(max = Vote.HIGHEST) long last) {
    Vote vote = new Vote(kind, "probe", ballot, other, last);
    assertEquals(vote, VoteForm.read(VoteForm.write(vote)));
    assertNull(WordForm.read(VoteForm.write(vote)), "no word");
  }

  @Property(tries = 200)
  void wordsComeAsTheyWereAndFitIntoALetter(@ForAll Kind kind, @ForAll @LongRange(max = Vote.HIGHEST) long term,
      @ForAll long stamp, @ForAll @IntRange(max = 10) int many, @ForAll @LongRange(min = -1) long ago) {
    Map<String, Said> caches = new TreeMap<>();
    for (int one = 0; one < many; one++) {
      caches.put("c".repeat(62) + (char) ('a' + one), new Said(one % 2 == 0, ago));
    }
    Word word = new Word(kind, "probe", term, stamp, caches);
    byte[] letter = WordForm.write(word);
    assertEquals(word, WordForm.read(letter));
    assertTrue(letter.length <= org.amberpath.membership.runtime.FleetForm.LONGEST_LETTER, letter.length + " bytes");
    assertNull(VoteForm.read(letter), "no vote");
    assertNull(WordForm.read(Arrays.copyOf(letter, letter.length - 1)));
    assertNull(WordForm.read(Arrays.copyOf(letter, letter.length + 1)), "with something left over");
  }

  @Property(tries = 2000)
  void whateverComesIsReadOrPassedOver(@ForAll @Size(max = 60) byte[] bytes) {
    Vote vote = VoteForm.read(bytes);
    Word word = WordForm.read(bytes);
    assertTrue(vote == null || word == null);
  }

  @Property(tries = 50)
  void numbersThatLeaveNoneAboveThemAreNone(@ForAll @LongRange(min = Vote.HIGHEST + 1) long far) {
    assertNull(VoteForm.read(VoteForm.write(new Vote(Vote.Kind.REFUSED, "probe", 1, far))));
    assertNull(WordForm.read(WordForm.write(Word.of(Kind.OUTRANKED, "probe", far))));
  }
}
