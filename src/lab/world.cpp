#include "lab/world.hpp"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <iterator>
#include <random>
#include <utility>

namespace dappletiller::lab {

using membership::Membership;
using membership::MemberState;
using membership::Message;
using membership::Outgoing;

namespace {

void Append(std::vector<Outgoing> messages, std::vector<Outgoing>* to) {
  std::move(messages.begin(), messages.end(), std::back_inserter(*to));
}

}  // namespace

World::World(int members, std::uint64_t seed, membership::Settings base, Network network,
             membership::TestFaults faults)
    : base_(std::move(base)), faults_(faults), network_(network), random_(seed) {
  for (int i = 0; i < members; ++i) Add();
}

bool World::Chance(double p) { return p > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < p; }

Micros World::Delay() {
  return network_.delay + (network_.jitter > 0
                               ? static_cast<Micros>(random_(static_cast<std::uint64_t>(network_.jitter)))
                               : 0);
}

int World::Add() {
  int number = size();
  Node node;
  node.name = "m" + std::to_string(number);
  node.address = "10." + std::to_string(number / 62500) + "." + std::to_string(number / 250 % 250) + "." +
                 std::to_string(number % 250 + 1) + ":7946";
  node.pace = 1 + network_.drift * (std::uniform_real_distribution<double>(-1, 1)(random_));
  node.offset = static_cast<Micros>(random_(1'000'000'000));  // no two clocks agree on the time
  by_address_[node.address] = number;
  by_name_[node.name] = number;
  nodes_.push_back(std::move(node));
  return number;
}

TimePoint World::Local(const Node& node) const {
  return ToTimePoint(node.offset + static_cast<Micros>(static_cast<double>(now_) * node.pace));
}

void World::Push(Event event) {
  event.order = ++order_;
  heap_.push(std::move(event));
}

void World::Start(int member) {
  Node& node = nodes_[static_cast<std::size_t>(member)];
  if (node.view != nullptr) Crash(member);
  membership::Settings s = base_;
  s.name = node.name;
  s.address = node.address;
  s.zone = "a";
  s.program = "0.1.0";
  s.boot = ++node.boot * 1'000'000 + static_cast<std::uint64_t>(now_);
  s.seeds.clear();
  for (int i = 0; i < std::min(3, size()); ++i)
    s.seeds.push_back(nodes_[static_cast<std::size_t>(i)].address);
  node.view = std::make_unique<Membership>(std::move(s), random_(), faults_);
  ++node.life;
  node.leaving = false;
  node.paused_until = 0;
  node.changes_seen = 0;
  node.inbox.clear();
  std::vector<Outgoing> out = node.view->Start(Local(node));
  Carry(member, &out);
  Push({now_ + static_cast<Micros>(random_(static_cast<std::uint64_t>(ToMicros(Membership::kTickInterval)))),
        0, member, node.life, nullptr, -1});
}

void World::Crash(int member) {
  Node& node = nodes_[static_cast<std::size_t>(member)];
  if (node.view == nullptr) return;
  node.sent += node.view->counters().sent;
  node.bytes += node.view->counters().sent_bytes;
  node.view.reset();
  ++node.life;
}

void World::Leave(int member) {
  Node& node = nodes_[static_cast<std::size_t>(member)];
  if (node.view == nullptr) return;
  std::vector<Outgoing> out = node.view->Leave(Local(node));
  node.leaving = true;
  Carry(member, &out);
}

void World::Pause(int member, Micros span) {
  Node& node = nodes_[static_cast<std::size_t>(member)];
  node.paused_until = std::max(node.paused_until, now_ + span);
}

void World::ForgetSeeds() {
  for (Node& node : nodes_) {
    if (node.view == nullptr) continue;
    membership::Settings s = node.view->settings();
    s.seeds.clear();
    node.view->UpdateSettings(s);
  }
}

void World::Carry(int from, std::vector<Outgoing>* out) {
  for (Outgoing& one : *out) {
    auto it = by_address_.find(one.address);
    if (it == by_address_.end() || !Reaches(from, it->second)) continue;
    const Node& to = nodes_[static_cast<std::size_t>(it->second)];
    if (to.view == nullptr) continue;
    auto message = std::make_shared<const Message>(std::move(one.message));
    if (one.over_stream) {
      // A connection comes up both ways or not at all, and loses nothing.
      if (!Reaches(it->second, from)) continue;
      Push({now_ + 3 * Delay(), 0, it->second, to.life, std::move(message), from});
      continue;
    }
    int copies = Chance(network_.duplicate) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (Chance(network_.loss)) continue;
      Push({now_ + Delay(), 0, it->second, to.life, message, -1});
    }
  }
  out->clear();
}

void World::Meter(int member, const membership::Codec* codec) {
  meter_ = member;
  codec_ = codec;
  metered_ = 0;
}

namespace {

double Cpu() {
  timespec at{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
  return static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) / 1e9;
}

}  // namespace

double World::Spend(const std::string& heard) const {
  double from = Cpu();
  if (!heard.empty() && !codec_->Decode(heard)) return from;
  return from;
}

void World::Spent(double from, const std::vector<Outgoing>& out) {
  for (const Outgoing& one : out) codec_->Encode(one.message);
  metered_ += Cpu() - from;
}

void World::Deliver(const Event& event) {
  Node& node = nodes_[static_cast<std::size_t>(event.to)];
  if (node.view == nullptr || node.life != event.life) return;
  if (now_ < node.paused_until) {
    // The kernel keeps what comes, as far as its buffer goes; a tick comes when the process goes on.
    if (event.message == nullptr) {
      Push({node.paused_until, 0, event.to, event.life, nullptr, -1});
    } else if (node.inbox.size() < kInbox && event.from < 0) {
      node.inbox.push_back(event.message);
    }
    return;
  }
  std::vector<Outgoing> out;
  const bool metered = event.to == meter_;
  double from = metered ? Spend(event.message == nullptr ? "" : codec_->Encode(*event.message)) : 0;
  if (event.message == nullptr) {
    for (const auto& message : std::exchange(node.inbox, {})) {
      Append(node.view->Receive(Local(node), *message).outgoing, &out);
    }
    Append(node.view->Tick(Local(node)), &out);
    if (metered) Spent(from, out);
    Carry(event.to, &out);
    Judge(event.to);
    if (node.leaving && node.view->has_left(Local(node))) return Crash(event.to);
    Push({now_ + ToMicros(Membership::kTickInterval), 0, event.to, event.life, nullptr, -1});
    return;
  }
  if (event.from >= 0) {
    membership::StateRequestResult result = node.view->ReceiveStateRequest(Local(node), *event.message);
    Append(std::move(result.outgoing), &out);
    if (result.response) {
      const Node& asker = nodes_[static_cast<std::size_t>(event.from)];
      if (asker.view != nullptr && Reaches(event.to, event.from)) {
        Push({now_ + Delay(), 0, event.from, asker.life,
              std::make_shared<const Message>(std::move(*result.response)), -1});
      }
    }
  } else {
    out = node.view->Receive(Local(node), *event.message).outgoing;
  }
  if (metered) Spent(from, out);
  Carry(event.to, &out);
}

// Counts verdicts of death on those that run, reach the judge both ways and stand not still.
void World::Judge(int member) {
  Node& node = nodes_[static_cast<std::size_t>(member)];
  for (const membership::Event& change : node.view->events()) {
    if (change.number <= node.changes_seen) continue;
    node.changes_seen = change.number;
    if (change.kind != membership::EventKind::kDied) continue;
    int who = by_name_[change.member];
    const Node& dead = nodes_[static_cast<std::size_t>(who)];
    if (dead.view == nullptr || dead.leaving || now_ < dead.paused_until + 5'000'000) continue;
    if (Reaches(member, who) && Reaches(who, member)) ++deaths_;
  }
}

void World::Run(Micros until) {
  while (!heap_.empty() && heap_.top().at <= until) {
    Event event = heap_.top();
    heap_.pop();
    now_ = std::max(now_, event.at);
    ++events_;
    Deliver(event);
  }
  now_ = until;
}

bool World::Agree(std::string* why) const {
  // First what costs little: how many each sees living.
  auto here = static_cast<std::size_t>(std::count_if(
      nodes_.begin(), nodes_.end(), [](const Node& n) { return n.view != nullptr && !n.leaving; }));
  for (const Node& node : nodes_) {
    if (node.view == nullptr || node.leaving || node.view->living() + 1 == here) continue;
    *why = node.name + " sees " + std::to_string(node.view->living()) + " others, " +
           std::to_string(here - 1) + " run";
    return false;
  }
  for (int a = 0; a < size(); ++a) {
    const Node& node = nodes_[static_cast<std::size_t>(a)];
    if (node.view == nullptr || node.leaving) continue;
    for (int b = 0; b < size(); ++b) {
      if (a == b) continue;
      const Node& other = nodes_[static_cast<std::size_t>(b)];
      auto it = node.view->members().find(other.name);
      bool known = it != node.view->members().end();
      bool alive = known && it->second.record.state == MemberState::kAlive &&
                   it->second.record.boot == (other.view ? other.view->self().boot : 0);
      bool runs = other.view != nullptr && !other.leaving;
      bool gone = !known || it->second.record.state == MemberState::kDead ||
                  it->second.record.state == MemberState::kLeft;
      if (runs ? alive : gone) continue;
      *why = node.name + " sees " + other.name + " as " +
             (known ? std::string(membership::ToString(it->second.record.state)) : "absent") + ", which " +
             (runs ? "runs" : "does not run");
      return false;
    }
  }
  return true;
}

int World::Seen(int member, MemberState state) const {
  int n = 0;
  for (int a = 0; a < size(); ++a) {
    const Node& node = nodes_[static_cast<std::size_t>(a)];
    if (a == member || node.view == nullptr) continue;
    auto it = node.view->members().find(Name(member));
    n += (it == node.view->members().end() ? MemberState::kLeft : it->second.record.state) == state;
  }
  return n;
}

int World::Running() const {
  return static_cast<int>(
      std::count_if(nodes_.begin(), nodes_.end(), [](const Node& n) { return n.view != nullptr; }));
}

std::uint64_t World::sent() const {
  std::uint64_t all = 0;
  for (const Node& node : nodes_) all += node.sent + (node.view != nullptr ? node.view->counters().sent : 0);
  return all;
}

std::uint64_t World::sent_bytes() const {
  std::uint64_t all = 0;
  for (const Node& node : nodes_)
    all += node.bytes + (node.view != nullptr ? node.view->counters().sent_bytes : 0);
  return all;
}

std::uint64_t World::deaths() const { return deaths_; }

namespace {

std::string Failed(const World& world, const Trial& trial, std::string wrong) {
  for (int i = 0; trial.show && i < world.size(); ++i) {
    if (!world.running(i)) continue;
    const Membership& view = world.view(i);
    std::printf("%s boot %llu incarnation %llu health %d%s\n", world.Name(i).c_str(),
                static_cast<unsigned long long>(view.self().boot),
                static_cast<unsigned long long>(view.self().incarnation), view.health_score(),
                view.displaced() ? " displaced" : "");
    for (const auto& [name, member] : view.members()) {
      std::printf("  %s %s boot %llu incarnation %llu\n", name.c_str(),
                  std::string(membership::ToString(member.record.state)).c_str(),
                  static_cast<unsigned long long>(member.record.boot),
                  static_cast<unsigned long long>(member.record.incarnation));
    }
    for (const membership::Event& change : view.events()) {
      std::printf("    %.2f %s event %d: %s\n",
                  static_cast<double>((change.at - view.events().front().at).count()) / 1e6,
                  change.member.c_str(), static_cast<int>(change.kind), change.detail.c_str());
    }
  }
  return wrong;
}

}  // namespace

std::string PlayTrial(const Trial& trial) {
  pcg64 random(trial.seed * 2 + 1);
  auto below = [&random](int n) { return static_cast<int>(random(static_cast<std::uint64_t>(n))); };
  Network network;
  network.drift = 0.01;
  World world(trial.members, trial.seed, trial.base, network, trial.planted);
  for (int i = 0; i < world.size(); ++i) world.Start(i);
  world.Run(world.now() + 5'000'000);
  if (trial.seedless) world.ForgetSeeds();
  const Micros end = world.now() + trial.faults_for;
  std::vector<int> group;
  bool one_way = false;
  while (world.now() < end) {
    int who = below(world.size());
    switch (below(12)) {
      case 0:
      case 1:
        world.Crash(who);
        break;
      case 2:
      case 3:
        if (!world.running(who)) world.Start(who);
        break;
      case 4:  // a restart within the time of a suspicion
        world.Crash(who);
        world.Run(world.now() + 300'000);
        world.Start(who);
        break;
      case 5:
        world.Pause(who, 200'000 * (1 + below(40)));
        break;
      case 6: {  // two or three groups, or one-way between the first two
        int groups = 2 + below(2);
        group.assign(static_cast<std::size_t>(world.size()) + 8, 0);
        for (int& g : group) g = below(groups);
        one_way = below(3) == 0;
        world.Reach([&group, &one_way](int a, int b) {
          int ga = group[static_cast<std::size_t>(a)], gb = group[static_cast<std::size_t>(b)];
          return ga == gb || (one_way && ga < gb);
        });
        break;
      }
      case 7:
        world.Reach(nullptr);
        break;
      case 8:
        world.network().loss = 0.1 * below(5);
        world.network().delay = 500 + 50'000 * below(5);
        world.network().duplicate = 0.1 * below(3);
        break;
      case 9:
        if (world.Running() > 2) world.Leave(who);
        break;
      case 10:
        if (world.size() < trial.members + 4) world.Start(world.Add());
        break;
      case 11: {  // a bridge: who sees all, the others see their half only
        int bridge = who;
        group.assign(static_cast<std::size_t>(world.size()) + 8, 0);
        for (int& g : group) g = below(2);
        world.Reach([&group, bridge](int a, int b) {
          return a == bridge || b == bridge ||
                 group[static_cast<std::size_t>(a)] == group[static_cast<std::size_t>(b)];
        });
        break;
      }
    }
    world.Run(world.now() + 200'000 * (1 + below(20)));
  }
  world.Reach(nullptr);
  world.network().loss = 0;
  world.network().delay = 500;
  world.network().duplicate = 0;
  // A member that never met anybody needs a seed: at least one of them runs.
  if (!world.running(0) && !world.running(1) && !world.running(2)) world.Start(below(3));
  if (world.Running() < 2) world.Start(world.running(1) ? 2 : 1);
  world.Run(world.now() + 8'000'000);  // pauses still run for so long
  Micros quiet = world.now();
  std::string why;
  while (world.now() < quiet + trial.settle_within) {
    if (world.Agree(&why)) {
      why.clear();
      break;
    }
    world.Run(world.now() + 250'000);
  }
  if (!why.empty()) return Failed(world, trial, "not settled: " + why);
  // And it stays so, with bounded memory.
  world.Run(world.now() + 5'000'000);
  if (!world.Agree(&why)) return Failed(world, trial, "settled, then not: " + why);
  for (int i = 0; i < world.size(); ++i) {
    if (!world.running(i)) continue;
    if (world.view(i).pending_updates() > 0) {
      world.Run(world.now() + 30'000'000);
      if (world.view(i).pending_updates() > 0) return world.Name(i) + " still tells news long after the last";
    }
  }
  return {};
}

}  // namespace dappletiller::lab
