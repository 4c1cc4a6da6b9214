// The operator file (TOML): settings beyond the platform's configuration. Optional. Parses a text; key files
// are read through a function that the caller passes. Throws OperatorError (section.hpp) with file, line, key
// and remedy.
#ifndef DAPPLETILLER_CONFIG_OPERATOR_FILE_HPP_
#define DAPPLETILLER_CONFIG_OPERATOR_FILE_HPP_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.hpp"
#include "membership/codec.hpp"
#include "membership/settings.hpp"

namespace dappletiller::operators {

struct FleetOptions {
  std::string name;  // of the fleet; messages of other fleets are ignored
  std::string self;  // of this member; empty: the configuration's name
  std::string zone;  // empty: the configuration's
  Endpoint bind;
  std::string advertise;  // address for other members; empty: the bound address
  std::string key_file;
  std::vector<membership::Key> keys;
  membership::Settings membership;            // intervals and seeds; the rest is filled in at startup
  std::map<std::string, Endpoint> addresses;  // advertised address to the address that is used from here
  std::vector<std::string>
      lease_granters;  // of quota leases; empty: shares follow from the number of proxies in the settings
  Duration lease_duration = std::chrono::seconds(3);
};

// A proxy that follows the configuration feed (docs/feed.md).
struct SettingsFeedOptions {
  std::vector<std::string> nearby;  // config servers of its region, by address
  std::vector<std::string> others;  // used if none of these responds
  std::vector<std::string>
      services;              // services whose entries it follows, in addition to those for all services
  double snapshot_rate = 0;  // bytes per second for a snapshot
};

// A config server of the configuration feed.
struct ControlOptions {
  std::string name;
  Endpoint bind;
  std::vector<std::string> others;  // the other replicas, by address
  std::string origin;               // path of the origin's file if this replica is the origin
  int snapshot_slots = 16;          // maximum number of concurrent snapshots
};

struct OperatorFile {
  bool log_json = false;
  std::string log_level = "info";
  std::optional<FleetOptions> fleet;
  std::optional<SettingsFeedOptions> settings_feed;
  std::optional<ControlOptions> control;
};

// Returns the contents of a key file; throws std::runtime_error with a one-line description.
using ReadFile = std::function<std::string(const std::string& path)>;

OperatorFile ParseOperatorFile(std::string_view text, const std::string& name, const ReadFile& read);
// Loads the file from disk. A key file that is readable by others than its owner is rejected.
OperatorFile LoadOperatorFile(const std::string& path);

}  // namespace dappletiller::operators

#endif  // DAPPLETILLER_CONFIG_OPERATOR_FILE_HPP_
