// Parses the configuration file (JSON) into the module's settings and the options of the network code.
#ifndef DAPPLETILLER_CONFIG_PLATFORM_CONFIG_HPP_
#define DAPPLETILLER_CONFIG_PLATFORM_CONFIG_HPP_

#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "dappletiller/balancer.hpp"
#include "dispatch/types.hpp"

namespace dappletiller {

// Invalid configuration; what() is a one-line description.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The names of zones and hardware kinds in discovery's entries, by index.
struct Names {
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
};

struct Config {
  std::string name;
  Endpoint listen;
  std::optional<Endpoint> console;  // address of the operators' console, if any
  Endpoint discovery;
  std::string discovery_text;
  std::size_t sockets = 1024;
  std::size_t memory = 0;  // memory limit of the process in bytes; 0: unknown
  EndpointList known;
  balancer::Settings settings;
  std::string settings_text;  // the settings as path=value lines, to detect changes
  std::vector<std::string> classes;
  std::vector<std::string> tenants;  // names, by index; may be empty
  Names names;
  std::set<std::string> keys;  // of the file, see FindMissingKey
  Micros dial_timeout = 0;
  Micros idle_timeout = 0;
};

Config ParseConfig(std::string_view json);  // throws ConfigError
// The first key that `in_use` has and `loaded` lacks: the file may be incomplete, even if each key that is
// left can be used. A key of the elements of a list counts if all of them have it.
std::optional<std::string> FindMissingKey(const Config& in_use, const Config& loaded);
// Parses a list in discovery's format; nothing if it is malformed.
std::optional<EndpointList> ParseList(std::string_view json, const Names& names);

}  // namespace dappletiller

#endif  // DAPPLETILLER_CONFIG_PLATFORM_CONFIG_HPP_
