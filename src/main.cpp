// The dappletiller program. Without arguments it serves as one proxy, as the platform starts it; with
// arguments it runs a command (src/cli).
#include "cli/commands.hpp"
#include "proxy/proxy.hpp"

int main(int argc, char** argv) {
  // Without arguments, the command line parser is not initialized, which keeps the start fast.
  return argc <= 1 ? dappletiller::Serve({}) : dappletiller::cli::Run(argc, argv);
}
