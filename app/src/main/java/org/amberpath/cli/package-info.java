/**
 * The command line: one class per command, parsed by picocli. Results go to standard output, the
 * log to standard error; the exit codes are the constants of {@code AmberpathCommand}.
 *
 * <p>Started by operators and by deploy/balancer.toml; commands run on the main thread. {@code
 * serve} returns while the gateway's event loop keeps running; every other command runs to
 * completion.
 *
 * <p>Start reading at {@link org.amberpath.cli.Main}, then {@link
 * org.amberpath.cli.AmberpathCommand}, which lists the commands; {@code ServeCommand} starts a
 * gateway with the extensions that the deployment file enables ({@code
 * org.amberpath.cli.settings}).
 */
package org.amberpath.cli;
