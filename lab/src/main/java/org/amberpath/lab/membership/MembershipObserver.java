package org.amberpath.lab.membership;

import io.vertx.core.json.JsonObject;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.testbed.GatewaySlot;
import org.amberpath.lab.testbed.ProcessTestbed;

/**
 * Observes the membership views of all gateways of an experiment: the sum of their shares, how soon
 * a crash is detected by all, and whether a running gateway is reported as lost.
 */
final class MembershipObserver {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MIN_FAULT_FREE_NANOS = 15_000 * NANOS_PER_MILLI;
  private static final long MAX_DETECTION_MILLIS = 60_000;
  private static final String LOST = "lost";
  private static final String LEFT = "left";

  private final ProcessTestbed testbed;
  private final int gateways;
  private final Histogram crashDetectionMillis = new Histogram(MAX_DETECTION_MILLIS, 3);

  /**
   * When each gateway was killed; 0 once all running gateways have detected it or the gateway has
   * restarted.
   */
  private final long[] killedAtNanos;

  private long lastFaultNanos;
  private long observations;
  private double maxShareSum;

  MembershipObserver(ProcessTestbed testbed, int gateways) {
    this.testbed = testbed;
    this.gateways = gateways;
    killedAtNanos = new long[gateways];
  }

  void killed(int gateway) {
    killedAtNanos[gateway] = System.nanoTime();
  }

  void restarted(int gateway) {
    killedAtNanos[gateway] = 0;
  }

  /** Records that a fault of the given duration has begun. */
  void faultBegan(long durationMillis) {
    lastFaultNanos = Math.max(lastFaultNanos, System.nanoTime() + durationMillis * NANOS_PER_MILLI);
  }

  double maxShareSum() {
    return maxShareSum;
  }

  /** Reads the views of all running gateways once. */
  void observe() {
    double shareSum = 0;
    long nowNanos = System.nanoTime();
    observations++;
    for (GatewaySlot slot : testbed.slots()) {
      JsonObject view = slot.view();
      if (view != null && slot.isRunning()) {
        shareSum += view.getDouble("part");
        checkLosses(slot, view, nowNanos);
      }
    }
    maxShareSum = Math.max(maxShareSum, shareSum);
    for (int gateway = 0; gateway < gateways; gateway++) {
      if (killedAtNanos[gateway] != 0 && allReportLostOrLeft(gateway)) {
        long detectionMillis = (nowNanos - killedAtNanos[gateway]) / NANOS_PER_MILLI;
        crashDetectionMillis.recordValue(Math.min(MAX_DETECTION_MILLIS, detectionMillis));
        killedAtNanos[gateway] = 0;
      }
    }
  }

  private static Stream<JsonObject> members(JsonObject view) {
    return view.getJsonArray("gateways").stream().map(JsonObject.class::cast);
  }

  private void checkLosses(GatewaySlot slot, JsonObject view, long nowNanos) {
    members(view)
        .filter(member -> member.getString("standing").equals(LOST))
        .map(member -> Integer.parseInt(member.getString("name").substring(1)))
        .map(index -> testbed.slots().get(index))
        .filter(lost -> isFaultFree(slot, nowNanos) && isFaultFree(lost, nowNanos))
        .forEach(
            lost ->
                testbed
                    .auditor()
                    .recordViolation(
                        slot.name() + " reports " + lost.name() + " as lost, which is running"));
  }

  private boolean isFaultFree(GatewaySlot slot, long nowNanos) {
    return slot.isRunning()
        && nowNanos - slot.runningSinceNanos() > MIN_FAULT_FREE_NANOS
        && nowNanos - lastFaultNanos > MIN_FAULT_FREE_NANOS;
  }

  private boolean allReportLostOrLeft(int gateway) {
    String name = "g" + gateway;
    return testbed.slots().stream()
        .filter(slot -> slot.view() != null && slot.isRunning())
        .flatMap(slot -> members(slot.view()))
        .filter(member -> member.getString("name").equals(name))
        .map(member -> member.getString("standing"))
        .allMatch(status -> status.equals(LOST) || status.equals(LEFT));
  }

  /** Returns whether every gateway is running, has settled, and has all gateways in its view. */
  boolean allViewsComplete() {
    return testbed.slots().stream().allMatch(this::isViewComplete);
  }

  private boolean isViewComplete(GatewaySlot slot) {
    JsonObject view = slot.view();
    return slot.isRunning()
        && view != null
        && view.getString("phase").equals("settled")
        && presentNames(view).size() == gateways;
  }

  private static Set<String> presentNames(JsonObject view) {
    Set<String> names = new TreeSet<>();
    names.add(view.getString("name"));
    members(view)
        .filter(
            member ->
                member.getString("standing").equals("alive")
                    || member.getString("standing").equals("suspected"))
        .forEach(member -> names.add(member.getString("name")));
    return names;
  }

  /** Describes the views that are not complete. */
  String describeIncompleteViews() {
    return testbed.slots().stream()
        .filter(slot -> !isViewComplete(slot))
        .map(slot -> slot.name() + " " + describe(slot.view()))
        .toList()
        .toString();
  }

  private static String describe(JsonObject view) {
    return view == null ? "no view" : view.getString("phase") + " " + presentNames(view);
  }

  /** Adds the times until crashes were detected by all running gateways. */
  void reportCrashes(ExperimentReport result) {
    result
        .figure("heard_of_a_kill_p50_ms", crashDetectionMillis.getValueAtPercentile(50))
        .figure("heard_of_a_kill_max_ms", crashDetectionMillis.getMaxValue())
        .figure("kills_heard_of", crashDetectionMillis.getTotalCount());
  }

  long observations() {
    return observations;
  }
}
