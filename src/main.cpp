// dappletiller. Without arguments: one proxy, exactly as the platform starts it. With arguments: src/cli.
#include "cli/commands.hpp"
#include "proxy/proxy.hpp"

int main(int argc, char** argv) {
  // The platform's way pays for nothing of the command line.
  return argc <= 1 ? dappletiller::Serve({}) : dappletiller::cli::Run(argc, argv);
}
