/**
 * The command line: one class a command, on picocli. Results go to standard output, the log to
 * standard error; exit codes are those of {@code AmberpathCommand}.
 *
 * <p>Called by the operators and by the deploy file, on the main thread. {@code serve} returns
 * while the gateway's event loop runs on; every other command runs to its end.
 *
 * <p>Begin reading at {@link org.amberpath.cli.Main}, then {@link
 * org.amberpath.cli.AmberpathCommand}, which lists the commands; {@code ServeCommand} connects a
 * gateway to the extensions that the deployment file names ({@code org.amberpath.cli.settings}).
 */
package org.amberpath.cli;
