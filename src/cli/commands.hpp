// The command line: serve, check, fleet. Wires parts together and turns errors into exit codes; decides
// nothing. Exit codes: 0 done, 1 it could not be done, 2 the words or the file are wrong.
#ifndef DAPPLETILLER_CLI_COMMANDS_HPP_
#define DAPPLETILLER_CLI_COMMANDS_HPP_

namespace dappletiller::cli {

int Run(int argc, char** argv);

}  // namespace dappletiller::cli

#endif  // DAPPLETILLER_CLI_COMMANDS_HPP_
