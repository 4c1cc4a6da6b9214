#include "rig/verdict.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <set>

namespace dappletiller::rig {
namespace {

constexpr Micros kClocks = 10'000;  // two processes' clocks on one machine agree to within this

std::string Seconds(Micros span) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f s", static_cast<double>(span) / 1e6);
  return text;
}

std::string List(const std::vector<std::string>& words) {
  std::string all;
  for (const std::string& word : words) all += (all.empty() ? "" : ",") + word;
  return all.empty() ? "*" : all;
}

bool RunsAt(const Ledger& ledger, const std::string& slot, Micros at) {
  auto it = ledger.runs.find(slot);
  if (it == ledger.runs.end()) return false;
  return std::any_of(it->second.begin(), it->second.end(),
                     [at](const Run& run) { return at >= run.from && (run.to == 0 || at < run.to); });
}

bool StoppedAt(const Ledger& ledger, const std::string& slot, Micros at) {
  auto it = ledger.runs.find(slot);
  if (it == ledger.runs.end()) return false;
  for (const Run& run : it->second) {
    for (auto [from, to] : run.stopped) {
      if (at >= from && (to == 0 || at < to)) return true;
    }
  }
  return false;
}

// What `slot` said at `at`; none: it had said nothing yet.
const View* ViewAt(const Ledger& ledger, const std::string& slot, Micros at) {
  auto it = ledger.views.find(slot);
  if (it == ledger.views.end()) return nullptr;
  const View* last = nullptr;
  for (const View& view : it->second) {
    if (view.at > at) break;
    last = &view;
  }
  return last;
}

class Judgement {
 public:
  Judgement(const Script& script, const Ledger& ledger, const std::vector<Party>& parties, Micros began,
            Micros ended, Micros last_fault)
      : script_(script),
        ledger_(ledger),
        parties_(parties),
        began_(began),
        ended_(ended),
        last_fault_(last_fault) {
    for (const Party& party : parties_) slots_.push_back(party.slot);
  }

  Verdict On(const Expect& expect) {
    switch (expect.claim) {
      case Claim::kSettled:
        return Settled(expect);
      case Claim::kNotDead:
        return NotIn(expect, {"dead", "left"}, "not dead");
      case Claim::kNotSuspect:
        return NotIn(expect, {"dead", "suspect"}, "not suspect");
      case Claim::kDead:
        return Dead(expect);
      case Claim::kServed:
        return Served(expect);
      case Claim::kNoTips:
        return NoTips();
      case Claim::kColdSum:
        return ColdSum(expect);
      case Claim::kNoSends:
        return NoSends(expect);
      case Claim::kWhole:
        return Whole();
      case Claim::kPartBack:
        return PartBack(expect);
      case Claim::kMemory:
        return Memory(expect);
      case Claim::kTold:
        return Told(expect);
      case Claim::kAlone:
        break;
    }
    return Alone(expect);
  }

  // What no script may break: work that must run once runs once.
  Verdict Once() {
    std::map<std::string, int> times;
    std::string first;
    long twice = 0;
    for (const Taken& taken : ledger_.taken) {
      if (!taken.once || !taken.ran || ++times[taken.id] != 2) continue;
      ++twice;
      if (first.empty()) first = taken.id + " at " + taken.worker + " by " + taken.sender;
    }
    return {twice == 0, "once: what must not run twice was begun once",
            std::to_string(times.size()) + " calls, " + std::to_string(twice) + " twice" +
                (first.empty() ? "" : ", first " + first),
            static_cast<double>(twice)};
  }

 private:
  Micros At(const Expect& e) const { return e.at > 0 ? began_ + e.at : last_fault_; }
  Micros Until(const Expect& e) const { return e.until > 0 ? began_ + e.until : ended_; }
  std::vector<std::string> Who(const std::vector<std::string>& words) const {
    return words.empty() ? slots_ : Select(words, slots_);
  }

  // Whether all that run now, among `who`, see just one another's names as alive; else why not.
  bool SettledAt(const std::vector<std::string>& who, Micros at, std::string* why) const {
    std::map<std::string, std::string> alive;  // name, address
    for (const Party& party : parties_) {
      if (std::find(who.begin(), who.end(), party.slot) != who.end() && RunsAt(ledger_, party.slot, at)) {
        alive[party.name] = party.address;
      }
    }
    for (const Party& party : parties_) {
      if (std::find(who.begin(), who.end(), party.slot) == who.end() || !RunsAt(ledger_, party.slot, at))
        continue;
      const View* view = ViewAt(ledger_, party.slot, at);
      if (view == nullptr) {
        *why = party.slot + " has said nothing";
        return false;
      }
      for (const auto& [name, address] : alive) {
        if (name == party.name) continue;
        auto it = view->members.find(name);
        if (it == view->members.end() || it->second.state != "alive") {
          *why = party.slot + " sees " + name + " as " +
                 (it == view->members.end() ? "absent" : it->second.state);
          return false;
        }
      }
      for (const auto& [name, seen] : view->members) {
        if ((seen.state == "alive" || seen.state == "suspect") && alive.count(name) == 0) {
          *why = party.slot + " sees " + name + " as " + seen.state + ", which does not run";
          return false;
        }
      }
    }
    return true;
  }

