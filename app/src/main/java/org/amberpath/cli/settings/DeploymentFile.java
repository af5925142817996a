package org.amberpath.cli.settings;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amberpath.leadership.VoterConfiguration;
import org.amberpath.leadership.runtime.LeadershipSettings;
import org.amberpath.membership.runtime.MembershipSettings;
import org.amberpath.registry.runtime.RegistrySettings;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * The settings of an installation beside the platform's JSON, read from one INI file and checked as
 * a whole. A section that is absent leaves its feature off. Immutable.
 */
public final class DeploymentFile {
  private static final Map<String, Set<String>> KEYS_BY_SECTION =
      Map.of(
          RegistrySection.NAME, RegistrySection.KEYS,
          MembershipSection.NAME, MembershipSection.KEYS,
          LeadershipSection.NAME, LeadershipSection.KEYS);

  private final boolean alsoPollsJournal;
  private final RegistrySettings registry;
  private final MembershipSettings membership;
  private final LeadershipSettings leadership;

  private DeploymentFile(Path file) {
    INIConfiguration ini = parse(file);
    checkNames(file, ini);
    if (ini.getSections().contains(RegistrySection.NAME)) {
      RegistrySection section = new RegistrySection(section(file, ini, RegistrySection.NAME));
      alsoPollsJournal = section.alsoPollsJournal();
      registry = section.read();
    } else {
      alsoPollsJournal = false;
      registry = null;
    }
    membership =
        ini.getSections().contains(MembershipSection.NAME)
            ? new MembershipSection(section(file, ini, MembershipSection.NAME)).read()
            : null;
    leadership =
        ini.getSections().contains(LeadershipSection.NAME)
            ? new LeadershipSection(section(file, ini, LeadershipSection.NAME))
                .read(registry(), membership(), () -> readVotersAnew(file))
            : null;
  }

  /**
   * Reads and checks a file.
   *
   * @throws InvalidDeploymentFileException if it can't be read, or at its first fault
   */
  public static DeploymentFile read(Path file) {
    return new DeploymentFile(file);
  }

  /** The section [registry]; empty if no registry is used. */
  public Optional<RegistrySettings> registry() {
    return Optional.ofNullable(registry);
  }

  /** Whether the journal is polled in addition to the registry; false without a registry. */
  public boolean alsoPollsJournal() {
    return alsoPollsJournal;
  }

  /** The section [fleet]; empty if the gateway has no membership. */
  public Optional<MembershipSettings> membership() {
    return Optional.ofNullable(membership);
  }

  /** The section [owner]; empty if the gateway neither votes nor leads tasks. */
  public Optional<LeadershipSettings> leadership() {
    return Optional.ofNullable(leadership);
  }

  private static VoterConfiguration readVotersAnew(Path file) {
    return read(file)
        .leadership()
        .orElseThrow(
            () -> InvalidDeploymentFileException.inSection(file, LeadershipSection.NAME, "missing"))
        .voters();
  }

  private static INIConfiguration parse(Path file) {
    INIConfiguration ini = new INIConfiguration();
    try (Reader in = Files.newBufferedReader(file)) {
      ini.read(in);
      return ini;
    } catch (IOException e) {
      throw InvalidDeploymentFileException.inFile(
          file, "can't be read: " + e.getClass().getSimpleName());
    } catch (ConfigurationException e) {
      throw InvalidDeploymentFileException.inFile(file, "no INI: " + e.getMessage());
    }
  }

  /** Unknown sections, unknown keys and keys given twice, in the order of the file. */
  private static void checkNames(Path file, INIConfiguration ini) {
    for (String section : ini.getSections()) {
      if (section == null || !KEYS_BY_SECTION.containsKey(section)) {
        throw InvalidDeploymentFileException.inSection(
            file, section == null ? "" : section, "no such section");
      }
      section(file, ini, section).checkKeys(KEYS_BY_SECTION.get(section));
    }
  }

  private static IniSection section(Path file, INIConfiguration ini, String name) {
    return new IniSection(file, name, ini.getSection(name));
  }
}
