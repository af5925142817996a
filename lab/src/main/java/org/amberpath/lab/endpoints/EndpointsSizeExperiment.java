package org.amberpath.lab.endpoints;

import java.io.PrintStream;
import java.nio.file.Path;
import org.amberpath.lab.ExperimentReport;

/**
 * What one real gateway needs at the usual number of endpoints and at many times as many, at the
 * same traffic and the same capacity of all endpoints together.
 */
@SuppressWarnings("try") // Closing waits; an interrupt ends the experiment.
public final class EndpointsSizeExperiment {
  /**
   * What is to be tried.
   *
   * @param endpoints the usual number of caches and parents
   * @param times how many times as many are tried beside it
   * @param gateways how many the settings tell of, of which one runs
   * @param requestRate requests a second to that one
   * @param sockets its limit of descriptors
   * @param seconds how long at each size
   * @param folder where settings and logs go
   */
  public record Plan(
      long seed,
      int endpoints,
      int times,
      int gateways,
      int requestRate,
      int sockets,
      int seconds,
      Path folder) {}

  private EndpointsSizeExperiment() {}

  /** Measures both sizes, one after the other, and compares them. */
  public static ExperimentReport run(Plan plan, PrintStream out) throws Exception {
    ExperimentReport result =
        new ExperimentReport(plan.seed())
            .figure("gateways", plan.gateways())
            .figure("request_rate", plan.requestRate())
            .figure("sockets", plan.sockets())
            .figure("seconds", plan.seconds());
    GatewayUsage usual = measure(plan, plan.endpoints(), "usual", result, out);
    GatewayUsage scaled = measure(plan, plan.endpoints() * plan.times(), "many", result, out);
    UsageBounds.compare(usual, scaled, result);
    return result;
  }

  private static GatewayUsage measure(
      Plan plan, int endpoints, String name, ExperimentReport result, PrintStream out)
      throws Exception {
    try (EndpointsTestbed testbed = new EndpointsTestbed(plan, endpoints, name)) {
      GatewayUsage usage = testbed.measure();
      out.println(name + ": " + usage.figures() + " " + testbed.details());
      result
          .figure(name, usage.figures())
          .figure(name + "_details", testbed.details())
          .bar(name + ": no rule broken", testbed.violations().isEmpty())
          .bar(name + ": no request lost or answered twice", testbed.lostOrTwice() == 0);
      testbed.violations().forEach(out::println);
      return usage;
    }
  }
}
