// The operators' own file (TOML): what the platform's configuration doesn't say. Without it the program is
// exactly what the platform starts. Reads a text, touches no file but the key's, which the sink hands over
// as a function. Throws OperatorError (section.hpp): file, line, key, remedy.
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
  std::string name;  // of the fleet: messages of another are not heard
  std::string self;  // of this member; empty: the configuration's name
  std::string zone;  // empty: the configuration's
  Endpoint bind;
  std::string advertise;  // where the others reach this one; empty: what is bound
  std::string key_file;
  std::vector<membership::Key> keys;
  membership::Settings membership;            // intervals and seeds; the rest is filled in at the start
  std::map<std::string, Endpoint> addresses;  // advertised, and where it is dialled from here
  std::vector<std::string> lease_granters;  // of quota leases; none: shares stay as the settings' number says
  Duration lease_duration = std::chrono::seconds(3);
};

// A proxy that follows the configuration feed (docs/feed.md).
struct SettingsFeedOptions {
  std::vector<std::string> nearby;    // config servers of its region, by address
  std::vector<std::string> others;    // asked once none of these answers
  std::vector<std::string> services;  // whose entries it takes, beside those of all services
  double snapshot_rate = 0;           // bytes a second for a snapshot
};

// A config server of the configuration feed.
struct ControlOptions {
  std::string name;
  Endpoint bind;
  std::vector<std::string> others;  // the other replicas, by address
  std::string origin;               // the origin's file, where this replica is the origin
  int snapshot_slots = 16;          // snapshots sent at once
};

struct OperatorFile {
  bool log_json = false;
  std::string log_level = "info";
  std::optional<FleetOptions> fleet;
  std::optional<SettingsFeedOptions> settings_feed;
  std::optional<ControlOptions> control;
};

// What a key file holds; throws std::runtime_error with a line that says what is wrong with it.
using ReadFile = std::function<std::string(const std::string& path)>;

OperatorFile ParseOperatorFile(std::string_view text, const std::string& name, const ReadFile& read);
// From the disk. A key file that others than its owner can read is refused.
OperatorFile LoadOperatorFile(const std::string& path);

}  // namespace dappletiller::operators

#endif  // DAPPLETILLER_CONFIG_OPERATOR_FILE_HPP_
