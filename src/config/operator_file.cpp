#include "config/operator_file.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <stdexcept>
#include <system_error>

#include "config/section.hpp"
#include "io/file.hpp"
#include "io/transient_error.hpp"

namespace dappletiller::operators {
namespace {

struct Level {
  std::string_view word;
  std::string_view value;
};
constexpr std::array kLevels = {Level{"debug", "debug"}, Level{"info", "info"}, Level{"warn", "warn"},
                                Level{"error", "error"}};
struct Form {
  std::string_view word;
  bool value;
};
constexpr std::array kForms = {Form{"text", false}, Form{"json", true}};

constexpr std::uint32_t kLoopbackNet = 127;
constexpr std::size_t kMaxConfigServers = 16;
constexpr std::size_t kMaxFeedServices = 200;

Endpoint Address(const Section& section, std::string_view key, const std::string& text) {
  auto endpoint = ParseEndpoint(text);
  if (!endpoint) section.Fail(key, "'" + text + "' is not an address and port; write it as 10.0.0.4:7946");
  return *endpoint;
}

bool PlainName(const std::string& name) {
  return !name.empty() && name.size() <= membership::kMaxNameLength &&
         std::all_of(name.begin(), name.end(),
                     [](char c) { return c > ' ' && c < 0x7f && c != '%' && c != '&'; });
}

FleetOptions ReadFleet(Section s, const std::string& file, const ReadFile& read) {
  FleetOptions fleet;
  fleet.name = s.Text("name");
  if (!PlainName(fleet.name))
    s.Fail("name", "is missing or not a plain word; name the fleet, the same for all its members");
  fleet.self = s.Text("self");
  if (!fleet.self.empty() && !PlainName(fleet.self)) s.Fail("self", "is not a plain word");
  fleet.zone = s.Text("zone");
  fleet.bind = Address(s, "bind", s.Text("bind"));
  fleet.advertise = s.Text("advertise");
  if (!fleet.advertise.empty()) Address(s, "advertise", fleet.advertise);
  if (fleet.advertise.empty() && fleet.bind.address == 0)
    s.Fail("advertise", "is needed, since bind names no single address");
  fleet.membership.seeds = s.Words("seeds");
  for (const std::string& seed : fleet.membership.seeds) Address(s, "seeds", seed);
  if (fleet.membership.seeds.size() > 16)
    s.Fail("seeds", "more than 16; give a few, they announce all other members");
  auto millis = [&s](const char* key, Duration default_value, double min, double max) {
    const double milliseconds = s.Number(key, static_cast<double>(default_value.count()) / 1000, min, max);
    return Duration(static_cast<Micros>(milliseconds * 1000));
  };
  membership::Settings& m = fleet.membership;
  m.probe_interval = millis("probe_ms", m.probe_interval, 50, 60'000);
  m.min_probe_timeout = millis("probe_wait_ms", m.min_probe_timeout, 20, 10'000);
  m.gossip_interval = millis("gossip_ms", m.gossip_interval, 50, 10'000);
  m.full_exchange_interval = millis("sync_ms", m.full_exchange_interval, 1'000, 3'600'000);
  m.min_suspicion_timeout = millis("suspect_ms", m.min_suspicion_timeout, 600, 600'000);
  m.dead_member_retention = millis("forget_ms", m.dead_member_retention, 60'000, 2.6e9);
  if (m.min_probe_timeout > m.probe_interval)
    s.Fail("probe_wait_ms", "is longer than probe_ms; give at most that");
  fleet.key_file = s.Text("key_file");
  if (fleet.key_file.empty()) {
    if (fleet.bind.address >> 24 != kLoopbackNet) {
      s.Fail("key_file",
             "is missing; without a key only loopback may be bound; make a key with 'dappletiller "
             "fleet key'");
    }
  } else {
    try {
      auto keys = membership::ParseKeys(read(fleet.key_file));
      if (!keys) throw std::runtime_error(keys.error().message);
      fleet.keys = std::move(*keys);
    } catch (const std::runtime_error& e) {
      s.Fail("key_file", fleet.key_file + ": " + e.what());
    }
  }
  if (const toml::table* table = s.Table("addresses")) {
    Section addresses(*table, file, s.Under("addresses"));
    for (const auto& [key, node] : *table) {
      std::string advertised(key.str());
      Address(addresses, advertised, advertised);
      fleet.addresses[advertised] = Address(addresses, advertised, addresses.Text(advertised));
    }
  }
  if (const toml::table* table = s.Table("parts")) {
    Section parts(*table, file, s.Under("parts"));
    fleet.lease_granters = parts.Words("keepers");
    std::sort(fleet.lease_granters.begin(), fleet.lease_granters.end());
    bool twice = std::adjacent_find(fleet.lease_granters.begin(), fleet.lease_granters.end()) !=
                 fleet.lease_granters.end();
    if (fleet.lease_granters.empty() || fleet.lease_granters.size() > 7 || twice) {
      parts.Fail("keepers", "give 1 to 7 members by name, each once, the same for the whole fleet");
    }
    fleet.lease_duration = Duration(static_cast<Micros>(parts.Number("lease_ms", 3'000, 500, 60'000) * 1000));
    parts.RejectUnknownKeys();
  }
  s.RejectUnknownKeys();
  return fleet;
}

// Addresses of config servers. Only loopback, as for the fleet's datagrams without a key: the feed is neither
// authenticated nor encrypted.
std::vector<std::string> ConfigServerAddresses(Section& s, std::string_view key) {
  std::vector<std::string> machines = s.Words(key);
  for (const std::string& machine : machines) {
    if (Address(s, key, machine).address >> 24 != kLoopbackNet)
      s.Fail(key,
             machine + " is not a loopback address; the feed is not authenticated, so only loopback is used");
  }
  std::vector<std::string> sorted = machines;
  std::sort(sorted.begin(), sorted.end());
  if (std::adjacent_find(sorted.begin(), sorted.end()) != sorted.end())
    s.Fail(key, "contains an address twice; remove one");
  if (machines.size() > kMaxConfigServers) s.Fail(key, "more than 16; a few are enough for any fleet");
  return machines;
}

SettingsFeedOptions ReadSettingsFeed(Section s) {
  SettingsFeedOptions feed;
  feed.nearby = ConfigServerAddresses(s, "machines");
  if (feed.nearby.empty())
    s.Fail("machines", "is missing; give the nearby config servers, as 127.0.0.1:9400");
  feed.others = ConfigServerAddresses(s, "others");
  for (const std::string& machine : feed.others) {
    if (std::find(feed.nearby.begin(), feed.nearby.end(), machine) != feed.nearby.end())
      s.Fail("others", machine + " is already in machines; remove one");
  }
  feed.services = s.Words("services");
  for (const std::string& service : feed.services) {
    bool word = PlainName(service) && service.find_first_of(",/=?#*") == std::string::npos;
    if (!word)
      s.Fail("services", "'" + service + "' is not a service's name; give a plain word without , / = ? # *");
  }
  if (feed.services.size() > kMaxFeedServices)
    s.Fail("services", "more than 200; list only the services that this proxy serves");
  feed.snapshot_rate = s.Number("whole_bytes_per_s", 20'000, 1'000, 1e9);
  s.RejectUnknownKeys();
  return feed;
}

ControlOptions ReadControl(Section s) {
  ControlOptions control;
  control.name = s.Text("name");
  if (!PlainName(control.name) || control.name.find_first_of(",/=?#") != std::string::npos)
    s.Fail("name", "is missing or not a plain word; give this machine a name of its own");
  control.bind = Address(s, "bind", s.Text("bind"));
  if (control.bind.address >> 24 != kLoopbackNet)
    s.Fail("bind", "is not a loopback address; the feed is not authenticated, so only loopback is bound");
  control.others = ConfigServerAddresses(s, "others");
  control.origin = s.Text("origin");
  control.snapshot_slots = s.Count("places", control.snapshot_slots, 1, 1'000);
  s.RejectUnknownKeys();
  return control;
}

std::string ReadNonEmpty(const std::string& path) {
  std::string text = dappletiller::ReadFile(path);
  if (text.empty()) throw std::runtime_error("is empty");
  return text;
}

}  // namespace

OperatorFile ParseOperatorFile(std::string_view text, const std::string& name, const ReadFile& read) {
  toml::table root = ParseToml(text, name);
  Section top(root, name, "");
  OperatorFile file;
  file.log_json = top.OneOf("log", kForms, "text");
  file.log_level = top.OneOf("log_level", kLevels, "info");
  if (const toml::table* fleet = top.Table("fleet"))
    file.fleet = ReadFleet(Section(*fleet, name, "fleet"), name, read);
  if (const toml::table* feed = top.Table("settings_feed"))
    file.settings_feed = ReadSettingsFeed(Section(*feed, name, "settings_feed"));
  if (const toml::table* control = top.Table("control"))
    file.control = ReadControl(Section(*control, name, "control"));
  top.RejectUnknownKeys();
  return file;
}

OperatorFile LoadOperatorFile(const std::string& path) {
  std::string text;
  try {
    text = ReadNonEmpty(path);
  } catch (const std::system_error& e) {
    if (IsShortage(e.code().value())) throw;
    throw OperatorError(path + ": cannot be read: " + e.what() + "; give the path of a TOML file");
  } catch (const std::runtime_error& e) {
    throw OperatorError(path + ": " + e.what() + "; give the path of a TOML file");
  }
  // A key file and the origin's are named from where the operator file lies.
  std::filesystem::path folder = std::filesystem::path(path).parent_path();
  OperatorFile file = ParseOperatorFile(text, path, [&folder](const std::string& named) {
    std::filesystem::path key =
        std::filesystem::path(named).is_absolute() ? std::filesystem::path(named) : folder / named;
    struct stat info {};
    if (::stat(key.c_str(), &info) == 0 && (info.st_mode & 077) != 0) {
      throw std::runtime_error("is accessible to other users; restrict it with chmod 600");
    }
    return ReadNonEmpty(key.string());
  });
  if (file.control && !file.control->origin.empty())
    file.control->origin = (folder / file.control->origin).string();
  return file;
}

}  // namespace dappletiller::operators
