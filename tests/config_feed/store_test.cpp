// The configuration feed's store, its text formats and the origin's file, without sockets and clocks.
#include "config_feed/store.hpp"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "config_feed/effective_entries.hpp"
#include "config_feed/origin_file.hpp"
#include "config_feed/page_codec.hpp"
#include "config_feed/snapshot_admission.hpp"

namespace dappletiller::config_feed {
namespace {

std::vector<Change> Tenants(int first, int last, const std::string& service, const std::string& value) {
  std::vector<Change> changes;
  for (int i = first; i < last; ++i)
    changes.push_back({"tenant/" + service + "/t" + std::to_string(i), value, 0});
  return changes;
}

PageRequest After(const Store& held, Scope scope = {true, {}}) {
  return {held.head(), std::nullopt, std::move(scope)};
}

// Applies pages until the follower is up to date; returns their number.
int Catch(const Store& from, Store* to, std::size_t page_bytes, const Scope& scope = {true, {}}) {
  for (int pages = 1; pages < 10'000; ++pages) {
    Page page = from.MakePage(After(*to, scope), page_bytes);
    REQUIRE_FALSE(page.is_snapshot);
    to->Apply(page);
    if (page.is_last()) return pages;
  }
  return -1;
}

bool Same(const Store& a, const Store& b) {
  bool same = a.size() == b.size();
  a.ForEach([&](const std::string& key, const std::string& value) {
    const std::string* other = b.Find(key);
    same = same && other != nullptr && *other == value;
  });
  return same;
}

TEST_CASE("keys have three parts; the name may contain a slash") {
  for (const char* bad : {"", "a", "a/b", "a//c", "/b/c", "a/b/", "a/b/c d", "a/b/\n"}) {
    CAPTURE(bad);
    CHECK_FALSE(ParseKey(bad));
  }
  CHECK_FALSE(ParseKey("a/b/" + std::string(kMaxKeyPartSize + 1, 'c')));
  auto key = ParseKey("route/plan-7//api/v1");
  REQUIRE(key);
  CHECK(key->service == "plan-7");
  CHECK(key->name == "/api/v1");
}

TEST_CASE("a delta contains the changes since a version, each key once, at a proportional cost") {
  Store store;
  store.Publish(1, 7, Tenants(0, 1000, "a", "x"));
  Store follower;
  Page whole = store.MakePage(After(follower), 1 << 30);
  CHECK(whole.is_snapshot);
  CHECK(whole.changes.size() == 1000);
  follower.Apply(whole);
  CHECK(follower.head() == store.head());

  for (int round = 0; round < 5; ++round)
    store.Publish(2 + static_cast<std::uint64_t>(round), 7, Tenants(3, 5, "a", std::to_string(round)));
  store.Publish(7, 7, {{"tenant/a/t9", std::nullopt, 0}, {"tenant/a/none", std::nullopt, 0}});
  Page page = store.MakePage(After(follower), 1 << 30);
  CHECK_FALSE(page.is_snapshot);
  CHECK(page.changes.size() == 3);
  follower.Apply(page);
  CHECK(Same(store, follower));
  CHECK(follower.Find("tenant/a/t9") == nullptr);
  // Changes without effect get no version.
  std::uint64_t version = store.head().version;
  CHECK(store.Publish(8, 7, Tenants(3, 5, "a", "4")).empty());
  CHECK(store.head().version == version);
  CHECK(store.head().serial == 8);
}

TEST_CASE("the serial changes only with the last page") {
  Store store, follower;
  store.Publish(1, 7, Tenants(0, 10, "a", "x"));
  follower.Apply(store.MakePage(After(follower), 1 << 20));
  store.Publish(2, 7, Tenants(0, 10, "a", "y"));
  Page half = store.MakePage(After(follower), 100);
  REQUIRE_FALSE(half.is_last());
  follower.Apply(half);
  CHECK(follower.head().serial == 1);
  Catch(store, &follower, 100);
  CHECK(follower.head().serial == 2);
}

TEST_CASE("a scope contains its services and entries for all, and entries that leave it are removed") {
  Store store, follower;
  store.Publish(1, 7, Tenants(0, 5, "a", "x"));
  store.Publish(2, 7, Tenants(0, 5, "b", "x"));
  store.Publish(3, 7, {{"class/*/check", "1", 0}});
  Scope scope{false, {"b", "c"}};
  Page page = store.MakePage(After(follower, scope), 1 << 20);
  CHECK(page.changes.size() == 6);
  follower.Apply(page);
  CHECK(follower.head() == store.head());
  // Changes outside the scope are not sent, and the version advances with the next response.
  store.Publish(4, 7, Tenants(0, 1, "a", "y"));
  CHECK_FALSE(store.HasChangesFor(After(follower, scope)));
  page = store.MakePage(After(follower, scope), 1 << 20);
  CHECK(page.changes.empty());
  follower.Apply(page);
  CHECK(follower.head() == store.head());
  // An entry that moves to a service outside the scope is removed.
  store.Publish(5, 7, {{"tenant/b/t1", std::nullopt, 0}, {"tenant/a/t1", "x", 0}});
  CHECK(store.HasChangesFor(After(follower, scope)));
  Catch(store, &follower, 1 << 20, scope);
  CHECK(follower.Find("tenant/b/t1") == nullptr);
}

TEST_CASE("a follower that is behind the forgotten removals, or in another epoch, gets a snapshot") {
  Store store(10), follower;
  store.Publish(1, 7, Tenants(0, 100, "a", "x"));
  follower.Apply(store.MakePage(After(follower), 1 << 20));
  std::vector<Change> gone;
  for (int i = 0; i < 50; ++i) gone.push_back({"tenant/a/t" + std::to_string(i), std::nullopt, 0});
  store.Publish(2, 7, gone);
  CHECK(store.size() == 50);
  CHECK(store.MakePage(After(follower), 1 << 20).is_snapshot);

  Store other;
  other.Publish(3, 99, Tenants(0, 5, "a", "x"));
  CHECK(other.MakePage(After(follower), 1 << 20).is_snapshot);
  // A newer epoch that continues this one sends a delta, unless the follower is further ahead.
  Store heir;
  Page page = store.MakePage(After(heir), 1 << 20);
  heir.Apply(page);
  Store ahead = heir;
  heir.Publish(3, 100, Tenants(60, 61, "a", "z"));
  Store late;
  late.Apply(store.MakePage(After(late), 1 << 20));
  page = heir.MakePage(After(late), 1 << 20);
  CHECK_FALSE(page.is_snapshot);
  CHECK(page.changes.size() == 1);
  ahead.Publish(3, 7,
                Tenants(70, 80, "a", "w"));  // published by the old origin after the new one had diverged
  CHECK(heir.MakePage(After(ahead), 1 << 20).is_snapshot);
}

TEST_CASE("a server that is behind reports it and never moves a follower back") {
  Store old, now;
  old.Publish(5, 7, Tenants(0, 5, "a", "x"));
  now.Apply(old.MakePage(After(now), 1 << 20));
  CHECK_FALSE(old.IsBehind(After(now)));
  now.Publish(6, 7, Tenants(0, 5, "a", "y"));
  CHECK(old.IsBehind(After(now)));
  CHECK_FALSE(now.IsBehind(After(old)));
  Store empty;
  CHECK(empty.IsBehind(After(old)));
  CHECK(empty.IsBehind(After(Store())));
  // The same serial in two epochs: the later epoch counts on both sides.
  Store other;
  other.Publish(6, 8, Tenants(0, 5, "a", "q"));
  CHECK(now.IsBehind(After(other)));
  CHECK_FALSE(other.IsBehind(After(now)));
}

// Half of the entries are replaced, removed or added again while the snapshot is sent page by page.
TEST_CASE("a snapshot ends with the current entries, whatever changes meanwhile") {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    Store store(seed % 2 == 0 ? 20 : 100'000);
    store.Publish(1, 7, Tenants(0, 400, "a", "x"));
    // Forgotten before the snapshot began: no reason to restart it.
    std::vector<Change> early;
    for (int i = 350; i < 400; ++i) early.push_back({"tenant/a/t" + std::to_string(i), std::nullopt, 0});
    store.Publish(2, 7, early);
    Store walk;
    std::optional<std::uint64_t> began;
    int pages = 0;
    for (std::uint64_t serial = 3;; ++serial) {
      REQUIRE(++pages < 5'000);
      Page page = store.MakePage({walk.head(), began, {true, {}}}, 600);
      REQUIRE(page.is_snapshot);
      if (page.after == 0) walk = Store(), began = page.head.version;
      walk.Apply(page);
      if (page.is_last()) break;
      if (serial > 100) continue;
      std::vector<Change> changes;
      for (int i = 0; i < 8; ++i) {
        auto n = std::to_string(random() % 450);
        if (random() % 2)
          changes.push_back({"tenant/a/t" + n, "y" + std::to_string(serial), 0});
        else
          changes.push_back({"tenant/a/t" + n, std::nullopt, 0});
      }
      store.Publish(serial, 7, changes);
    }
    CHECK(Same(store, walk));
  }
}

TEST_CASE("a snapshot does not continue at a server that is behind its beginning") {
  Store far, near;
  far.Publish(1, 7, Tenants(0, 100, "a", "x"));
  near.Apply(far.MakePage(After(near), 1 << 20));
  far.Publish(2, 7, Tenants(0, 50, "a", "y"));  // `near` does not have the new versions of t0 to t49
  Page page = far.MakePage({{}, std::nullopt, {true, {}}}, 500);
  REQUIRE_FALSE(page.is_last());
  CHECK(near.IsBehind({{0, 7, page.up_to}, page.head.version, {true, {}}}));
  CHECK_FALSE(near.IsBehind({{0, 7, page.up_to}, 100, {true, {}}}));
}

TEST_CASE("requests and pages survive encoding and decoding, and truncated texts are rejected") {
  FeedRequest asked{"proxy-1", {{12, 1'764'600'000'000'000, 340}, 350, {false, {"plan-1", "plan-7"}}}, 2000};
  auto read = ParseRequest(WriteRequest(asked));
  REQUIRE(read);
  CHECK(read->follower == "proxy-1");
  CHECK(read->page.position == asked.page.position);
  CHECK(read->page.snapshot_began_at == asked.page.snapshot_began_at);
  CHECK(read->page.scope == asked.page.scope);
  CHECK(read->wait_ms == 2000);
  for (const char* bad :
       {"/feed", "/feed?", "/feed?self=a&serial=1&epoch=2&after=3",
        "/other?self=a&serial=1&epoch=2&after=3&all=1", "/feed?self=a&serial=1&epoch=2&after=-3&all=1",
        "/feed?self=a&serial=1&epoch=2&after=3&all=2", "/feed?self=a&self=b&serial=1&epoch=2&after=3&all=1",
        "/feed?self=&serial=1&epoch=2&after=3&all=1",
        "/feed?self=a&serial=1&epoch=2&after=3&all=1&services=a",
        "/feed?self=a&serial=1&epoch=2&after=3&services=a,,b",
        "/feed?self=a&serial=1&epoch=2&after=3&all=1&wait_ms=99999999"}) {
    CAPTURE(bad);
    CHECK_FALSE(ParseRequest(bad));
  }
  CHECK(ParseRequest("/feed?self=a&serial=1&epoch=2&after=3&services="));

  Page page;
  page.head = {13, 1'764'600'000'000'001, 351};
  page.up_to = 351;
  page.after = 340;
  page.ancestors = {{5, 300}};
  page.changes = {{"tenant/plan-7/acme", "{\"a\":\"\\u00e9 \\\"\"}", 341},
                  {"tenant/plan-7/gone", std::nullopt, 351}};
  std::string text = WritePage(page);
  auto back = ParsePage(text);
  REQUIRE(back);
  CHECK(back->head == page.head);
  CHECK(back->ancestors == page.ancestors);
  CHECK(back->changes == page.changes);
  for (std::size_t cut = 0; cut < text.size(); ++cut) {
    CAPTURE(cut);
    CHECK_FALSE(ParsePage(text.substr(0, cut)));
  }
  for (const char* part : {"\"to\"", "[\"5\"", "/plan-7/acme", "false"}) {
    std::string bad = text;
    bad.replace(bad.find(part), 1, "]");
    CHECK_FALSE(ParsePage(bad));
  }
}

TEST_CASE("the largest page fits an HTTP response of the codec") {
  Store store;
  std::vector<Change> changes;
  for (int i = 0; i < 300; ++i) {
    std::string value = "\"";
    while (value.size() < kMaxValueSize - 3) value += "\\\"";  // the worst case of JSON escaping
    changes.push_back({"route/a/" + std::to_string(i), value + "\"", 0});
  }
  store.Publish(1, 7, changes);
  Store follower;
  CHECK(WritePage(store.MakePage(After(follower), kMaxPageSize)).size() < 60 * 1024);
}

std::string OriginText(int serial, const std::vector<std::string>& lines) {
  std::string text = "{\"serial\": " + std::to_string(serial) + "}\n";
  for (const std::string& line : lines) text += line + "\n";
  return text;
}
std::string Tenant(const std::string& name, double quota) {
  return R"({"kind":"tenant","service":"a","name":")" + name + R"(","value":{"portion":0.5,"quotaRps":)" +
         std::to_string(quota) + "}}";
}

TEST_CASE("the origin's file: only differences are returned, and an invalid file changes nothing") {
  OriginFile origin("o.jsonl");
  auto first = origin.Read(OriginText(1, {Tenant("x", 1), Tenant("y", 2), "", Tenant("z", 3)}));
  CHECK(first.serial == 1);
  CHECK(first.entries == 3);
  CHECK(first.changes.size() == 3);
  auto second = origin.Read(OriginText(2, {Tenant("y", 2), Tenant("x", 9), Tenant("w", 4)}));
  REQUIRE(second.changes.size() == 3);
  CHECK(second.changes[0].key == "tenant/a/w");
  CHECK(second.changes[1].key == "tenant/a/x");
  CHECK(second.changes[2].key == "tenant/a/z");
  CHECK_FALSE(second.changes[2].value);
  CHECK(origin.Read(OriginText(2, {Tenant("x", 9), Tenant("y", 2), Tenant("w", 4)})).changes.empty());

  struct Row {
    std::string text;
    const char* says;
  };
  std::string fine = OriginText(3, {Tenant("x", 9)});
  const Row rows[] = {
      {"", "o.jsonl:1: serial: is missing"},
      {OriginText(0, {}), "o.jsonl:1: serial: is missing"},
      {fine.substr(0, fine.size() - 1), "o.jsonl:2: does not end in a newline"},
      {fine.substr(0, fine.size() - 9) + "\n", "o.jsonl:2: is not a JSON object"},
      {OriginText(2, {Tenant("x", 10)}), "o.jsonl:1: serial: 2 is not above 2"},
      {OriginText(1, {Tenant("x", 9), Tenant("y", 2), Tenant("w", 4)}), "o.jsonl:1: serial: 1 is below 2"},
      {OriginText(3, {Tenant("q", 1), Tenant("q", 2)}), "o.jsonl:3: tenant/a/q: is also on line 2"},
      {OriginText(3, {Tenant("y", 2), Tenant("y", 7)}), "o.jsonl:3: tenant/a/y: is also on another line"},
      {OriginText(3, {Tenant("q", 1), Tenant("q", 1)}), "o.jsonl:3: repeats the entry of line 2"},
      {OriginText(3, {Tenant("q", -1)}), "o.jsonl:2: tenant/a/q: value.quotaRps is missing or out of range"},
      {OriginText(3, {R"({"kind":"class","service":"*","name":"c","value":{"giveUp":5,"effect":"maybe"}})"}),
       "o.jsonl:2: class/*/c: value.effect is unknown; give one of"},
      {OriginText(3, {R"({"kind":"route","service":"a","name":"c"})"}),
       "o.jsonl:2: route/a/c: value is missing"},
      {OriginText(3, {R"({"kind":"route","service":"a","name":"c","value":1,"x":2})"}),
       "has an unknown member"},
      {OriginText(3, {R"({"kind":"route","service":7,"name":"c","value":1})"}),
       "o.jsonl:2: service: is missing"},
      {OriginText(3, {R"({"kind":"route","service":"a/b","name":"c","value":1})"}), "is not a valid key"},
      {OriginText(
           3, {R"({"kind":"route","service":"a","name":"c","value":")" + std::string(5'000, 'x') + "\"}"}),
       "longer than 4096 bytes"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.text.substr(0, 120));
    std::string said = "nothing";
    try {
      origin.Read(row.text);
    } catch (const OriginError& e) {
      said = e.what();
    }
    CAPTURE(said);
    CHECK(said.find(row.says) != std::string::npos);
    CHECK(origin.serial() == 2);
  }
  // Nothing of the invalid texts has been applied.
  Store store;
  store.Publish(2, 7, origin.DifferencesTo(store));
  CHECK(store.size() == 3);
  CHECK(origin.DifferencesTo(store).empty());
  CHECK(origin.Read(OriginText(3, {Tenant("x", 9), Tenant("y", 2), Tenant("w", 4)})).changes.empty());
}

TEST_CASE("a name defined by several services is resolved the same way everywhere") {
  Store store;
  store.Publish(1, 7, {{"tenant/*/t", "all", 0}, {"tenant/b/t", "b", 0}, {"tenant/c/t", "c", 0}});
  Scope scope{false, {"b", "c"}};
  auto value = [&](const Scope& of) {
    auto effects = ResolveEntries(store, of, {{"tenant/c/t", "c", 0}, {"tenant/*/t", "all", 0}});
    REQUIRE(effects.size() == 1);
    return effects[0].value.value_or("none");
  };
  CHECK(value(scope) == "b");
  CHECK(value({false, {"c"}}) == "c");
  CHECK(value({false, {"d"}}) == "all");
  store.Publish(2, 7, {{"tenant/b/t", std::nullopt, 0}});
  CHECK(value(scope) == "c");
  store.Publish(3, 7, {{"tenant/c/t", std::nullopt, 0}});
  CHECK(value(scope) == "all");
  store.Publish(4, 7, {{"tenant/*/t", std::nullopt, 0}});
  CHECK(value(scope) == "none");
}

TEST_CASE("snapshots are limited, and the slot of a silent follower is released") {
  SnapshotAdmission admission(2);
  CHECK(admission.Admit("a", 0) == 0);
  CHECK(admission.Admit("b", 0) == 0);
  CHECK(admission.Admit("a", 10) == 0);  // its next page
  Micros first = admission.Admit("c", 20);
  CHECK(first >= SnapshotAdmission::kMinRetryAfter);
  Micros later = 0;
  for (int i = 0; i < 100; ++i) later = admission.Admit("x" + std::to_string(i), 30);
  CHECK(later > first);
  CHECK(later <= SnapshotAdmission::kMaxRetryAfter);
  admission.Release("a", 40);
  CHECK(admission.Admit("new", 50) > 0);  // a slot is free, but others have earlier turns
  CHECK(admission.Admit("c", 20 + first) == 0);
  CHECK(admission.Admit("x0", 20 + first) > 0);
  CHECK(admission.Admit("x0", SnapshotAdmission::kSlotTimeout) ==
        0);  // "b" has not requested a page since then
  CHECK(admission.max_slots_in_use() == 2);
}

}  // namespace
}  // namespace dappletiller::config_feed
