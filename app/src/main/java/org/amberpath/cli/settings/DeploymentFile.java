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
 * The settings of an installation that are not in the platform's JSON file ({@code PROXY_CONFIG}),
 * parsed from one INI file and validated completely. A feature whose section is absent is disabled.
 * Immutable.
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
                .read(registry(), membership(), () -> reloadVoters(file))
            : null;
  }

  /**
   * Parses and validates a file.
   *
   * @throws InvalidDeploymentFileException if the file can't be read or parsed, or for the first
   *     invalid section, key or value
   */
  public static DeploymentFile read(Path file) {
    return new DeploymentFile(file);
  }

  /** Returns the settings of section {@code [registry]}; empty if the section is absent. */
  public Optional<RegistrySettings> registry() {
    return Optional.ofNullable(registry);
  }

  /** Returns whether the journal is polled in addition to a registry; false without a registry. */
  public boolean alsoPollsJournal() {
    return alsoPollsJournal;
  }

  /**
   * Returns the settings of section {@code [fleet]}; empty if the section is absent, in which case
   * the gateway runs no membership protocol.
   */
  public Optional<MembershipSettings> membership() {
    return Optional.ofNullable(membership);
  }

  /**
   * Returns the settings of section {@code [owner]}; empty if the section is absent, in which case
   * the gateway neither votes nor leads tasks.
   */
  public Optional<LeadershipSettings> leadership() {
    return Optional.ofNullable(leadership);
  }

  private static VoterConfiguration reloadVoters(Path file) {
    return read(file)
        .leadership()
        .orElseThrow(
            () -> InvalidDeploymentFileException.inSection(file, LeadershipSection.NAME, "missing"))
        .voters();
  }

  private static INIConfiguration parse(Path file) {
    INIConfiguration ini = new INIConfiguration();
    try (Reader reader = Files.newBufferedReader(file)) {
      ini.read(reader);
      return ini;
    } catch (IOException e) {
      throw InvalidDeploymentFileException.inFile(
          file, "can't be read: " + e.getClass().getSimpleName());
    } catch (ConfigurationException e) {
      throw InvalidDeploymentFileException.inFile(file, "not a valid INI file: " + e.getMessage());
    }
  }

  /** Throws for the first unknown section, unknown key or duplicate key, in file order. */
  private static void checkNames(Path file, INIConfiguration ini) {
    for (String section : ini.getSections()) {
      if (section == null || !KEYS_BY_SECTION.containsKey(section)) {
        throw InvalidDeploymentFileException.inSection(
            file, section == null ? "" : section, "unknown section");
      }
      section(file, ini, section).checkKeys(KEYS_BY_SECTION.get(section));
    }
  }

  private static IniSection section(Path file, INIConfiguration ini, String name) {
    return new IniSection(file, name, ini.getSection(name));
  }
}
