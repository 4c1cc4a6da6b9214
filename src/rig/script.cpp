#include "rig/script.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <pcg_random.hpp>
#include <sstream>
#include <utility>

#include "config/section.hpp"

namespace dappletiller::rig {
namespace {

template <typename T>
struct Word {
  std::string_view word;
  T value;
};

constexpr std::array kActs = {
    Word<Act>{"loss", Act::kLoss},           Word<Act>{"delay", Act::kDelay},
    Word<Act>{"jitter", Act::kJitter},       Word<Act>{"reorder", Act::kReorder},
    Word<Act>{"duplicate", Act::kDuplicate}, Word<Act>{"rate", Act::kRate},
    Word<Act>{"corrupt", Act::kCorrupt},     Word<Act>{"cut", Act::kCut},
    Word<Act>{"flap", Act::kFlap},           Word<Act>{"partition", Act::kPartition},
    Word<Act>{"kill", Act::kKill},           Word<Act>{"term", Act::kTerm},
    Word<Act>{"stop", Act::kStop},           Word<Act>{"start", Act::kStart},
    Word<Act>{"move", Act::kMove},           Word<Act>{"twin", Act::kTwin},
    Word<Act>{"leave", Act::kLeave},         Word<Act>{"hangup", Act::kHangup},
    Word<Act>{"liar", Act::kLiar},           Word<Act>{"silent", Act::kSilent},
    Word<Act>{"down", Act::kDown},           Word<Act>{"stale", Act::kStale},
    Word<Act>{"drain", Act::kDrain},         Word<Act>{"new-worker", Act::kNewWorker},
    Word<Act>{"clock", Act::kClock},         Word<Act>{"burst", Act::kBurst}};

constexpr std::array kClaims = {
    Word<Claim>{"settled", Claim::kSettled},    Word<Claim>{"not-dead", Claim::kNotDead},
    Word<Claim>{"dead", Claim::kDead},          Word<Claim>{"not-suspect", Claim::kNotSuspect},
    Word<Claim>{"served", Claim::kServed},      Word<Claim>{"no-tips", Claim::kNoTips},
    Word<Claim>{"no-sends", Claim::kNoSends},   Word<Claim>{"whole", Claim::kWhole},
    Word<Claim>{"part-back", Claim::kPartBack}, Word<Claim>{"memory", Claim::kMemory},
    Word<Claim>{"told", Claim::kTold},          Word<Claim>{"alone", Claim::kAlone},
    Word<Claim>{"cold-sum", Claim::kColdSum}};

using operators::Section;

Micros Seconds(Section& section, std::string_view key, double otherwise = 0) {
  return static_cast<Micros>(section.Number(key, otherwise, 0, 1e6) * 1e6);
}

std::string Joined(const std::vector<std::string>& words) {
  std::string all;
  for (const std::string& word : words) all += (all.empty() ? "" : ",") + word;
  return all.empty() ? "*" : all;
}

Fault ReadFault(Section section) {
  Fault fault;
  fault.line = section.line();
  fault.act = section.OneOf("do", kActs);
  fault.at = Seconds(section, "at");
  fault.span = Seconds(section, "for");
  fault.period = Seconds(section, "period", 1);
  fault.value = section.Number("value", 0, fault.act == Act::kClock ? -1e9 : 0, 1e9);
  fault.oneway = section.Flag("oneway", false);
  fault.wipe = section.Flag("wipe", false);
  fault.relay = section.Flag("relay", false);
  fault.keys = section.Words("keys");
  fault.fleet = section.Text("fleet");
  if (const toml::table* more = section.Table("operator")) {
    std::ostringstream lines;
    lines << *more;
    fault.lines = lines.str();
  }
  bool files =
      fault.wipe || fault.relay || !fault.keys.empty() || !fault.fleet.empty() || !fault.lines.empty();
  if (files && fault.act != Act::kStart && fault.act != Act::kHangup) {
    section.Fail("do",
                 "files are written for start and hangup only; take wipe, relay, keys, fleet, operator away");
  }
  fault.who = section.Words("who");
  fault.from = section.Words("from");
  fault.to = section.Words("to");
  fault.groups = section.Lists("groups");
  bool chance = fault.act == Act::kLoss || fault.act == Act::kReorder || fault.act == Act::kDuplicate ||
                fault.act == Act::kCorrupt;
  if (chance && !(fault.value > 0 && fault.value <= 1)) {
    section.Fail("value", "a chance above 0 and up to 1 is needed");
  }
  if (fault.act == Act::kBurst && !(fault.value > 0)) section.Fail("value", "a number above 0 is needed");
  if (fault.act == Act::kPartition && fault.groups.size() < 2) {
    section.Fail("groups", "at least two groups are needed: [[\"p1\"], [\"p2\"]]");
  }
  if ((fault.act == Act::kFlap || fault.act == Act::kStop) && fault.period <= 0) {
    section.Fail("period", "is not positive");
  }
  std::ostringstream text;
  text << section.Text("do") << " ";
  if (!fault.groups.empty()) {
    for (const auto& group : fault.groups) text << "[" << Joined(group) << "] ";
  } else if (!fault.from.empty() || !fault.to.empty()) {
    text << Joined(fault.from) << (fault.oneway ? " -> " : " <-> ") << Joined(fault.to) << " ";
  } else {
    text << Joined(fault.who) << " ";
  }
  if (fault.value != 0) text << fault.value << " ";
  text << "at " << static_cast<double>(fault.at) / 1e6 << " s";
  if (fault.span > 0) text << " for " << static_cast<double>(fault.span) / 1e6 << " s";
  fault.text = text.str();
  section.RejectUnknownKeys();
  return fault;
}

Expect ReadExpect(Section section) {
  Expect expect;
  expect.line = section.line();
  expect.claim = section.OneOf("that", kClaims);
  expect.at = Seconds(section, "at");
  expect.until = Seconds(section, "until");
  expect.within = Seconds(section, "within");
  expect.share = section.Number("share", 0, 0, 1e9);
  expect.text = section.Text("text");
  expect.who = section.Words("who");
  expect.by = section.Words("by");
  section.RejectUnknownKeys();
  return expect;
}

}  // namespace

Script ParseScript(std::string_view text, const std::string& name) {
  toml::table root = operators::ParseToml(text, name);
  Section top(root, name, "");
  Script script;
  script.name = name;
  const toml::table* fleet = top.Table("fleet");
  if (fleet == nullptr) top.Fail("fleet", "the section is missing; write [fleet]");
  Section f(*fleet, name, "fleet");
  script.proxies = f.Count("proxies", 3, 1, 200);
  script.at_start = f.Count("at_start", script.proxies, 1, script.proxies);
  script.workers = f.Count("workers", 4, 1, 200);
  script.gateways = f.Count("gateways", script.proxies, 1, 1000);
  script.zones = f.Count("zones", 1, 1, 8);
  script.joined = f.Flag("joined", true);
  script.keepers = f.Count("keepers", std::min(3, script.proxies), 0, script.proxies);
  script.length = Seconds(f, "seconds", 10);
  script.calls_per_second = f.Number("calls_per_second", 20, 0, 10000);
  script.work_ms = f.Number("work_ms", 5, 0.1, 10000);
  script.size = f.Number("size", 4, 1, 1000);
  script.cold_ms = f.Number("cold_ms", 10'000, 1, 1e6);
  script.cold_share = f.Number("cold_share", 0.1, 0.001, 1);
  script.cold_chance = f.Flag("cold_chance", false);
  script.hints = f.Flag("hints", true);
  script.uneven = f.Number("uneven", 1, 1, 5);
  if (const toml::table* more = f.Table("operator")) {
    std::ostringstream lines;
    lines << *more;
    script.operator_text = lines.str();
  }
  f.RejectUnknownKeys();
  for (const char* list : {"fault", "expect"}) {
    const toml::array* array = top.Array(list);
    if (array == nullptr) continue;
    for (const toml::node& entry : *array) {
      if (entry.as_table() == nullptr)
        top.Fail(list, "holds something that is not a table; write [[" + std::string(list) + "]]");
      if (list[0] == 'f') {
        script.faults.push_back(ReadFault(Section(*entry.as_table(), name, list)));
      } else {
        script.expects.push_back(ReadExpect(Section(*entry.as_table(), name, list)));
      }
    }
  }
  top.RejectUnknownKeys();
  return script;
}

std::string SoakScript(int proxies, double seconds, std::uint64_t seed) {
  pcg64 random(seed);
  auto below = [&random](int n) { return static_cast<int>(random(static_cast<std::uint64_t>(n))); };
  auto one = [&] { return "p" + std::to_string(1 + below(proxies)); };
  std::ostringstream text;
  text << "[fleet]\nproxies = " << proxies
       << "\nworkers = 6\nzones = 2\ncalls_per_second = " << std::max(2, 60 / proxies)
       << "\nseconds = " << seconds + 30 << "\n";
  std::string all = "\"p1-p" + std::to_string(proxies) + "\"";
  int workers = 6;
  for (double at = 8; at < seconds - 10; at += 2 + below(8)) {
    double span = 1 + below(9);
    auto fault = [&](const std::string& lines) { text << "[[fault]]\nat = " << at << "\n" << lines; };
    std::string lasts = "for = " + std::to_string(span) + "\n";
    std::string links = lasts + "from = " + all + "\nto = " + all + "\n";
    std::string who = one();
    switch (below(9)) {
      case 0:
        fault("do = \"loss\"\nvalue = 0." + std::to_string(1 + below(3)) + "\n" + links);
        break;
      case 1:
        fault("do = \"delay\"\nvalue = " + std::to_string(20 + below(200)) + "\n" + links);
        break;
      case 2: {
        std::string left, right;
        for (int i = 1; i <= proxies; ++i) {
          std::string& side = below(2) == 0 ? left : right;
          side += (side.empty() ? "\"p" : ", \"p") + std::to_string(i) + "\"";
        }
        fault("do = \"partition\"\n" + lasts + "groups = [[" + left + "], [" + right + "]]\n");
        break;
      }
      case 3:
      case 4:
        fault("do = \"kill\"\nwho = \"" + who + "\"\n");
        text << "[[fault]]\nat = " << at + 0.5 + span << "\ndo = \"start\"\nwho = \"" << who << "\"\n";
        break;
      case 5:
        fault("do = \"stop\"\n" + lasts + "who = \"" + who + "\"\n");
        break;
      case 6:
        fault("do = \"flap\"\nperiod = 2\n" + lasts + "from = \"" + who + "\"\nto = \"" + one() + "\"\n");
        break;
      case 7:
        fault("do = \"cut\"\noneway = true\n" + lasts + "from = \"" + who + "\"\nto = " + all + "\n");
        break;
      case 8:
        fault("do = \"new-worker\"\nwho = \"w" + std::to_string(++workers) + "\"\n");
        break;
    }
  }
  text << "[[expect]]\nthat = \"settled\"\nwithin = 20\n[[expect]]\nthat = \"whole\"\n[[expect]]\nthat = "
          "\"no-tips\"\n[[expect]]\nthat = \"served\"\nshare = 0.95\n[[expect]]\nthat = \"memory\"\nshare = "
          "100\n"
          "[[expect]]\nthat = \"part-back\"\nwithin = 20\nshare = 0.95\n";
  return text.str();
}

std::vector<std::string> Select(const std::vector<std::string>& words, const std::vector<std::string>& all) {
  std::vector<std::string> chosen;
  for (const std::string& name : all) {
    for (const std::string& word : words) {
      std::size_t dash = word.find('-');
      bool fits = word == "*" || word == name;
      // A range: the letter, then numbers from the first to the last.
      if (!fits && dash != std::string::npos && dash > 1 && word[0] == name[0]) {
        int first = 0, last = 0, number = 0;
        std::from_chars(word.data() + 1, word.data() + dash, first);
        std::from_chars(word.data() + dash + 2, word.data() + word.size(), last);
        auto [end, failed] = std::from_chars(name.data() + 1, name.data() + name.size(), number);
        fits = failed == std::errc() && end == name.data() + name.size() && number >= first && number <= last;
      }
      if (!fits) continue;
      chosen.push_back(name);
      break;
    }
  }
  return chosen;
}

}  // namespace dappletiller::rig
