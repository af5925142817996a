package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
  private final RetryBudget budget = new RetryBudget();

  private int withdrawAll() {
    int withdrawn = 0;
    while (budget.tryWithdraw()) {
      withdrawn++;
    }
    return withdrawn;
  }

  @Test
  void oneFifthOfTheRequestsMayBeRetriedAndFortyTokensAreSaved() {
    for (int request = 0; request < 1000; request++) {
      budget.deposit();
    }
    assertEquals(40, withdrawAll());
    for (int request = 0; request < 54; request++) {
      budget.deposit();
    }
    assertEquals(10, withdrawAll());
  }

  @Test
  void refundMakesTheNextAttemptFree() {
    withdrawAll();
    assertFalse(budget.tryWithdraw());
    budget.refund();
    assertTrue(budget.tryWithdraw());
  }
}
