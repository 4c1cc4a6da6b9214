// The script of a scale run: what it takes, what it refuses and how it says so, and the plan that follows
// from it.
#include "rig/scale_script.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "config/section.hpp"

namespace dappletiller::rig {
namespace {

std::string Refused(const std::string& text) {
  try {
    ParseScale(text, "s.toml");
  } catch (const operators::OperatorError& e) {
    return e.what();
  }
  return "taken";
}

constexpr const char* kHour = R"([scale]
hollow = 30
real = 2
servers = 40
services = 4
zones = 4
regions = 2
seconds = 60
hour_in = 60
[[event]]
do = "zone-lost"
at = 5
for = 10
zone = 1
[[event]]
do = "release"
at = 2
for = 20
region = 1
[[event]]
do = "parted"
at = 1
for = 5
region = 0
)";

}  // namespace

TEST_CASE("a scale script that can't be is refused by file, line and key, with the remedy") {
  CHECK(Refused("[scale]\nseconds = 60\n") == "taken");
  CHECK(Refused("x = 1\n").find("s.toml:1: scale: the section is missing") == 0);
  CHECK(Refused("[scale]\n\nhollow = 20000\nto_a_process = 10\n")
            .find("s.toml:4: scale.to_a_process: the run would "
                  "be 2005 processes of 300; raise it") == 0);
  CHECK(Refused("[scale]\nservices = 0\n").find("s.toml:2: scale.services: there is no service") == 0);
  CHECK(Refused("[scale]\nservers = 3\nservices = 4\n").find("s.toml:3: scale.services: there are more") ==
        0);
  CHECK(Refused("[scale]\nzones = 7\nregions = 2\n").find("s.toml:2: scale.zones: don't add up") == 0);
  CHECK(Refused("[scale]\nservers = 12\nzones = 3\nservers_by_zone = [4, 4, 5]\n")
            .find("s.toml:4: scale.servers_by_zone: the zones don't add up: 3 zones with 13 servers") == 0);
  CHECK(Refused("[scale]\nzones = 3\nservers_by_zone = [60, 60]\n").find("s.toml:3: scale.servers_by_zone") ==
        0);
  CHECK(Refused("[scale]\nhollows = 3\n").find("s.toml:2: scale.hollows: is not a known key") == 0);
  CHECK(Refused("[scale]\nseconds = 5\n").find("s.toml:2: scale.seconds: is too short") == 0);
  CHECK(Refused("[scale]\n[[event]]\ndo = \"zone-lost\"\nat = 50\nfor = 9\n")
            .find("s.toml:4: event.at: it ends "
                  "too late") == 0);
  CHECK(Refused("[scale]\n[[event]]\ndo = \"zone-lost\"\nzone = 3\nfor = 1\n").find("s.toml:4: event.zone") ==
        0);
  CHECK(Refused("[scale]\n[[event]]\ndo = \"flood\"\n").find("s.toml:3: event.do: 'flood' is unknown") == 0);
  CHECK(Refused("[scale]\n[sweep]\nservers = [120]\n").find("s.toml:3: sweep.servers: a slope needs two") ==
        0);
  CHECK(Refused("[scale]\n[sweep]\nhollow = [10, 20000]\n").find("s.toml:3: sweep.hollow: a size of 20000") ==
        0);
  CHECK(Refused("[scale]\n[sweep]\nservers = [5, 120]\n")
            .find("s.toml:3: sweep.servers: a size of 5 is less") == 0);
}

TEST_CASE("settings come by a file or by the feed, which takes two processes more") {
  CHECK_FALSE(ParseScale("[scale]\n", "s.toml").feed);
  ScaleScript by_file = ParseScale("[scale]\nsettings = \"file\"\n", "s.toml");
  ScaleScript by_feed = ParseScale("[scale]\nsettings = \"feed\"\n", "s.toml");
  CHECK(by_feed.feed);
  CHECK(by_feed.Processes() == by_file.Processes() + 2);
  CHECK(by_feed.ServiceOf(13) == by_feed.ServiceOf(1));
  CHECK(Refused("[scale]\nsettings = \"mail\"\n")
            .find("s.toml:2: scale.settings: 'mail' is unknown; give one of file, feed") == 0);
}

TEST_CASE("the plan is the seed's, and all that goes comes back before the quiet") {
  ScaleScript script = ParseScale(kHour, "s.toml");
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    Plan plan = MakePlan(script, seed), again = MakePlan(script, seed);
    REQUIRE(plan.servers.size() == again.servers.size());
    CHECK(std::equal(plan.servers.begin(), plan.servers.end(), again.servers.begin(), [](auto& a, auto& b) {
      return a.at == b.at && a.server == b.server && a.what == b.what;
    }));
    CHECK(plan.partings.size() == 1);
    using S = ServerChange::What;
    std::map<int, std::vector<S>> by_server;
    for (const ServerChange& change : plan.servers) {
      CHECK(change.at >= 0);
      CHECK(change.at <= script.length - script.settle);
      by_server[change.server].push_back(change.what);
    }
    // Each goes once, all the way, in one of the two orders.
    for (const auto& [server, all] : by_server) {
      CAPTURE(server);
      bool whole = all == std::vector<S>{S::kDrain, S::kGone, S::kUp} ||
                   all == std::vector<S>{S::kDie, S::kGone, S::kUp};
      CHECK(whole);
    }
    for (int i = 0; i < script.servers; ++i) {
      if (script.ZoneOfServer(i) == 1) CHECK(by_server.count(i) == 1);
    }
    using P = ProxyChange::What;
    std::map<int, std::vector<P>> by_proxy;
    for (const ProxyChange& change : plan.proxies) {
      CHECK(change.at <= script.length - script.settle);
      by_proxy[change.proxy].push_back(change.what);
    }
    for (const auto& [proxy, all] : by_proxy) {
      CAPTURE(proxy);
      REQUIRE(all.size() % 2 == 0);
      for (std::size_t k = 0; k < all.size(); ++k) CHECK((all[k] == P::kStart) == (k % 2 == 1));
    }
    CHECK(by_proxy.size() >= 16);  // the release of half of them, at the least
  }
}

TEST_CASE("a slope by least squares, and how far the points lie from it") {
  Slope line = Fit({1, 2, 4}, {5, 7, 11});
  CHECK(line.a == doctest::Approx(3));
  CHECK(line.b == doctest::Approx(2));
  CHECK(line.worst == doctest::Approx(0));
  Slope off = Fit({0, 1, 2}, {0, 3, 0});
  CHECK(off.b == doctest::Approx(0));
  CHECK(off.a == doctest::Approx(1));
  CHECK(off.worst == doctest::Approx(2.0 / 3));
  CHECK(Fit({3, 3}, {1, 2}).b == 0);
  CHECK(Fit({}, {}).b == 0);
}

}  // namespace dappletiller::rig
