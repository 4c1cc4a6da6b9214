#include "membership/view.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <utility>

namespace dappletiller::membership {
namespace {

constexpr double kTokens = 5;               // accusations that one may make at once and be believed
constexpr double kTokensPerMicro = 0.5e-6;  // and one more in two seconds
constexpr double kNamesPerMicro = 20e-6;    // new names that one may bring, after the first lot
constexpr Micros kAskAgain = 2'000'000;     // whom hearsay names is asked no oftener
constexpr Micros kSeedEvery = 1'000'000;
constexpr Micros kSeedAgain = 3'000'000;    // one, once the fleet is joined
constexpr Micros kDeadEvery = 1'000'000;    // one of the dead is asked
constexpr Micros kDeadBackOff = 5'000'000;  // the same one no oftener than this, in the end
constexpr Micros kTwinEvery = 3'000'000;
constexpr Micros kTwinGone = 15'000'000;  // silence after which a displaced process takes its name back
constexpr Micros kYoung = 3'000'000;      // a start takes its name from whoever had it
constexpr Micros kLongestWait = 1'000'000;
constexpr Micros kSyncLeast = 1'000'000;
constexpr int kVerifyTries = 5;
constexpr std::size_t kStrangers = 512;

constexpr Micros kDiffersFor = 2'000'000;  // views may differ so long before they are exchanged
constexpr Micros kSyncPerMember = 50'000;  // exchanges because of that, at most one in so long a member

// The same in all processes, whatever their build: it is compared between them.
std::uint64_t Mark(const std::string& name, std::uint64_t boot) {
  return XXH3_64bits_withSeed(name.data(), name.size(), boot);
}

bool Living(State state) { return state == State::kAlive || state == State::kSuspect; }

// What is told of a member that is not well: no more than tells which one is meant.
Record Claim(const Record& record, State state, const std::string& accuser) {
  Record claim;
  claim.name = record.name;
  claim.boot = record.boot;
  claim.incarnation = record.incarnation;
  claim.state = state;
  claim.accuser = accuser;
  return claim;
}

bool Accuses(const Record& r) { return r.state == State::kSuspect || r.state == State::kDead; }
std::string NewsKey(const Record& r) { return r.name + (Accuses(r) ? " " + r.accuser : ""); }

}  // namespace

View::View(Settings settings, std::uint64_t seed) : set_(std::move(settings)), random_(seed) {
  self_.name = set_.name;
  self_.boot = set_.boot;
  self_.address = set_.address;
  self_.zone = set_.zone;
  self_.program = set_.program;
  std::erase(set_.seeds, set_.address);
}

bool View::Chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }

Micros View::Wait() const {
  Micros usual = std::clamp<Micros>(static_cast<Micros>(2 * rtt_), set_.probe_wait, kLongestWait);
  return std::min(usual * (1 + awareness_), 3 * kLongestWait);
}

int View::Retransmissions() const {
  return set_.retransmit * static_cast<int>(std::ceil(std::log2(static_cast<double>(living_) + 2)));
}

// Lifeguard's span: long with one accuser, falling towards the least as others confirm.
Micros View::SuspicionSpan(const Member& member) const {
  if (member.leaving) return kChecks * kCheckEvery;
  double least = static_cast<double>(set_.suspect_least) *
                 std::max(1.0, std::log10(static_cast<double>(living_) + 1) / 2);
  double most = least * set_.suspect_most;
  int confirmable = std::min<int>(kConfirmations, static_cast<int>(living_) - 1);
  if (confirmable < 1) return static_cast<Micros>(least);
  double confirmed = static_cast<double>(member.accusers.size()) - 1;
  double part = std::log(std::max(0.0, confirmed) + 1) / std::log(confirmable + 1);
  return static_cast<Micros>(std::max(least, most - (most - least) * part));
}

void View::Note(Micros now, Event event, const std::string& name, std::string why) {
  changes_.push_back({++change_number_, now, event, name, std::move(why)});
  if (changes_.size() > kChanges) changes_.pop_front();
}

void View::SetState(Micros now, Member& member, State state, Event event, std::string why) {
  const std::string& name = member.record.name;
  if (Living(member.record.state) && member.since != 0) {
    --living_;
    digest_ ^= member.mark;
  }
  member.mark = Mark(name, member.record.boot);
  if (Living(state)) {
    ++living_;
    digest_ ^= member.mark;
  }
  suspects_.erase(name);
  dead_.erase(name);
  if (state == State::kSuspect) suspects_.insert(name);
  if (state == State::kDead) dead_.insert(name);
  member.record.state = state;
  member.since = now;
  if (state != State::kSuspect) {
    member.accusers.clear();
    member.leaving = false;
  }
  Note(now, event, name, std::move(why));
}

// ---- News ----

void View::Tell(const Record& record) {
  // Accusations by different accusers are told side by side; any other word of a member replaces all.
  std::string key = NewsKey(record);
  if (!Accuses(record)) {
    auto it = news_.lower_bound(record.name + " ");
    while (it != news_.end() && it->second.record.name == record.name) it = Untell(it);
  }
  auto it = news_.try_emplace(std::move(key)).first;
  News& news = it->second;
  to_tell_.erase({news.told, ~news.order});
  news.record = record;
  news.told = 0;
  news.tellers = 0;
  news.order = ++news_order_;
  to_tell_[{0, ~news.order}] = it;
}

View::AllNews::iterator View::Untell(AllNews::iterator it) {
  to_tell_.erase({it->second.told, ~it->second.order});
  return news_.erase(it);
}