  Verdict Settled(const Expect& e) {
    Micros at = At(e);
    std::vector<std::string> who = Who(e.who);
    std::set<Micros> instants = {at};
    for (const std::string& slot : who) {
      auto it = ledger_.views.find(slot);
      if (it == ledger_.views.end()) continue;
      for (const View& view : it->second) {
        if (view.at > at && view.at <= at + e.within) instants.insert(view.at);
      }
    }
    instants.insert(std::min(at + e.within, ended_));
    std::string why;
    Micros settled = 0;
    // Settled from the first instant after which it holds to the end of the span.
    for (Micros instant : instants) {
      bool holds = SettledAt(who, instant, &why);
      if (!holds) settled = 0;
      if (holds && settled == 0) settled = instant;
    }
    bool holds = settled != 0;
    return {holds, "settled: " + List(e.who) + " agree within " + Seconds(e.within),
            holds ? "after " + Seconds(settled - at) : why,
            holds ? static_cast<double>(settled - at) / 1e6 : -1};
  }

  Verdict NotIn(const Expect& e, const std::vector<std::string>& states, const char* word) {
    long broken = 0;
    std::string first;
    std::set<std::string> names;
    for (const std::string& slot : Who(e.who)) {
      for (const Party& party : parties_) {
        if (party.slot == slot) names.insert(party.name);
      }
    }
    for (const std::string& slot : Who(e.by)) {
      auto it = ledger_.views.find(slot);
      if (it == ledger_.views.end()) continue;
      for (const View& view : it->second) {
        if (view.at < (e.at > 0 ? began_ + e.at : began_) || view.at > Until(e)) continue;
        for (const std::string& name : names) {
          auto seen = view.members.find(name);
          if (seen == view.members.end()) continue;
          if (std::find(states.begin(), states.end(), seen->second.state) == states.end()) continue;
          ++broken;
          if (first.empty())
            first = slot + " saw " + name + " as " + seen->second.state + " at " + Seconds(view.at - began_);
        }
      }
    }
    return {broken == 0, std::string(word) + ": " + List(e.who) + " in the views of " + List(e.by),
            broken == 0 ? "never" : std::to_string(broken) + " times, first " + first,
            static_cast<double>(broken)};
  }

  Verdict Dead(const Expect& e) {
    Micros at = At(e), last = 0;
    std::string why;
    for (const std::string& slot : Who(e.by)) {
      if (!RunsAt(ledger_, slot, at + e.within) || std::find(e.who.begin(), e.who.end(), slot) != e.who.end())
        continue;
      for (const std::string& who : Select(e.who, slots_)) {
        Micros found = 0;
        auto it = ledger_.views.find(slot);
        if (it != ledger_.views.end()) {
          for (const View& view : it->second) {
            auto seen = view.members.find(who);
            bool gone =
                seen == view.members.end() || seen->second.state == "dead" || seen->second.state == "left";
            if (view.at >= at && gone) {
              found = view.at;
              break;
            }
          }
        }
        if (found == 0 || found > at + e.within) why = slot + " has not seen that " + who + " is gone";
        last = std::max(last, found);
      }
    }
    return {why.empty(), "gone: " + List(e.who) + " known to " + List(e.by) + " within " + Seconds(e.within),
            why.empty() ? "after " + Seconds(std::max<Micros>(0, last - at)) : why,
            why.empty() ? static_cast<double>(last - at) / 1e6 : -1};
  }

