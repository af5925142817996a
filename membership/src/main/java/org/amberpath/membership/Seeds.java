package org.amberpath.membership;

import java.util.List;
import java.util.SplittableRandom;

/** Selects seeds as message receivers; of a seed, only the address is known. */
final class Seeds {
  private Seeds() {}

  /** Returns a uniformly random address, wrapped as the receiver of a message. */
  static MemberUpdate randomSeed(List<String> addresses, SplittableRandom random) {
    String address = addresses.get(random.nextInt(addresses.size()));
    return new MemberUpdate("", address, 0, 0, MemberStatus.ALIVE, "");
  }
}