// What others tell us as well has spread: we tell it the less (feedback and counter of Demers et al., PODC
// 1987), else a fleet that starts at once talks of it for minutes. Each of 64 groups of tellers counts once,
// so that one who repeats itself silences nothing.
void View::ToldByAnother(const Record& r, std::uint64_t teller) {
  auto it = news_.find(NewsKey(r));
  if (it == news_.end()) return;
  News& news = it->second;
  bool same =
      news.record.boot == r.boot && news.record.incarnation == r.incarnation && news.record.state == r.state;
  if (!same || (news.tellers & teller) != 0) return;
  news.tellers |= teller;
  to_tell_.erase({news.told, ~news.order});
  to_tell_[{++news.told, ~news.order}] = it;
  if (news.told >= Retransmissions() && !set_.flaw_tell_forever) Untell(it);
}

void View::TellSelf() { Tell(self_); }

void View::Attach(Message* message, const Record* first) {
  // Whom it goes to is filled in last; its name may be as long as any.
  std::size_t size = SizeOf(*message) + kLongestName + 3;
  if (first != nullptr) {
    message->updates.push_back(*first);
    size += SizeOf(*first);
  }
  // The least told first, of those the latest; what is told often enough goes.
  std::vector<AllNews::iterator> fit;
  for (auto it = to_tell_.begin(); it != to_tell_.end() && fit.size() < kMostNews; ++it)
    fit.push_back(it->second);
  int most = Retransmissions();
  for (AllNews::iterator it : fit) {
    News& news = it->second;
    std::size_t more = SizeOf(news.record);
    if (size + more > set_.most_bytes) continue;
    size += more;
    message->updates.push_back(news.record);
    to_tell_.erase({news.told, ~news.order});
    to_tell_[{++news.told, ~news.order}] = it;
    if (news.told >= most && !set_.flaw_tell_forever) Untell(it);
  }
}

void View::Send(const std::string& address, const std::string& to, std::uint64_t boot, Message message,
                std::vector<Out>* out) {
  message.from = self_;
  message.to = to;
  message.to_boot = boot;
  message.number = ++number_;
  message.digest = message.kind == Kind::kPing || message.kind == Kind::kAck ? Digest() : 0;
  bool stream = message.kind == Kind::kSyncAsk;
  ++counts_.sent;
  counts_.sent_bytes += SizeOf(message);
  out->push_back({address, std::move(message), stream});
}

// ---- Questions ----

std::uint64_t View::Digest() const { return digest_ ^ Mark(self_.name, self_.boot); }

// Gossip may miss somebody; then the two views differ for good. Who sees that for a while asks for the whole
// other view, the more seldom the larger the fleet is.
void View::Compare(Micros now, const Message& m) {
  if (m.digest == 0 || m.digest == Digest()) {
    differs_since_ = 0;
    return;
  }
  if (differs_since_ == 0) differs_since_ = now;
  Micros least = std::max(kDiffersFor, static_cast<Micros>(living_) * kSyncPerMember);
  if (now >= differs_since_ + kDiffersFor && now >= last_sync_ + least) sync_with_ = m.from.name;
}

std::uint64_t View::Ask(Micros now, Purpose purpose, const std::string& name, const std::string& address,
                        std::uint64_t boot, std::vector<Out>* out) {
  if (probes_.size() >= kMostProbes) return 0;
  // Its last bits are for the repetition that is answered; the next keeps it from being 0.
  std::uint64_t sequence = (random_() & ~kRepeats) | (kRepeats + 1);
  Probe& probe = probes_[sequence];
  probe.purpose = purpose;
  probe.name = name;
  probe.address = address;
  probe.boot = boot;
  probe.sent = probe.pinged[0] = now;
  probe.wait = Wait();
  Ping(sequence, probe, out);
  ++counts_.probes;
  return sequence;
}

void View::Ping(std::uint64_t sequence, const Probe& probe, std::vector<Out>* out) {
  Message ping;
  ping.kind = Kind::kPing;
  ping.sequence = sequence + static_cast<std::uint64_t>(probe.repeats);
  ping.from = self_;
  // Who is suspected hears of it first, with the question.
  auto it = members_.find(probe.name);
  Record buddy;
  const Record* first = nullptr;
  if (it != members_.end() && it->second.record.state != State::kAlive && !it->second.leaving) {
    buddy = Claim(it->second.record, it->second.record.state, self_.name);
    first = &buddy;
  }
  Attach(&ping, first);
  Send(probe.address, probe.name, probe.boot, std::move(ping), out);
}

void View::Verify(Micros now, const Record& claimed, int tries, Micros not_before) {
  if (claimed.address.empty() || claimed.address == self_.address) return;
  std::string key = claimed.name + " " + claimed.address;
  if (tries == 0) {
    auto it = asked_.find(key);
    if (it != asked_.end() && now < it->second + kAskAgain) return;
    if (asked_.size() >= kMostAsked || to_verify_.size() >= kMostAsked) {
      ++counts_.full;
      return;
    }
    asked_[key] = now;
  }
  to_verify_.push_back({claimed, tries, not_before});
}

std::vector<const View::Member*> View::Some(std::size_t n, const std::string& but) {
  std::vector<const Member*> some;
  if (round_.empty()) return some;
  for (std::size_t i = 0; i < 4 * n + 8 && some.size() < n; ++i) {
    const std::string& name = round_[random_(round_.size())];
    auto it = members_.find(name);
    if (it == members_.end() || it->second.record.state != State::kAlive || name == but) continue;
    const Member* member = &it->second;
    if (std::find(some.begin(), some.end(), member) == some.end()) some.push_back(member);
  }
  return some;
}

// ---- What is heard ----

bool View::Fresh(Member& member, std::uint64_t number) {
  if (number > member.top) {
    std::uint64_t by = number - member.top;
    member.seen = by < member.seen.size() ? member.seen << by : std::bitset<256>();
    member.seen.set(0);
    member.top = number;
    return true;
  }
  std::uint64_t behind = member.top - number;
  if (behind >= member.seen.size() || member.seen.test(behind)) return false;
  member.seen.set(behind);
  return true;
}

