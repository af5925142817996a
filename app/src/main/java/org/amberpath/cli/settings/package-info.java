/**
 * The deployment file: one INI file with what an installation sets beside the platform's JSON. It
 * is read, checked and given defaults here and nowhere else; deploy/amberpath.ini documents every
 * key.
 *
 * <p>Called by the commands of {@code org.amberpath.cli} on the main thread, and by {@code
 * org.amberpath.leadership.runtime} on a worker thread when the voters are reloaded. A file is read
 * once and the result is immutable.
 *
 * <p>Begin reading at {@link org.amberpath.cli.settings.DeploymentFile}; each section of the file
 * has a class of its own, and {@code IniSection} holds the checks that they share.
 */
package org.amberpath.cli.settings;
