package org.amberpath.lab.endpoints;

import java.io.PrintStream;
import java.nio.file.Path;
import org.amberpath.lab.ExperimentReport;

/**
 * Compares the resource usage of one real gateway at the usual number of endpoints with its usage
 * at a multiple of that number. The traffic and the total capacity of the endpoints are the same in
 * both cases.
 */
@SuppressWarnings("try") // close() blocks; an InterruptedException ends the experiment.
public final class EndpointsSizeExperiment {
  /**
   * The parameters of the experiment.
   *
   * @param endpoints the usual number of caches and parents, the origin not included
   * @param times the factor by which the second measurement multiplies that number
   * @param gateways how many gateways the settings name; one of them runs
   * @param requestRate requests of the repeatable traffic class per second to the running gateway;
   *     a tenth of it, at least one, is added in the other class
   * @param sockets the limit of descriptors in the settings of the gateway
   * @param seconds the duration of each measurement, in seconds
   * @param folder the folder of settings and logs
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

  /** Measures both sizes one after the other and compares their usage. */
  public static ExperimentReport run(Plan plan, PrintStream out) throws Exception {
    ExperimentReport report =
        new ExperimentReport(plan.seed())
            .figure("gateways", plan.gateways())
            .figure("request_rate", plan.requestRate())
            .figure("sockets", plan.sockets())
            .figure("seconds", plan.seconds());
    GatewayUsage usualUsage = measure(plan, plan.endpoints(), "usual", report, out);
    GatewayUsage scaledUsage = measure(plan, plan.endpoints() * plan.times(), "many", report, out);
    UsageBounds.compare(usualUsage, scaledUsage, report);
    return report;
  }

  private static GatewayUsage measure(
      Plan plan, int endpoints, String name, ExperimentReport report, PrintStream out)
      throws Exception {
    try (EndpointsTestbed testbed = new EndpointsTestbed(plan, endpoints, name)) {
      GatewayUsage usage = testbed.measure();
      out.println(name + ": " + usage.figures() + " " + testbed.details());
      report
          .figure(name, usage.figures())
          .figure(name + "_details", testbed.details())
          .bar(name + ": no service rule violated", testbed.violations().isEmpty())
          .bar(name + ": no request lost or answered twice", testbed.lostOrDuplicatedCount() == 0);
      testbed.violations().forEach(out::println);
      return usage;
    }
  }
}