bool View::FreshStranger(const Message& m) {
  std::uint64_t mark = Mark(m.from.name, m.from.boot) ^ (m.number * 0x9e3779b97f4a7c15ULL);
  if (!strangers_set_.insert(mark).second) return false;
  strangers_.push_back(mark);
  if (strangers_.size() > kStrangers) {
    strangers_set_.erase(strangers_.front());
    strangers_.pop_front();
  }
  return true;
}

// Someone has answered our own question (or a helper's, asked for us): what it says of itself counts.
void View::Confirm(Micros now, const Record& record) {
  if (record.name == self_.name || record.state == State::kLeft || record.boot >= kHighest ||
      record.incarnation >= kHighest) {
    ++counts_.claims_ignored;
    return;
  }
  ++counts_.verified;
  auto it = members_.find(record.name);
  if (it == members_.end()) {
    if (members_.size() >= set_.most_members) MakeRoom(now);
    if (members_.size() >= set_.most_members) {
      ++counts_.full;
      return;
    }
    Member& member = members_[record.name];
    member.record = record;
    member.record.state = State::kAlive;
    member.record.accuser.clear();
    member.heard = now;
    SetState(now, member, State::kAlive, Event::kJoined, "at " + record.address);
    round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(random_(round_.size() + 1)), record.name);
    if (round_at_ > round_.size()) round_at_ = 0;
    Tell(member.record);
    // The first that we meet tells us of all the others.
    if (!joined_ || living_ == 1) sync_with_ = record.name;
    joined_ = true;
    return;
  }
  Member& member = it->second;
  member.heard = now;
  if (record.boot < member.record.boot) {
    ++counts_.stale;
    return;
  }
  State was = member.record.state;
  if (record.boot > member.record.boot) {
    bool away = !Living(was);
    member.record = record;
    member.record.accuser.clear();
    member.record.state = was;  // SetState counts by what it was
    member.top = 0;
    member.seen.reset();
    SetState(now, member, State::kAlive, Event::kRestarted, "now at " + record.address);
    if (away) round_.push_back(record.name);
    Tell(member.record);
    return;
  }
  if (record.address != member.record.address) return;
  bool raised = record.incarnation > member.record.incarnation;
  if (raised) member.record.incarnation = record.incarnation;
  for (const Attribute& a : record.attributes) {
    auto& mine = member.record.attributes;
    auto at = std::find_if(mine.begin(), mine.end(), [&](const Attribute& b) { return b.key == a.key; });
    if (at == mine.end()) {
      mine.push_back(a);
    } else if (a.version > at->version) {
      *at = a;
    }
  }
  bool back = was == State::kDead || (was == State::kLeft && raised) ||
              (was == State::kSuspect && (raised || member.leaving));
  if (!back) return;
  if (was == State::kDead) {
    ++counts_.false_deaths;  // or it was cut off from us: the one who reads knows which
    sync_with_ = record.name;
  }
  SetState(now, member, State::kAlive, Event::kAlive, was == State::kSuspect ? "answered" : "back");
  if (!Living(was)) round_.push_back(record.name);
  Tell(member.record);
}

void View::Suspect(Micros now, Member& member, const std::string& accuser) {
  if (member.record.state == State::kAlive) {
    member.began = now;
    member.checks = 0;
    SetState(now, member, State::kSuspect, Event::kSuspect, "by " + accuser);
    member.accusers.insert(accuser);
  } else if (member.record.state == State::kSuspect) {
    bool fresh = member.accusers.size() <= kConfirmations && member.accusers.insert(accuser).second;
    if (!fresh) return;
  } else {
    return;
  }
  Tell(Claim(member.record, State::kSuspect, accuser));
}

void View::MarkLeft(Micros now, Member& member, std::uint64_t incarnation, const char* why) {
  member.record.incarnation = std::max(member.record.incarnation, incarnation);
  SetState(now, member, State::kLeft, Event::kLeft, why);
  Tell(Claim(member.record, State::kLeft, {}));
}

void View::Outdo(std::uint64_t boot) {
  self_.boot = boot + 1;
  later_told_by_.clear();
  TellSelf();
}

void View::HearOfSelf(Micros now, const Record& r, const std::string& informer) {
  if (r.boot == self_.boot) {
    if (r.incarnation > self_.incarnation + kStep) {
      ++counts_.claims_ignored;
      return;
    }
    bool against = r.state != State::kAlive;
    if (leaving_since_ != 0) return;
    if (against && r.incarnation >= self_.incarnation) {
      if (set_.flaw_no_refute) return;
      self_.incarnation = r.incarnation + 1;
      ++counts_.refuted;
      awareness_ = std::min(awareness_ + 1, kWorst);
      TellSelf();
    } else if (r.incarnation > self_.incarnation) {
      self_.incarnation = r.incarnation;
    }
    return;
  }
  if (r.boot < self_.boot || r.boot + 1 >= kHighest) return;
  // Another has this name, with a later start. Who has only just come takes it over; who was there asks
  // whether the other really lives before it gives way. Where the other is at our own address, nobody else
  // can be there: it was ourselves, before a start that found the wall clock behind.
  if ((now < started_ + kYoung && !displaced_) || r.address == self_.address) return Outdo(r.boot);
  if (r.address.empty()) return;
  if (!Living(r.state)) {
    // It is gone, as one says. Two have to, where there are two: one alone could have us rise for ever.
    later_told_by_.insert(informer);
    if (later_told_by_.size() >= std::min<std::size_t>(2, living_)) Outdo(r.boot);
    return;
  }
  twin_address_ = r.address;
  next_twin_ = std::min(next_twin_, now);
}

