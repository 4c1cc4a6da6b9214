// The settings feed's requests and pages, the control server's answers and the origin's file, as an earlier
// build wrote and read them.
#include <string>
#include <vector>

#include "config_feed/client/settings_feed.hpp"
#include "config_feed/control_machine.hpp"
#include "config_feed/origin.hpp"
#include "config_feed/page_json.hpp"
#include "control_server/feed_server.hpp"
#include "golden.hpp"
#include "net/support.hpp"

namespace dappletiller::testing {
namespace {

feed::Page FixedPage(bool whole) {
  feed::Page page;
  page.head = {13, 0xffffffffffff, 351};
  page.to = 351;
  page.after = whole ? 0 : 340;
  page.whole = whole;
  page.ancestors = {{5, 300}, {6, 320}};
  page.changes = {{"tenant/plan-7/acme", R"({"portion":0.5,"quotaRps":4})", 341},
                  {"class/*/\"quoted\"/x", "1", 342},
                  {"tenant/plan-7/gone", std::nullopt, 351}};
  return page;
}

TEST_CASE("pages and requests of the feed are written as before, and the recorded ones are read") {
  feed::Asked delta{"p1", {}, 2000};
  delta.question.held = {12, 7, 340};
  delta.question.scope.services = {"plan-1", "plan-7"};
  feed::Asked snapshot{"p1", {}, 0};
  snapshot.question.held = {12, 0, 0};
  snapshot.question.began = 350;
  snapshot.question.scope.all = true;
  std::string all = feed::WriteQuestion(delta) + "\n" + feed::WriteQuestion(snapshot) + "\n" +
                    feed::WritePage(FixedPage(false)) + "\n" + feed::WritePage(FixedPage(true)) + "\n";
  std::string recorded = Golden("feed_pages.txt", all);
  CHECK(recorded == all);
  std::vector<std::string> lines;
  for (std::size_t at = 0, end; (end = recorded.find('\n', at)) != std::string::npos; at = end + 1) {
    lines.push_back(recorded.substr(at, end - at));
  }
  REQUIRE(lines.size() == 4);
  auto request = feed::ReadQuestion(lines[0]);
  REQUIRE(request.has_value());
  CHECK(request->question.held == delta.question.held);
  CHECK(request->question.scope == delta.question.scope);
  CHECK(feed::ReadQuestion(lines[1])->question.began == 350);
  for (bool whole : {false, true}) {
    auto page = feed::ReadPage(lines[whole ? 3 : 2]);
    REQUIRE(page.has_value());
    CHECK(page->changes == FixedPage(whole).changes);
    CHECK(page->ancestors == FixedPage(whole).ancestors);
    CHECK(page->whole == whole);
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
  feed::Origin origin("settings.jsonl");
  std::string all;
  for (const feed::Change& change : origin.Read(Golden("origin.jsonl", file)).changes) {
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
    CHECK_THROWS_AS(origin.Read(bad), feed::OriginError);
  }
  CHECK(origin.serial() == 12);
}

std::string AnswerOf(Rig& rig, std::uint16_t port, const std::string& request) {
  Peer peer = Peer::Dial(port);
  peer.Say(request);
  rig.Until("an answer",
            [&] { return peer.Has("\r\n\r\n") && (peer.Ended() || peer.Has("}\n") || peer.Has("}")); });
  return peer.text;
}

TEST_CASE("the control server's answers, heads and all, are as before") {
  Rig rig;
  feed::FollowerOptions options;
  options.self = "c1";
  feed::ControlMachine machine(options, 4);
  std::set<std::string, std::less<>> touched;
  std::vector<feed::Change> entries = {{"tenant/plan-7/acme", "{}", 0},
                                       {"class/*/check", "{\"giveUp\":1}", 0}};
  machine.Publish(
      rig.loop.Now(), 12, [&](bool) { return entries; }, 7, &touched);
  FeedServer server(rig.loop, rig.log, machine);
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
    all += AnswerOf(rig, server.port(), request) + "\n----\n";
  }
  CHECK(Golden("control_answers.txt", all) == all);
}

struct NoSink final : SettingsSink {
  void SettingsChanged(const std::vector<feed::Change>&) override {}
};

TEST_CASE("the state of the feed that the console shows is as before") {
  Rig rig;
  feed::FollowerOptions options;
  options.self = "p1";
  options.near = {"127.0.0.1:1"};
  options.scope.services = {"plan-1", "plan-7"};
  feed::Follower follower(options);
  NoSink sink;
  SettingsFeed settings(rig.loop, rig.log, follower, "p1", sink);
  std::string all = settings.Json() + "\n";
  CHECK(Golden("console_settings.txt", all) == all);
}

}  // namespace
}  // namespace dappletiller::testing
