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

  private Path keyFile() {
    return plan.folder().resolve("keys");
  }

  /** Writes the file with the authentication key that all gateways share. */
  void writeKeyFile() throws IOException {
    Files.writeString(keyFile(), KEY_LINE);
  }

  /** Writes the JSON settings of one gateway, and returns their path. */
  Path writeJsonSettings(GatewaySlot slot) throws IOException {
    return Files.writeString(
        plan.folder().resolve(slot.name() + ".json"),
        LabSettings.json(
            slot.name(), plan.seed() + slot.index(), journal.address(), plan.gateways()));
  }

  /** Writes the INI file of one gateway, and returns its path. */
  Path writeIniFile(GatewaySlot slot) throws IOException {
    return Files.writeString(
        plan.folder().resolve(slot.name() + ".ini"),
        "[fleet]\nname = lab\nlisten = 127.0.0.1:0\nadvertise = "
            + links.relayAddress(slot.index())
            + "\nseeds = "
            + String.join(", ", links.relayAddress(0), links.relayAddress(1), links.relayAddress(2))
            + "\ntold = "
            + plan.expectedMembers()
            + "\nkey = "
            + keyFile()
            + "\noperators = 127.0.0.1:0\n"
            + extraSections);
  }
}