// Guards against a member that has us ask after thousands who aren't there, at addresses of its choice.
bool View::MayName(Micros now, const std::string& informer) {
  auto it = members_.find(informer);
  if (it == members_.end()) return false;
  Member& by = it->second;
  by.names = std::min(kNames, by.names + static_cast<double>(now - by.names_at) * kNamesPerMicro);
  by.names_at = now;
  if (by.names < 1) {
    ++counts_.claims_ignored;
    return false;
  }
  by.names -= 1;
  return true;
}

void View::Hear(Micros now, const Record& r, const std::string& informer) {
  if (r.boot >= kHighest || r.incarnation >= kHighest) {
    ++counts_.claims_ignored;
    return;
  }
  if (r.name == self_.name) return HearOfSelf(now, r, informer);
  auto it = members_.find(r.name);
  if (it == members_.end()) {
    // Also who is dead to another: it may be the other who is cut off.
    if (r.state != State::kLeft && MayName(now, informer)) Verify(now, r);
    return;
  }
  Member& member = it->second;
  if (r.boot < member.record.boot) {
    ++counts_.stale;
    return;
  }
  if (r.boot > member.record.boot) {
    if (Living(r.state)) Verify(now, r);
    return;
  }
  bool far = r.incarnation > member.record.incarnation + kStep;
  State was = member.record.state;
  if (r.state == State::kAlive) {
    if (!Living(was) || far) {
      // The dead come back by their own word only. One that left does with a later word than its leave.
      if (far || was == State::kDead || r.incarnation > member.record.incarnation) Verify(now, member.record);
      return;
    }
    if (r.incarnation <= member.record.incarnation) return;
    member.record.incarnation = r.incarnation;
    for (const Attribute& a : r.attributes) {
      auto& mine = member.record.attributes;
      auto at = std::find_if(mine.begin(), mine.end(), [&](const Attribute& b) { return b.key == a.key; });
      if (at != mine.end()) {
        if (a.version > at->version) *at = a;
      } else if (mine.size() < kMostAttributes) {
        mine.push_back(a);
      }
    }
    if (was == State::kSuspect) SetState(now, member, State::kAlive, Event::kAlive, "refuted");
    Tell(member.record);
    return;
  }
  if (r.incarnation < member.record.incarnation) return;
  if (far) {
    ++counts_.claims_ignored;
    return;
  }
  if (r.state == State::kLeft) {
    if (was == State::kLeft) return;
    if (was == State::kDead) return MarkLeft(now, member, r.incarnation, "left, as others know");
    if (member.leaving) return;
    // It may be so: asked a few times, silence confirms it.
    if (was == State::kAlive) SetState(now, member, State::kSuspect, Event::kSuspect, "said to have left");
    member.began = now;
    member.checks = 0;
    member.leaving = true;
    member.record.incarnation = std::max(member.record.incarnation, r.incarnation);
    return;
  }
  const std::string& accuser = r.accuser.empty() ? informer : r.accuser;
  if (accuser == self_.name || accuser == r.name || !Living(was)) return;
  auto by = members_.find(accuser);
  if (by == members_.end() || !Living(by->second.record.state)) {
    ++counts_.accusations_ignored;
    return;
  }
  if (was == State::kAlive) {
    // Guards against one who calls everybody ill, be it a liar or cut off itself: it has a few such words,
    // gets one back when it was right, and one more from time to time.
    Member& a = by->second;
    if (a.tokens_at == 0) a.tokens_at = now;
    a.tokens = std::min(kTokens, a.tokens + static_cast<double>(now - a.tokens_at) * kTokensPerMicro);
    a.tokens_at = now;
    if (a.tokens < 1) {
      ++counts_.accusations_ignored;
      return;
    }
    a.tokens -= 1;
  }
  member.record.incarnation = std::max(member.record.incarnation, r.incarnation);
  // Some of those who hear of it look themselves, at once: who waited for its turn in the round to confirm it
  // would leave all with the longest span.
  if (was == State::kAlive && to_confirm_.size() < kMostToConfirm &&
      Chance(2.0 * kConfirmations / static_cast<double>(living_)))
    to_confirm_.push_back(r.name);
  Suspect(now, member, accuser);
}

