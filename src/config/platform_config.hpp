// The configuration file: JSON to the module's settings and to what the network code needs of them.
#ifndef DAPPLETILLER_CONFIG_PLATFORM_CONFIG_HPP_
#define DAPPLETILLER_CONFIG_PLATFORM_CONFIG_HPP_

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "dappletiller/balancer.hpp"
#include "dispatch/types.hpp"

namespace dappletiller {

// What is wrong with the configuration, in one plain line.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The names by which discovery's entries speak of zones and kinds of machines.
struct Names {
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
};

struct Config {
  std::string name;
  Endpoint listen;
  std::optional<Endpoint> console;  // the operators' second address; none on days without it
  Endpoint discovery;
  std::string discovery_text;
  std::size_t sockets = 1024;
  std::size_t memory = 0;  // bytes that the process may take; 0: not told
  EndpointList known;
  balancer::Settings settings;
  std::string settings_text;  // the same as path=value lines, to tell whether they have changed
  std::vector<std::string> classes;
  std::vector<std::string> tenants;  // names, by place; may be none
  Names names;
  Micros dial_timeout = 0;
  Micros idle_timeout = 0;
  Micros longest_deadline = 0;
  Micros answer_grace = 0;
};

Config ParseConfig(std::string_view json);  // throws ConfigError
// A list in discovery's form; nothing if it is malformed.
std::optional<EndpointList> ParseList(std::string_view json, const Names& names);

}  // namespace dappletiller

#endif  // DAPPLETILLER_CONFIG_PLATFORM_CONFIG_HPP_
