// The command line: serve, control, check, fleet, settings. Converts errors to exit codes: 0 success, 1
// failure, 2 invalid arguments or file.
#ifndef DAPPLETILLER_CLI_COMMANDS_HPP_
#define DAPPLETILLER_CLI_COMMANDS_HPP_

namespace dappletiller::cli {

int Run(int argc, char** argv);

}  // namespace dappletiller::cli

#endif  // DAPPLETILLER_CLI_COMMANDS_HPP_