void View::Receive(Micros now, const Message& m, std::vector<Out>* out) {
  CatchUp(now);
  ++counts_.received;
  if (!WellFormed(m) || m.from.boot >= kHighest || m.from.incarnation >= kHighest) {
    ++counts_.malformed;
    return;
  }
  if (!m.to.empty() && m.to != self_.name) {
    ++counts_.misaddressed;
    return;
  }
  // A question for an earlier start of ours is answered: the asker learns of this one.
  if (m.to_boot != 0 && m.to_boot != self_.boot && m.kind != Kind::kPing) {
    ++counts_.misaddressed;
    return;
  }
  if (m.from.name == self_.name) {
    if (m.from.boot == self_.boot || !FreshStranger(m)) return;
    auto probe = probes_.find(m.sequence & ~kRepeats);
    if (m.kind == Kind::kAck && probe != probes_.end() && probe->second.purpose == Purpose::kTwin) {
      probes_.erase(probe);
      if (m.from.boot < self_.boot) return;
      twin_heard_ = now;
      twin_address_ = m.from.address;
      twin_boot_ = m.from.boot;
      if (displaced_) return;
      displaced_ = true;
      Note(now, Event::kDisplaced, self_.name, "a later process with this name is at " + m.from.address);
      members_.clear();
      digest_ = 0;
      suspects_.clear();
      dead_.clear();
      round_.clear();
      news_.clear();
      to_tell_.clear();
      probes_.clear();
      living_ = 0;
      return;
    }
    if (now >= twin_told_ + 10'000'000 || twin_told_ == 0) {
      twin_told_ = now;
      Note(now, Event::kTwin, self_.name, "another process with this name is at " + m.from.address);
    }
    if (m.kind == Kind::kPing && m.from.boot < self_.boot) {
      Message ack;
      ack.kind = Kind::kAck;
      ack.sequence = m.sequence;
      Send(m.from.address, {}, 0, std::move(ack), out);
    }
    return;
  }
  if (displaced_) return;
  auto it = members_.find(m.from.name);
  bool known = it != members_.end() && it->second.record.boot == m.from.boot &&
               it->second.record.address == m.from.address;
  // An answer to an open question of ours is fresh whatever its number: who doesn't get the question can't
  // know it. From there on its numbers count anew; a forger's high ones can't shut a member out for good.
  auto open = m.kind == Kind::kAck ? probes_.find(m.sequence & ~kRepeats) : probes_.end();
  bool answers = known && open != probes_.end() && open->second.name == m.from.name;
  if (!(known ? Fresh(it->second, m.number) : FreshStranger(m)) && !answers) {
    ++counts_.replayed;
    return;
  }
  if (answers && m.number < it->second.top) {
    it->second.top = m.number;
    it->second.seen.reset();
  }
  if (known) {
    Member& member = it->second;
    member.heard = now;
    State was = member.record.state;
    if (m.from.state == State::kLeft) {
      if (was != State::kLeft) MarkLeft(now, member, m.from.incarnation, "by its own word");
    } else if (!Living(was)) {
      if (was == State::kDead || m.from.incarnation > member.record.incarnation) Verify(now, m.from);
    } else if (m.from.incarnation > member.record.incarnation) {
      // By its own word, though not yet by an answer to a question of ours: as hearsay.
      Hear(now, m.from, m.from.name);
    }
  } else if (m.from.state != State::kLeft) {
    if (it == members_.end() || m.from.boot > it->second.record.boot) Verify(now, m.from);
  }
  std::uint64_t teller = std::uint64_t{1} << (Mark(m.from.name, m.from.boot) % 64);
  for (const Record& record : m.updates) {
    ToldByAnother(record, teller);
    Hear(now, record, m.from.name);
  }
  it = members_.find(m.from.name);  // may have gone meanwhile
  switch (m.kind) {
    case Kind::kPing: {
      Message ack;
      ack.kind = Kind::kAck;
      ack.sequence = m.sequence;
      ack.from = self_;
      // Whom we know otherwise than it says of itself is told so.
      Record buddy;
      const Record* first = nullptr;
      if (it != members_.end()) {
        const Record& mine = it->second.record;
        if (mine.boot > m.from.boot) {
          buddy = mine;
          first = &buddy;
        } else if (mine.boot == m.from.boot && mine.state != State::kAlive && m.from.state != State::kLeft) {
          buddy = Claim(mine, mine.state, self_.name);
          first = &buddy;
        }
      }
      Attach(&ack, first);
      Send(m.from.address, m.from.name, m.from.boot, std::move(ack), out);
      return;
    }
    case Kind::kAck: {
      auto at = probes_.find(m.sequence & ~kRepeats);
      if (at == probes_.end()) return;
      Probe probe = at->second;
      // A helper's word for one that we couldn't reach ourselves.
      bool helped = !m.target.empty();
      if (helped &&
          (m.updates.empty() || m.updates[0].name != m.target || m.target != probe.name || !probe.asked))
        return;
      if (!helped && !probe.name.empty() && probe.name != m.from.name) return;
      probes_.erase(at);
      if (probe.purpose == Purpose::kRelay) {
        Message ack;
        ack.kind = Kind::kAck;
        ack.sequence = probe.for_sequence;
        ack.target = m.from.name;
        Record said = m.from;
        ack.from = self_;
        ack.updates.push_back(std::move(said));
        Send(probe.for_address, {}, 0, std::move(ack), out);
        return;
      }
      if (!helped) {
        // The repetition that is answered counts, else what a link loses would pass for its delay (Karn and
        // Partridge, 1987).
        std::size_t which =
            std::min<std::size_t>(m.sequence & kRepeats, static_cast<std::size_t>(probe.repeats));
        double took = static_cast<double>(now - probe.pinged[which]);
        rtt_ = rtt_ == 0 ? took : 0.9 * rtt_ + 0.1 * took;
        awareness_ = std::max(0, awareness_ - 1);
        if (known) Compare(now, m);
      }
      Confirm(now, helped ? m.updates[0] : m.from);
      return;
    }
    case Kind::kAskFor: {
      if (!known || m.target.empty() || m.target_address.empty() || m.target == self_.name) return;
      std::uint64_t sequence = Ask(now, Purpose::kRelay, m.target, m.target_address, 0, out);
      if (sequence == 0) return;
      probes_[sequence].for_address = m.from.address;
      probes_[sequence].for_sequence = m.sequence;
      return;
    }
    case Kind::kNack: {
      auto at = probes_.find(m.sequence);
      if (at != probes_.end()) ++at->second.nacks;
      return;
    }
    case Kind::kGossip:
    case Kind::kSyncAsk:
    case Kind::kSyncAnswer:
    case Kind::kOther:
      return;
  }
}

bool View::ReceiveAsk(Micros now, const Message& m, Message* reply, std::vector<Out>* out) {
  std::uint64_t before = counts_.replayed + counts_.malformed + counts_.misaddressed;
  Receive(now, m, out);
  if (displaced_ || m.from.name == self_.name) return false;
  if (counts_.replayed + counts_.malformed + counts_.misaddressed != before) return false;
  *reply = Whole(Kind::kSyncAnswer);
  reply->from = self_;
  reply->to = m.from.name;
  reply->to_boot = m.from.boot;
  reply->number = ++number_;
  counts_.sent_bytes += SizeOf(*reply);
  return true;
}

