// The configuration feed's requests and pages, the config server's responses and the origin's file, compared
// with those of an earlier build.
#include <string>
#include <vector>

#include "config_feed/client/feed_client.hpp"
#include "config_feed/config_server.hpp"
#include "config_feed/origin_file.hpp"
#include "config_feed/page_codec.hpp"
#include "control_server/feed_server.hpp"
#include "golden.hpp"
#include "net/support.hpp"

namespace dappletiller::testing {
namespace {

config_feed::Page FixedPage(bool whole) {
  config_feed::Page page;
  page.head = {13, 0xffffffffffff, 351};
  page.up_to = 351;
  page.after = whole ? 0 : 340;
  page.is_snapshot = whole;
  page.ancestors = {{5, 300}, {6, 320}};
  page.changes = {{"tenant/plan-7/acme", R"({"portion":0.5,"quotaRps":4})", 341},
                  {"class/*/\"quoted\"/x", "1", 342},
                  {"tenant/plan-7/gone", std::nullopt, 351}};
  return page;
}

TEST_CASE("pages and requests of the feed are written as before, and the recorded ones can be read") {
  config_feed::FeedRequest delta{"p1", {}, 2000};
  delta.page.position = {12, 7, 340};
  delta.page.scope.services = {"plan-1", "plan-7"};
  config_feed::FeedRequest snapshot{"p1", {}, 0};
  snapshot.page.position = {12, 0, 0};
  snapshot.page.snapshot_began_at = 350;
  snapshot.page.scope.all = true;
  std::string all = config_feed::WriteRequest(delta) + "\n" + config_feed::WriteRequest(snapshot) + "\n" +
                    config_feed::WritePage(FixedPage(false)) + "\n" +
                    config_feed::WritePage(FixedPage(true)) + "\n";
  std::string recorded = Golden("feed_pages.txt", all);
  CHECK(recorded == all);
  std::vector<std::string> lines;
  for (std::size_t at = 0, end; (end = recorded.find('\n', at)) != std::string::npos; at = end + 1) {
    lines.push_back(recorded.substr(at, end - at));
  }
  REQUIRE(lines.size() == 4);
  auto request = config_feed::ParseRequest(lines[0]);
  REQUIRE(request.has_value());
  CHECK(request->page.position == delta.page.position);
  CHECK(request->page.scope == delta.page.scope);
  CHECK(config_feed::ParseRequest(lines[1])->page.snapshot_began_at == 350);
  for (bool whole : {false, true}) {
    auto page = config_feed::ParsePage(lines[whole ? 3 : 2]);
    REQUIRE(page.has_value());
    CHECK(page->changes == FixedPage(whole).changes);
    CHECK(page->ancestors == FixedPage(whole).ancestors);
    CHECK(page->is_snapshot == whole);
  }
}

TEST_CASE("the origin's file reads as before") {
  std::string file =
      "{\"serial\": 12}\n"
      R"({"kind": "tenant", "service": "plan-7", "name": "acme", "value": {"portion": 0.01, "quotaRps": 5}})"
      "\n"
      R"({"kind": "class", "service": "*", "name": "check", "value": {"giveUp": 800000, "effect": "free"}})"
      "\n"
      R"({"kind": "route", "service": "plan-7", "name": "/a/b", "value": [1, "x", null]})"
      "\n";
  config_feed::OriginFile origin("settings.jsonl");
  std::string all;
  for (const config_feed::Change& change : origin.Read(Golden("origin.jsonl", file)).changes) {
    all += change.key + " " + *change.value + "\n";
  }
  CHECK(Golden("origin_entries.txt", all) == all);
  CHECK(origin.serial() == 12);
  for (const char* bad :
       {"{\"serial\": 0}\n", "{}\n", "{\"serial\": 13}\nnot json\n",
        "{\"serial\": 13}\n{\"kind\":\"tenant\",\"service\":\"a\",\"name\":\"b\"}\n",
        "{\"serial\": "
        "13}\n{\"kind\":\"tenant\",\"service\":\"a\",\"name\":\"b\",\"value\":{\"portion\":2}}\n",
        "{\"serial\": 13}\n{\"kind\":\"x\",\"service\":\"a\",\"name\":\"b\",\"value\":1,\"more\":1}\n"}) {
    CHECK_THROWS_AS(origin.Read(bad), config_feed::OriginError);
  }
  CHECK(origin.serial() == 12);
}

std::string AnswerOf(ProxyFixture& fixture, std::uint16_t port, const std::string& request) {
  TestConnection connection = TestConnection::Connect(port);
  connection.Send(request);
  fixture.WaitUntil("an answer", [&] {
    return connection.HasReceived("\r\n\r\n") &&
           (connection.IsClosed() || connection.HasReceived("}\n") || connection.HasReceived("}"));
  });
  return connection.text;
}

TEST_CASE("the config server's responses, with headers, are as before") {
  ProxyFixture fixture;
  config_feed::FollowerOptions options;
  options.self = "c1";
  config_feed::ConfigServer machine(options, 4);
  std::set<std::string, std::less<>> touched;
  std::vector<config_feed::Change> entries = {{"tenant/plan-7/acme", "{}", 0},
                                              {"class/*/check", "{\"giveUp\":1}", 0}};
  machine.Publish(
      fixture.loop.Now(), 12, [&](config_feed::Baseline) { return entries; }, 7, &touched);
  FeedServer server(fixture.loop, fixture.log, machine);
  server.Listen({kLoopback, 0});
  auto get = [](const std::string& target) {
    return "GET " + target + " HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n";
  };
  std::string all;
  for (const std::string& request :
       {get("/feed?self=p1&serial=0&epoch=0&after=0&wait_ms=0&all=1"),
        get("/feed?self=p1&serial=12&epoch=7&after=1&wait_ms=0&services=plan-7"),
        get("/feed?self=p1&serial=99&epoch=7&after=1&wait_ms=0&services=plan-7"),
        get("/feed?self=p1&serial=x&epoch=7&after=1&wait_ms=0&services=plan-7"), get("/other"),
        std::string("PUT /feed HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n"),
        std::string("nonsense\r\n\r\n")}) {
    all += AnswerOf(fixture, server.port(), request) + "\n----\n";
  }
  CHECK(Golden("control_answers.txt", all) == all);
}

struct NoSink final : SettingsObserver {
  void OnSettingsChanged(const std::vector<config_feed::Change>&) override {}
};

TEST_CASE("the feed status of the console is as before") {
  ProxyFixture fixture;
  config_feed::FollowerOptions options;
  options.self = "p1";
  options.nearby = {"127.0.0.1:1"};
  options.scope.services = {"plan-1", "plan-7"};
  config_feed::Follower follower(options);
  NoSink sink;
  FeedClient settings(fixture.loop, fixture.log, follower, "p1", sink);
  std::string all = settings.StatusJson() + "\n";
  CHECK(Golden("console_settings.txt", all) == all);
}

}  // namespace
}  // namespace dappletiller::testing