  // Calls to processes that run and are not stopped at that time, nor within the patience after it.
  Verdict Served(const Expect& e) {
    std::vector<std::string> who = Who(e.who);
    Micros from = e.at > 0 ? began_ + e.at : began_, until = Until(e);
    std::map<std::string, std::pair<long, long>> by;
    for (const Called& called : ledger_.called) {
      if (called.at < from || called.at > until || std::find(who.begin(), who.end(), called.to) == who.end())
        continue;
      Micros over = called.at + 2'000'000;
      bool able =
          RunsAt(ledger_, called.to, called.at) && (over >= ended_ || RunsAt(ledger_, called.to, over));
      for (Micros at = called.at; able && at <= over; at += 100'000)
        able = !StoppedAt(ledger_, called.to, at);
      if (!able || called.at > ended_ - 2'000'000) continue;
      auto& [all, served] = by[called.to];
      ++all;
      served += called.fared == Fared::kServed;
    }
    double worst = 1;
    std::string name = "nobody";
    long calls = 0;
    for (const auto& [slot, counts] : by) {
      calls += counts.first;
      double share = static_cast<double>(counts.second) / static_cast<double>(counts.first);
      if (share < worst || name == "nobody") {
        worst = share;
        name = slot + " (" + std::to_string(counts.second) + " of " + std::to_string(counts.first) + ")";
      }
    }
    char text[96];
    std::snprintf(text, sizeof text, "served: each of %s at least %.3f", List(e.who).c_str(), e.share);
    char found[160];
    std::snprintf(found, sizeof found, "%ld calls, least %.4f at %s", calls, worst, name.c_str());
    return {calls > 0 && worst >= e.share, text, found, worst};
  }

  Verdict NoTips() {
    std::size_t tips = 0;
    std::string first;
    for (const auto& [worker, when] : ledger_.tips) {
      tips += when.size();
      if (first.empty()) first = ", first " + worker + " at " + Seconds(when[0] - began_);
    }
    long cold =
        std::count_if(ledger_.taken.begin(), ledger_.taken.end(), [](const Taken& t) { return t.cold; });
    return {tips == 0, "no tips: no cold worker was given more than it bears",
            std::to_string(tips) + " tips, " + std::to_string(cold) + " calls to cold workers" + first,
            static_cast<double>(tips)};
  }

  // Beyond its budget of N requests of mean work in the fall time 2 sqrt(N) + 2 more are put down to chance.
  // N is what the worker bore as the span began, the least in it; what it turned away counts as well.
  Verdict ColdSum(const Expect& e) {
    double mean = script_.work_ms * 1000, most = 0;
    std::string where = "nowhere";
    std::map<std::string, std::vector<const Taken*>> by;
    for (const Taken& taken : ledger_.taken) {
      if (taken.cold) by[taken.worker].push_back(&taken);
    }
    std::size_t least = ledger_.taken.size(), all = 0;
    for (const auto& [worker, taken] : by) {
      least = std::min(least, taken.size());
      all += taken.size();
      double sum = 0;
      std::size_t first = 0;
      for (const Taken* last : taken) {
        sum += static_cast<double>(last->work);
        for (; taken[first]->at <= last->at - ledger_.fall || taken[first]->started != last->started; ++first)
          sum -= static_cast<double>(taken[first]->work);
        double n = taken[first]->bears / mean;
        double part = sum / mean / (n + 2 * std::sqrt(n) + 2);
        if (part <= most) continue;
        most = part;
        std::map<std::string, int> senders;
        for (std::size_t k = first; taken[k] != last; ++k) ++senders[taken[k]->sender];
        ++senders[last->sender];
        auto top = std::max_element(senders.begin(), senders.end(),
                                    [](const auto& a, const auto& b) { return a.second < b.second; });
        char text[160];
        std::snprintf(text, sizeof text, "%s at %s: %.1f where N is %.1f, from %zu processes, %d by %s",
                      worker.c_str(), Seconds(last->at - began_).c_str(), sum / mean, n, senders.size(),
                      top->second, top->first.c_str());
        where = text;
      }
    }
    char text[256];
    std::snprintf(text, sizeof text,
                  "%zu calls to %zu cold workers, %zu at least to each; most %.2f of it, %s", all, by.size(),
                  by.empty() ? 0 : least, most, where.c_str());
    return {!by.empty() && static_cast<double>(least) >= e.share && most <= 1,
            "cold sum: all processes together gave no cold worker more than N + 2 sqrt(N) + 2", text, most};
  }

  Verdict NoSends(const Expect& e) {
    std::vector<std::string> by = Who(e.by);
    long sends = 0;
    std::string first;
    for (const Taken& taken : ledger_.taken) {
      if (taken.at < began_ + e.at || std::find(e.who.begin(), e.who.end(), taken.worker) == e.who.end())
        continue;
      if (std::find(by.begin(), by.end(), taken.sender) == by.end()) continue;
      ++sends;
      if (first.empty()) first = ", first by " + taken.sender + " at " + Seconds(taken.at - began_);
    }
    return {sends == 0, "no sends: to " + List(e.who) + " by " + List(e.by) + " after " + Seconds(e.at),
            std::to_string(sends) + " sends" + first, static_cast<double>(sends)};
  }

  Verdict Whole() {
    auto [most, at] = MostUsed(ledger_);
    char text[96];
    std::snprintf(text, sizeof text, "at most %.4f, at %s", most, Seconds(at - began_).c_str());
    return {!ledger_.parts.empty() && most <= 1.0 + 1e-6, "whole: the parts in use never pass the whole",
            text, most};
  }

  Verdict PartBack(const Expect& e) {
    Micros at = At(e);
    double best = 0;
    Micros when = 0;
    for (Micros t = at; t <= std::min(at + e.within, ended_); t += 50'000) {
      double used = UsedAt(ledger_, t);
      if (used > best) best = used;
      if (used >= e.share && when == 0) when = t;
    }
    char text[96];
    std::snprintf(text, sizeof text, "%.4f%s", best,
                  when != 0 ? (", after " + Seconds(when - at)).c_str() : "");
    return {
        when != 0,
        "part back: at least " + std::to_string(e.share) + " of the whole in use within " + Seconds(e.within),
        text, when != 0 ? static_cast<double>(when - at) / 1e6 : -1};
  }

  Verdict Memory(const Expect& e) {
    long most = 0;
    std::string name;
    for (const std::string& slot : Who(e.who)) {
      auto it = ledger_.most_kb.find(slot);
      if (it != ledger_.most_kb.end() && it->second > most) {
        most = it->second;
        name = slot;
      }
    }
    double mb = static_cast<double>(most) / 1024;
    char text[64];
    std::snprintf(text, sizeof text, "%.1f MB at %s", mb, name.c_str());
    return {most > 0 && mb <= e.share,
            "memory: at most " + std::to_string(static_cast<int>(e.share)) + " MB each", text, mb};
  }

  Verdict Told(const Expect& e) {
    std::string missing;
    for (const std::string& slot : Who(e.who)) {
      auto it = ledger_.lines.find(slot);
      bool found = it != ledger_.lines.end() &&
                   std::any_of(it->second.begin(), it->second.end(), [&](const auto& line) {
                     return line.second.find(e.text) != std::string::npos;
                   });
      if (!found) missing += (missing.empty() ? "" : ", ") + slot;
    }
    return {missing.empty(), "told: " + List(e.who) + " logged '" + e.text + "'",
            missing.empty() ? "each did" : "not " + missing, 0};
  }

  Verdict Alone(const Expect& e) {
    std::string why;
    for (const std::string& slot : Who(e.who)) {
      const View* view = ViewAt(ledger_, slot, ended_);
      if (view == nullptr) {
        why = slot + " has said nothing";
        continue;
      }
      for (const auto& [name, seen] : view->members) {
        if (seen.state == "alive") why = slot + " sees " + name;
      }
    }
    return {why.empty(), "alone: " + List(e.who) + " see nobody at the end", why.empty() ? "nobody" : why, 0};
  }

  const Script& script_;
  const Ledger& ledger_;
  const std::vector<Party>& parties_;
  Micros began_, ended_, last_fault_;
  std::vector<std::string> slots_;
};

struct Span {
  Micros from, to;
  double part;
};

std::vector<Span> Spans(const Ledger& ledger) {
  std::vector<Span> spans;
  for (const auto& [slot, parts] : ledger.parts) {
    const auto& runs = ledger.runs.at(slot);
    for (std::size_t i = 0; i < parts.size(); ++i) {
      Micros end = parts[i].until;
      if (i + 1 < parts.size()) end = std::min(end, parts[i + 1].at);
      // A process that has ended uses nothing.
      for (const Run& run : runs) {
        if (parts[i].at >= run.from && parts[i].at < run.to) end = std::min(end, run.to);
      }
      if (parts[i].part > 0 && end > parts[i].at + kClocks)
        spans.push_back({parts[i].at, end - kClocks, parts[i].part});
    }
  }
  return spans;
}

}  // namespace

std::pair<double, Micros> MostUsed(const Ledger& ledger) {
  std::vector<std::pair<Micros, double>> edges;
  for (const Span& span : Spans(ledger)) {
    edges.emplace_back(span.from, span.part);
    edges.emplace_back(span.to, -span.part);
  }
  std::sort(edges.begin(), edges.end());  // at one instant what ends comes first
  double sum = 0, most = 0;
  Micros at = 0;
  for (auto [when, change] : edges) {
    sum += change;
    if (sum > most + 1e-9) {
      most = sum;
      at = when;
    }
  }
  return {most, at};
}

double UsedAt(const Ledger& ledger, Micros at) {
  double sum = 0;
  for (const Span& span : Spans(ledger)) sum += at >= span.from && at < span.to + kClocks ? span.part : 0;
  return sum;
}

std::vector<Verdict> Judge(const Script& script, const Ledger& ledger, const std::vector<Party>& parties,
                           Micros began, Micros ended, Micros last_fault) {
  Judgement judgement(script, ledger, parties, began, ended, last_fault);
  std::vector<Verdict> verdicts;
  for (const Expect& expect : script.expects) verdicts.push_back(judgement.On(expect));
  verdicts.push_back(judgement.Once());
  return verdicts;
}

}  // namespace dappletiller::rig