// ---- Time ----

void View::CatchUp(Micros now) {
  Micros gap = last_ == 0 ? 0 : now - last_;
  last_ = std::max(last_, now);
  if (gap <= set_.pause_limit) return;
  // We stood still, not the others: what waited goes on waiting as if nothing had passed.
  ++counts_.pauses;
  awareness_ = std::min(kWorst, awareness_ + 1);
  for (auto& [sequence, probe] : probes_) {
    probe.sent += gap;
    for (Micros& at : probe.pinged) at += gap;
  }
  for (const std::string& name : suspects_) {
    Member& member = members_[name];
    member.began += gap;
    member.checked += gap;
  }
  for (Micros* next : {&next_probe_, &next_gossip_, &next_sync_, &next_seed_, &next_dead_})
    *next = std::max(*next, now);
  if (gap >= 5 * set_.pause_limit) {
    Note(now, Event::kPaused, self_.name, "stood still for " + std::to_string(gap / 1000) + " ms");
  }
}

void View::Start(Micros now, std::vector<Out>* out) {
  last_ = started_ = now;
  auto some = [this](Micros span) { return static_cast<Micros>(random_(static_cast<std::uint64_t>(span))); };
  next_probe_ = now + some(set_.probe_every);
  next_gossip_ = now + some(set_.gossip_every);
  next_sync_ = now + set_.sync_every / 2 + some(set_.sync_every);
  next_dead_ = now + some(kDeadEvery);
  next_twin_ = now + kTwinEvery;
  next_seed_ = now;
  TellSelf();
  Tick(now, out);
}

void View::Tick(Micros now, std::vector<Out>* out) {
  CatchUp(now);
  if (leaving_since_ != 0) {
    RunGossip(now, out);
    return;
  }
  if (now >= next_twin_) {
    next_twin_ = now + kTwinEvery;
    if (!twin_address_.empty()) Ask(now, Purpose::kTwin, {}, twin_address_, 0, out);
    if (!displaced_) twin_address_.clear();
  }
  if (displaced_) {
    RunProbes(now, out);
    if (now < twin_heard_ + kTwinGone) return;
    // The other has gone: the name is free again.
    displaced_ = false;
    twin_address_.clear();
    joined_ = false;
    self_.boot = twin_boot_ + 1;
    self_.incarnation = 0;
    next_seed_ = now;
    TellSelf();
    Note(now, Event::kBack, self_.name, "the other process with this name is silent");
  }
  if (now >= next_seed_) RunSeeds(now, out);
  RunProbes(now, out);
  RunSuspicions(now, out);
  RunVerify(now, out);
  RunRound(now, out);
  RunDead(now, out);
  RunGossip(now, out);
  RunSync(now, out);
}

// Until somebody is known, all of them. After that now and then one that no living member has: those who
// started while they were cut off have met only one another, and a seed is where the two sides meet.
void View::RunSeeds(Micros now, std::vector<Out>* out) {
  if (!joined_ || living_ == 0) {
    next_seed_ = now + kSeedEvery;
    for (const std::string& seed : set_.seeds) Ask(now, Purpose::kSeed, {}, seed, 0, out);
    return;
  }
  next_seed_ = now + kSeedAgain;
  if (set_.seeds.empty()) return;
  const std::string& seed = set_.seeds[random_(set_.seeds.size())];
  bool known = std::any_of(members_.begin(), members_.end(), [&seed](const auto& m) {
    return m.second.record.address == seed && Living(m.second.record.state);
  });
  if (!known) Ask(now, Purpose::kSeed, {}, seed, 0, out);
}

void View::RunProbes(Micros now, std::vector<Out>* out) {
  std::vector<std::string> failed;
  std::vector<std::uint64_t> to_ask, to_repeat;
  for (auto it = probes_.begin(); it != probes_.end();) {
    Probe& probe = it->second;
    Micros age = now - probe.sent;
    if (probe.purpose == Purpose::kRelay) {
      if (age < probe.wait) {
        if (probe.repeats == 0 && age >= probe.wait / 2) to_repeat.push_back(it->first);
        ++it;
        continue;
      }
      Message nack;
      nack.kind = Kind::kNack;
      nack.sequence = probe.for_sequence;
      Send(probe.for_address, {}, 0, std::move(nack), out);
      it = probes_.erase(it);
      continue;
    }
    bool helpable = probe.purpose == Purpose::kRound || probe.purpose == Purpose::kVerify ||
                    probe.purpose == Purpose::kCheck;
    // A claim's second try is the helpers': the first mostly suffices, and claims may be many.
    if (probe.purpose == Purpose::kVerify) helpable = probe.tries == 1;
    if (age >= probe.wait && !probe.asked && helpable) to_ask.push_back(it->first);
    // Asked again while no answer comes: on a link that loses much, one datagram says little. The round's
    // question as often as answers could be here by now, so that few are suspected for the link's sake; the
    // last checks, which all put to one suspect at a time, more seldom.
    Micros every = probe.wait;
    if (probe.purpose == Purpose::kRound) every = std::max(static_cast<Micros>(2 * rtt_), probe.wait / 2);
    bool again = probe.purpose == Purpose::kRound || probe.purpose == Purpose::kCheck;
    if (again && age >= (probe.repeats + 1) * every && age < 3 * probe.wait &&
        probe.repeats + 1 < static_cast<int>(probe.pinged.size()))
      to_repeat.push_back(it->first);
    if (age < 3 * probe.wait) {
      ++it;
      continue;
    }
    auto asked = members_.find(probe.name);
    // Guards against a question from before a cut's end that runs out after it.
    bool heard = asked != members_.end() && asked->second.heard > probe.sent;
    if (probe.purpose == Purpose::kRound && !heard) {
      ++counts_.probes_failed;
      // Lifeguard: helpers that say nothing either point to ourselves.
      if (probe.helpers == 0 || probe.nacks < probe.helpers) awareness_ = std::min(kWorst, awareness_ + 1);
      failed.push_back(probe.name);
    } else if (probe.purpose == Purpose::kVerify && !heard && probe.tries < kVerifyTries) {
      Record again;
      again.name = probe.name;
      again.address = probe.address;
      again.boot = probe.boot;
      Verify(now, again, probe.tries + 1, now + (Micros{1} << probe.tries) * set_.probe_wait);
    }
    it = probes_.erase(it);
  }
  for (std::uint64_t sequence : to_repeat) {
    auto it = probes_.find(sequence);
    if (it == probes_.end()) continue;
    it->second.pinged[static_cast<std::size_t>(++it->second.repeats)] = now;
    Ping(sequence, it->second, out);
  }
  for (std::uint64_t sequence : to_ask) {
    auto it = probes_.find(sequence);
    if (it == probes_.end()) continue;
    it->second.asked = true;
    for (const Member* helper : Some(static_cast<std::size_t>(set_.indirect), it->second.name)) {
      Message ask;
      ask.kind = Kind::kAskFor;
      ask.sequence = sequence;
      ask.target = it->second.name;
      ask.target_address = it->second.address;
      Send(helper->record.address, helper->record.name, helper->record.boot, std::move(ask), out);
      ++it->second.helpers;
    }
  }
  for (const std::string& name : failed) {
    auto it = members_.find(name);
    if (it != members_.end()) Suspect(now, it->second, self_.name);
  }
}

