/**
 * The deployment file: one INI file with the settings of an installation that are not in the
 * platform's JSON file. It is parsed, validated and given defaults only here; deploy/amberpath.ini
 * documents every key.
 *
 * <p>Called by the commands of {@code org.amberpath.cli} on the main thread, and by {@code
 * org.amberpath.leadership.runtime} on a worker thread when the voters are reloaded. Each read of a
 * file gives an immutable object.
 *
 * <p>Start reading at {@link org.amberpath.cli.settings.DeploymentFile}; each section of the file
 * has its own class, and {@code IniSection} holds the checks that these classes share.
 */
package org.amberpath.cli.settings;
