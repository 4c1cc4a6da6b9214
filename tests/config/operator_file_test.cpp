// The operator file: parsing, and errors with file, line, key and remedy.
#include "config/operator_file.hpp"

#include <doctest/doctest.h>

#include <string>

#include "config/section.hpp"
#include "rig/script.hpp"

namespace dappletiller::operators {
namespace {

const std::string kKey(64, 'a');

OperatorFile Parse(const std::string& text) {
  return ParseOperatorFile(text, "f.toml", [](const std::string& path) -> std::string {
    if (path == "key") return kKey + "\n";
    if (path == "short") return "abc\n";
    throw std::runtime_error("cannot be read, or is empty");
  });
}

std::string Error(const std::string& text) {
  try {
    Parse(text);
  } catch (const OperatorError& e) {
    return e.what();
  }
  return "none";
}

const std::string kFine = "[fleet]\nname = \"f\"\nbind = \"127.0.0.1:0\"\n";

TEST_CASE("defaults and all settings") {
  OperatorFile file = Parse("");
  CHECK_FALSE(file.fleet.has_value());
  CHECK_FALSE(file.log_json);
  file = Parse(
      "log = \"json\"\nlog_level = \"warn\"\n" + kFine +
      "advertise = \"10.0.0.4:7946\"\nseeds = [\"10.0.0.5:7946\"]\nkey_file = \"key\"\nprobe_ms = 1000\n"
      "[fleet.addresses]\n\"10.0.0.5:7946\" = \"127.0.0.1:9\"\n"
      "[fleet.parts]\nkeepers = [\"b\", \"a\"]\nlease_ms = 2000\n");
  REQUIRE(file.fleet.has_value());
  CHECK(file.log_json);
  CHECK(file.log_level == "warn");
  CHECK(file.fleet->keys.size() == 1);
  CHECK((file.fleet->membership.probe_interval == std::chrono::seconds(1)));
  CHECK(file.fleet->membership.seeds.size() == 1);
  CHECK(file.fleet->addresses.at("10.0.0.5:7946").port == 9);
  CHECK(file.fleet->lease_granters == std::vector<std::string>{"a", "b"});
  CHECK((file.fleet->lease_duration == std::chrono::seconds(2)));
}

TEST_CASE("the configuration feed and a config server") {
  CHECK_FALSE(Parse(kFine).settings_feed.has_value());
  OperatorFile file = Parse(
      "[settings_feed]\nmachines = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\nothers = \"127.0.0.1:3\"\n"
      "services = [\"plan-7\"]\nwhole_bytes_per_s = 5000\n"
      "[control]\nname = \"c1\"\nbind = \"127.0.0.1:9\"\nothers = \"127.0.0.1:3\"\norigin = \"o.jsonl\"\n"
      "places = 3\n");
  REQUIRE(file.settings_feed.has_value());
  CHECK(file.settings_feed->nearby.size() == 2);
  CHECK(file.settings_feed->others.size() == 1);
  CHECK(file.settings_feed->services == std::vector<std::string>{"plan-7"});
  CHECK(file.settings_feed->snapshot_rate == 5'000);
  REQUIRE(file.control.has_value());
  CHECK(file.control->name == "c1");
  CHECK(file.control->bind.port == 9);
  CHECK(file.control->origin == "o.jsonl");
  CHECK(file.control->snapshot_slots == 3);
}

TEST_CASE("each error states file, line, key and remedy") {
  struct Row {
    std::string text;
    const char* says;
  };
  const Row rows[] = {
      {"[fleet\n", "f.toml:1: not TOML"},
      {"logs = \"json\"\n", "f.toml:1: logs: is not a known key; remove it"},
      {"log = \"xml\"\n", "f.toml:1: log: 'xml' is unknown; give one of text, json"},
      {"fleet = 3\n", "f.toml:1: fleet: is not a section; write [fleet]"},
      {"[fleet]\nbind = \"127.0.0.1:0\"\n", "f.toml:1: fleet.name: is missing"},
      {"[settings_feed]\n", "f.toml:1: settings_feed.machines: is missing; give the nearby config servers"},
      {"[settings_feed]\nmachines = \"x\"\n", "f.toml:2: settings_feed.machines: 'x' is not an address"},
      {"[settings_feed]\nmachines = \"10.0.0.4:1\"\n", "10.0.0.4:1 is not a loopback address"},
      {"[settings_feed]\nmachines = [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n",
       "contains an address twice; remove one"},
      {"[settings_feed]\nmachines = \"127.0.0.1:1\"\nothers = \"127.0.0.1:1\"\n",
       "f.toml:3: settings_feed.others: 127.0.0.1:1 is already in machines"},
      {"[settings_feed]\nmachines = \"127.0.0.1:1\"\nservices = [\"a,b\"]\n",
       "f.toml:3: settings_feed.services: 'a,b' is not a service's name"},
      {"[settings_feed]\nmachines = \"127.0.0.1:1\"\nwhole_bytes_per_s = 1\n",
       "f.toml:3: settings_feed.whole_bytes_per_s: is out of range"},
      {"[settings_feed]\nmachines = \"127.0.0.1:1\"\nservice = \"a\"\n",
       "f.toml:3: settings_feed.service: is not a known key"},
      {"[control]\nbind = \"127.0.0.1:1\"\n", "f.toml:1: control.name: is missing"},
      {"[control]\nname = \"c\"\nbind = \"0.0.0.0:1\"\n",
       "f.toml:3: control.bind: is not a loopback address"},
      {"[control]\nname = \"c\"\nbind = \"127.0.0.1:1\"\nplaces = 0\n",
       "f.toml:4: control.places: is out of range"},
      {"[fleet]\nname = \"f\"\nbind = \"localhost:1\"\n",
       "f.toml:3: fleet.bind: 'localhost:1' is not an address"},
      {"[fleet]\nname = \"f\"\nbind = \"10.0.0.4:1\"\n",
       "fleet.key_file: is missing; without a key only loopback may be bound"},
      {"[fleet]\nname = \"f\"\nbind = \"0.0.0.0:1\"\nkey_file = \"key\"\n", "fleet.advertise: is needed"},
      {kFine + "key_file = \"short\"\n",
       "f.toml:4: fleet.key_file: short: line 1 is not 64 hexadecimal digits"},
      {kFine + "key_file = \"gone\"\n", "f.toml:4: fleet.key_file: gone: cannot be read"},
      {kFine + "probe_ms = 1\n", "f.toml:4: fleet.probe_ms: is out of range; give a number from 50 to 60000"},
      {kFine + "probe_ms = \"fast\"\n", "f.toml:4: fleet.probe_ms: is not a number"},
      {kFine + "probe_ms = 100\nprobe_wait_ms = 200\n",
       "f.toml:5: fleet.probe_wait_ms: is longer than probe_ms"},
      {kFine + "seeds = [\"x\"]\n", "f.toml:4: fleet.seeds: 'x' is not an address"},
      {kFine + "seeds = 5\n", "f.toml:4: fleet.seeds: is neither a string nor a list"},
      {kFine + "[fleet.addresses]\n\"x\" = \"127.0.0.1:1\"\n",
       "f.toml:5: fleet.addresses.x: 'x' is not an address"},
      {kFine + "[fleet.parts]\nkeepers = []\n", "f.toml:5: fleet.parts.keepers: give 1 to 7 members"},
      {kFine + "[fleet.parts]\nkeepers = [\"a\", \"a\"]\n", "each once"},
      {kFine + "[fleet.parts]\nkeepers = [\"a\"]\nleese_ms = 1\n",
       "f.toml:6: fleet.parts.leese_ms: is not a known key"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.text);
    std::string error = Error(row.text);
    INFO(error);
    CHECK(error.find(row.says) != std::string::npos);
  }
}

TEST_CASE("errors in test scripts are reported the same way, and names are selected by range") {
  auto error = [](const std::string& text) -> std::string {
    try {
      rig::ParseScript(text, "s.toml");
    } catch (const OperatorError& e) {
      return e.what();
    }
    return "none";
  };
  const std::string fleet = "[fleet]\nproxies = 3\n";
  CHECK(error(fleet) == "none");
  CHECK(error("") == "s.toml:1: fleet: the section is missing; write [fleet]");
  CHECK(error(fleet + "[[fault]]\ndo = \"explode\"\n")
            .rfind("s.toml:4: fault.do: 'explode' is unknown; give one of loss", 0) == 0);
  CHECK(error(fleet + "[[fault]]\ndo = \"loss\"\nvalue = 30\n").find("s.toml:5: fault.value: a chance") == 0);
  CHECK(error(fleet + "[[expect]]\nthat = \"whole\"\nwithn = 3\n").find("expect.withn: is not a known key") !=
        std::string::npos);
  std::vector<std::string> all = {"p1", "p2", "p2+", "p3", "p10", "w1", "discovery"};
  CHECK(rig::Select({"p2-p3"}, all) == std::vector<std::string>{"p2", "p3"});
  CHECK(rig::Select({"*"}, all) == all);
  CHECK(rig::Select({"p2+", "w1"}, all) == std::vector<std::string>{"p2+", "w1"});
}

}  // namespace
}  // namespace dappletiller::operators