void View::RunSuspicions(Micros now, std::vector<Out>* out) {
  std::vector<std::string> names(suspects_.begin(), suspects_.end());
  for (const std::string& name : names) {
    Member& member = members_[name];
    Micros end = member.began + SuspicionSpan(member);
    // Our own questions decide, whatever others say: a few, in the last part of the span.
    if (member.checks < kChecks && now >= end - kChecks * kCheckEvery &&
        now >= member.checked + kCheckEvery) {
      member.checked = now;
      ++member.checks;
      Ask(now, Purpose::kCheck, name, member.record.address, member.record.boot, out);
    }
    if (now < end || member.checks < kChecks || now < member.checked + kCheckEvery) continue;
    if (member.heard > member.began) {
      if (member.leaving) {
        SetState(now, member, State::kAlive, Event::kAlive, "did not leave");
      } else {
        // It speaks to us: it will refute once it hears. Until then this is no proof of death.
        member.began = now;
        member.checks = 0;
      }
      continue;
    }
    if (member.leaving) {
      MarkLeft(now, member, member.record.incarnation, "left, as others say, and is silent");
    } else {
      Bury(now, member);
    }
  }
}

void View::Bury(Micros now, Member& member) {
  ++counts_.deaths;
  for (const std::string& accuser : member.accusers) {
    auto it = members_.find(accuser);
    if (it != members_.end()) it->second.tokens = std::min(kTokens, it->second.tokens + 1);
  }
  member.retry_at = now + kDeadEvery;
  SetState(now, member, State::kDead, Event::kDead, "silent");
  Tell(Claim(member.record, State::kDead, self_.name));
  if (living_ == 0) Note(now, Event::kAlone, self_.name, "nobody else answers");
}

void View::RunRound(Micros now, std::vector<Out>* out) {
  for (const std::string& name : std::exchange(to_confirm_, {})) {
    auto it = members_.find(name);
    if (it == members_.end() || it->second.record.state != State::kSuspect) continue;
    Ask(now, Purpose::kRound, name, it->second.record.address, it->second.record.boot, out);
  }
  if (now < next_probe_) return;
  next_probe_ = now + set_.probe_every * (1 + awareness_ / 2);
  for (std::size_t i = 0; i <= round_.size(); ++i) {
    if (round_at_ >= round_.size()) {
      // A new order for each round, of those that live.
      std::erase_if(round_, [this](const std::string& name) {
        auto it = members_.find(name);
        return it == members_.end() || !Living(it->second.record.state);
      });
      std::sort(round_.begin(), round_.end());  // who came back stands there twice
      round_.erase(std::unique(round_.begin(), round_.end()), round_.end());
      std::shuffle(round_.begin(), round_.end(), random_);
      round_at_ = 0;
      if (round_.empty()) return;
    }
    const std::string name = round_[round_at_++];
    auto it = members_.find(name);
    if (it == members_.end() || !Living(it->second.record.state)) continue;
    Ask(now, Purpose::kRound, name, it->second.record.address, it->second.record.boot, out);
    return;
  }
}

void View::RunDead(Micros now, std::vector<Out>* out) {
  if (now < next_dead_) return;
  next_dead_ = now + kDeadEvery;
  std::erase_if(asked_, [now](const auto& entry) { return now > entry.second + kAskAgain; });
  if (dead_.empty() || set_.flaw_forget_dead) return;
  // From a random one on, the first whose time has come.
  auto start = dead_.begin();
  std::advance(start, static_cast<std::ptrdiff_t>(random_(dead_.size())));
  for (std::size_t i = 0; i < dead_.size(); ++i, ++start) {
    if (start == dead_.end()) start = dead_.begin();
    Member& member = members_[*start];
    if (now > member.since + set_.forget_after) {
      std::string name = *start;
      Note(now, Event::kForgotten, name, "dead for long");
      dead_.erase(start);
      members_.erase(name);
      return;
    }
    if (now < member.retry_at) continue;
    member.retry_at = now + std::clamp((now - member.since) / 10, kDeadEvery, kDeadBackOff);
    std::uint64_t sequence = Ask(now, Purpose::kVerify, member.record.name, member.record.address, 0, out);
    if (sequence != 0) {
      probes_[sequence].asked = true;  // others have been asked when it died
      probes_[sequence].tries = kVerifyTries;
    }
    return;
  }
}

