// What one proxy's control code costs by the size of what it holds: settings read whole, a list taken whole,
// one changed entry, one request. The program's own code (ParseConfig, ParseList, the gateway with the
// module), without sockets, one process a row so that memory can be read off. Figures are processor time, not
// verdicts.
#ifndef DAPPLETILLER_RIG_MEASURE_HPP_
#define DAPPLETILLER_RIG_MEASURE_HPP_

#include <string>
#include <vector>

namespace dappletiller::rig {

struct MeasureSizes {
  std::vector<int> servers = {120, 400, 1200, 4000, 17000};
  std::vector<int> tenants = {100, 1000, 10000, 30000, 65536};
  int services = 510;
  int seconds = 1;  // of processor time for what is repeated, at the least
  int batch = 1;    // entries changed together in one step
};

// Prints a line of names and a row a size, for servers or for tenants ("-": refused). The exit code.
int MeasureServers(const MeasureSizes& sizes);
int MeasureTenants(const MeasureSizes& sizes);

}  // namespace dappletiller::rig

#endif  // DAPPLETILLER_RIG_MEASURE_HPP_
