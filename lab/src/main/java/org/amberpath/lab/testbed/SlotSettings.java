package org.amberpath.lab.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.amberpath.lab.LabSettings;

/** Writes the settings files of the gateways of a {@link ProcessTestbed}. */
final class SlotSettings {
  private static final String KEY_LINE = "k1 " + "6b".repeat(32) + "\n";

  private final ProcessTestbed.Plan plan;
  private final NetworkLinks links;
  private final StandInJournal journal;
  private String extraSections;

  SlotSettings(ProcessTestbed.Plan plan, NetworkLinks links, StandInJournal journal) {
    this.plan = plan;
    this.links = links;
    this.journal = journal;
    extraSections = plan.extraSections();
  }

  void setExtraSections(String sections) {
    extraSections = sections;
  }

  private Path keys() {
    return plan.folder().resolve("keys");
  }

  /** Writes the file with the authentication key that all gateways share. */
  void writeKeys() throws IOException {
    Files.writeString(keys(), KEY_LINE);
  }

  /** Writes the JSON settings of one gateway, and returns their path. */
  Path writeConfig(GatewaySlot slot) throws IOException {
    return Files.writeString(
        plan.folder().resolve(slot.name() + ".json"),
        LabSettings.json(
            slot.name(), plan.seed() + slot.index(), journal.address(), plan.gateways()));
  }

  /** Writes the INI file of one gateway, and returns its path. */
  Path writeSections(GatewaySlot slot) throws IOException {
    return Files.writeString(
        plan.folder().resolve(slot.name() + ".ini"),
        "[fleet]\nname = lab\nlisten = 127.0.0.1:0\nadvertise = "
            + links.address(slot.index())
            + "\nseeds = "
            + String.join(", ", links.address(0), links.address(1), links.address(2))
            + "\ntold = "
            + plan.expectedMembers()
            + "\nkey = "
            + keys()
            + "\noperators = 127.0.0.1:0\n"
            + extraSections);
  }
}