void View::RunGossip(Micros now, std::vector<Out>* out) {
  if (now < next_gossip_) return;
  next_gossip_ = now + set_.gossip_every;
  if (news_.empty()) return;
  for (const Member* member : Some(static_cast<std::size_t>(set_.fanout), {})) {
    Message gossip;
    gossip.kind = Kind::kGossip;
    gossip.from = self_;
    Attach(&gossip, nullptr);
    if (gossip.updates.empty()) return;
    Send(member->record.address, member->record.name, member->record.boot, std::move(gossip), out);
  }
}

void View::RunVerify(Micros now, std::vector<Out>* out) {
  std::size_t look = std::min<std::size_t>(to_verify_.size(), 4 * kVerifyAtOnce);
  for (int sent = 0; look > 0 && sent < kVerifyAtOnce; --look) {
    Claimed claimed = std::move(to_verify_.front());
    to_verify_.pop_front();
    if (now < claimed.not_before) {
      to_verify_.push_back(std::move(claimed));
      continue;
    }
    auto it = members_.find(claimed.record.name);
    bool held = it != members_.end() && it->second.record.boot >= claimed.record.boot &&
                it->second.record.state == State::kAlive &&
                it->second.record.incarnation >= claimed.record.incarnation;
    if (held) continue;  // known meanwhile
    std::uint64_t sequence = Ask(now, Purpose::kVerify, claimed.record.name, claimed.record.address, 0, out);
    if (sequence != 0) {
      probes_[sequence].tries = claimed.tries;
      probes_[sequence].boot = claimed.record.boot;
    }
    ++sent;
  }
}

void View::RunSync(Micros now, std::vector<Out>* out) {
  if (!sync_with_.empty() && now >= last_sync_ + kSyncLeast) {
    auto it = members_.find(std::exchange(sync_with_, {}));
    if (it != members_.end() && Living(it->second.record.state)) return AskSync(now, it->second, out);
  }
  if (now < next_sync_) return;
  next_sync_ = now + set_.sync_every - set_.sync_every / 8 +
               static_cast<Micros>(random_(static_cast<std::uint64_t>(set_.sync_every / 4 + 1)));
  auto some = Some(1, {});
  if (!some.empty()) AskSync(now, *some[0], out);
}

Message View::Whole(Kind kind) {
  Message whole;
  whole.kind = kind;
  for (const auto& [name, member] : members_) {
    Record record = member.record;
    if (record.state == State::kSuspect || record.state == State::kDead) record.accuser = self_.name;
    whole.updates.push_back(std::move(record));
  }
  return whole;
}

void View::AskSync(Micros now, const Member& member, std::vector<Out>* out) {
  last_sync_ = now;
  ++counts_.syncs;
  Send(member.record.address, member.record.name, member.record.boot, Whole(Kind::kSyncAsk), out);
}

void View::MakeRoom(Micros now) {
  auto oldest = members_.end();
  for (auto it = members_.begin(); it != members_.end(); ++it) {
    if (Living(it->second.record.state)) continue;
    if (oldest == members_.end() || it->second.since < oldest->second.since) oldest = it;
  }
  if (oldest == members_.end()) return;
  Note(now, Event::kForgotten, oldest->first, "no room");
  dead_.erase(oldest->first);
  members_.erase(oldest);
}

// ---- The program's own words ----

void View::Leave(Micros now, std::vector<Out>* out) {
  if (leaving_since_ != 0) return;
  leaving_since_ = now;
  ++self_.incarnation;
  self_.state = State::kLeft;
  TellSelf();
  for (const Member* member : Some(16, {})) {
    Message gossip;
    gossip.kind = Kind::kGossip;
    gossip.from = self_;
    Attach(&gossip, nullptr);
    Send(member->record.address, member->record.name, member->record.boot, std::move(gossip), out);
  }
}

bool View::Reap(Micros now, const std::string& name) {
  auto it = members_.find(name);
  if (it == members_.end() || it->second.record.state != State::kDead) return false;
  MarkLeft(now, it->second, it->second.record.incarnation, "reaped by an operator");
  return true;
}

bool View::Publish(const std::string& key, const std::string& value) {
  if (key.empty() || key.size() > kLongestKey || value.size() > kLongestValue) return false;
  auto& all = self_.attributes;
  auto it = std::find_if(all.begin(), all.end(), [&](const Attribute& a) { return a.key == key; });
  if (it != all.end() && it->value == value) return true;
  if (it == all.end() && all.size() >= kMostAttributes) return false;
  if (it == all.end()) {
    all.push_back({key, 1, value});
  } else {
    it->value = value;
    ++it->version;
  }
  // A new incarnation carries it: the others take a record only if it is later than theirs.
  ++self_.incarnation;
  TellSelf();
  return true;
}

void View::Retune(const Settings& fresh) {
  Settings next = fresh;
  next.name = set_.name;
  next.address = set_.address;
  next.boot = set_.boot;
  next.zone = set_.zone;
  next.program = set_.program;
  set_ = std::move(next);
  std::erase(set_.seeds, set_.address);
}

bool View::Address(const std::string& name, Message* message, std::string* to) {
  auto it = members_.find(name);
  if (displaced_ || it == members_.end() || !Living(it->second.record.state)) return false;
  message->kind = Kind::kOther;
  message->from = self_;
  message->to = name;
  message->to_boot = it->second.record.boot;
  message->number = ++number_;
  *to = it->second.record.address;
  ++counts_.sent;
  counts_.sent_bytes += SizeOf(*message);
  return true;
}

}  // namespace dappletiller::membership
