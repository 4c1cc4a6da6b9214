// Messages between members, compared with those of an earlier build: datagrams of each kind with a fixed key,
// lease messages, and a hash of all messages of simulated fleets for each seed.
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "golden.hpp"
#include "membership/codec.hpp"
#include "membership/membership.hpp"
#include "quota_lease/messages.hpp"

namespace dappletiller::membership {
namespace {

using testing::Golden;
using testing::Hex;

Key FixedKey() {
  Key key{};
  for (std::size_t i = 0; i < key.size(); ++i) key[i] = static_cast<unsigned char>(7 * i + 1);
  return key;
}

MemberRecord FixedRecord(const std::string& name, MemberState state) {
  MemberRecord record;
  record.name = name;
  record.boot = 1'700'000'000'123'456;
  record.incarnation = 3;
  record.state = state;
  record.address = "127.0.0.9:7946";
  record.zone = "zone-b";
  record.program = "0.1.0";
  record.attributes.push_back({"serial", 4, "12"});
  return record;
}

Message FixedMessage(MessageKind kind) {
  Message message;
  message.kind = kind;
  message.sender = FixedRecord("member-1", MemberState::kAlive);
  message.recipient = "member-2";
  message.recipient_boot = 1'700'000'000'654'321;
  message.number = 77;
  message.sequence = 0x0123456789abcdef;
  message.digest = 0xfedcba9876543210;
  message.target = "member-3";
  message.target_address = "127.0.0.8:7946";
  message.updates.push_back(FixedRecord("member-3", MemberState::kAlive));
  message.updates.push_back(FixedRecord("member-4", MemberState::kLeft));
  MemberRecord suspect = FixedRecord("member-5", MemberState::kSuspect);
  suspect.accuser = "member-1";
  message.updates.push_back(suspect);
  suspect.state = MemberState::kDead;
  message.updates.push_back(suspect);
  message.topic = "topic";
  message.body = std::string("body\0\xff", 6);
  return message;
}

constexpr std::array kAllKinds = {
    MessageKind::kPing,   MessageKind::kAck,          MessageKind::kPingRequest,   MessageKind::kNack,
    MessageKind::kGossip, MessageKind::kStateRequest, MessageKind::kStateResponse, MessageKind::kApplication};

TEST_CASE("a datagram of each kind is written byte for byte as before, and the recorded one can be read") {
  Codec codec("golden", {FixedKey()});
  std::string all;
  for (MessageKind kind : kAllKinds) {
    std::string bytes = codec.Encode(FixedMessage(kind));
    all += std::to_string(static_cast<int>(kind)) + " " + Hex(bytes) + "\n";
    auto read = codec.Decode(bytes);
    REQUIRE(read.ok());
    CHECK(read->sender == FixedMessage(kind).sender);
    CHECK(read->updates == FixedMessage(kind).updates);
  }
  CHECK(Golden("datagrams.txt", all) == all);
}

TEST_CASE("lease messages are written byte for byte as before") {
  quota_lease::LeaseRequest ask{0x1122334455667788, 9, 7, false, 3};
  quota_lease::LeaseRequest release{0x1122334455667788, 10, 9, true, 3};
  quota_lease::LeaseResponse answer{0x1122334455667788, 9, 333'333};
  std::string all = Hex(quota_lease::Encode(ask)) + "\n" + Hex(quota_lease::Encode(release)) + "\n" +
                    Hex(quota_lease::Encode(answer)) + "\n";
  CHECK(Golden("leases.txt", all) == all);
}

// ---- A small fleet in simulated time with its own network, so that all messages can be hashed ----

constexpr Duration kTraceTick = Membership::kTickInterval;

class TracedFleet {
 public:
  explicit TracedFleet(std::uint64_t seed, int members) : random_(seed), codec_("golden", {FixedKey()}) {
    for (int i = 0; i < members; ++i) nodes_.push_back(std::make_unique<Node>());
    for (int i = 0; i < members; ++i) Start(i);
  }

  void Run(int ticks) {
    for (int tick = 0; tick < ticks; ++tick) {
      now_ += kTraceTick;
      Disturb();
      std::vector<Sent> arriving = std::exchange(flying_, {});
      for (Sent& sent : arriving) Deliver(sent);
      for (int i = 0; i < Size(); ++i) TickOne(i);
    }
  }

  std::string Summary() const {
    return std::to_string(messages_) + " messages, " + std::to_string(events_) + " events, hash " +
           std::to_string(hash_) + "\n";
  }

 private:
  struct Node {
    std::unique_ptr<Membership> view;
    std::uint64_t starts = 0;
    std::uint64_t seen = 0;
    TimePoint paused_until;
    int side = 0;
  };
  struct Sent {
    int from = 0;
    int to = 0;
    Message message;
    bool stream = false;
  };

  int Size() const { return static_cast<int>(nodes_.size()); }
  Node& At(int i) { return *nodes_[static_cast<std::size_t>(i)]; }
  int Below(int n) { return static_cast<int>(random_(static_cast<std::uint64_t>(n))); }
  static std::string AddressOf(int i) { return "127.0.1." + std::to_string(i + 1) + ":7946"; }

  void Start(int i) {
    Node& node = At(i);
    Settings settings;
    // Two members share a name, so that the trace includes a name conflict.
    settings.name = "m" + std::to_string(i == 7 ? 6 : i);
    settings.address = AddressOf(i);
    settings.zone = "z" + std::to_string(i % 3);
    settings.program = "0.1.0";
    settings.boot = ++node.starts * 1000 + static_cast<std::uint64_t>(i);
    settings.seeds = {AddressOf(0), AddressOf(1), AddressOf(2)};
    node.view = std::make_unique<Membership>(settings, random_());
    node.seen = 0;
    Send(i, node.view->Start(now_));
  }

  void Disturb() {
    if (Below(20) != 0) return;
    int i = Below(Size());
    Node& node = At(i);
    std::vector<Outgoing> out;
    switch (Below(8)) {
      case 0:
        if (node.view == nullptr) {
          Start(i);
        } else {
          node.view.reset();
        }
        break;
      case 1:
        node.paused_until = now_ + (1 + Below(60)) * std::chrono::milliseconds(100);
        break;
      case 2:
        for (auto& each : nodes_) each->side = Below(2);
        break;
      case 3:
        for (auto& each : nodes_) each->side = 0;
        break;
      case 4:
        loss_ = Below(4);
        break;
      case 5:
        if (node.view) node.view->Publish("key", std::to_string(Below(1000)));
        break;
      case 6:
        if (node.view && Below(4) == 0) out = node.view->Leave(now_);
        break;
      case 7:
        if (node.view) Force(&node);
        break;
    }
    Send(i, std::move(out));
  }

  // A forced removal of a dead member, if there is one; an application message; changed intervals.
  void Force(Node* node) {
    std::string dead;
    std::string living;
    for (const auto& [name, member] : node->view->members()) {
      (member.record.state == MemberState::kDead ? dead : living) = name;
    }
    if (!dead.empty()) node->view->ForceRemove(now_, dead);
    if (const auto sent = node->view->MakeApplicationMessage(living, "topic", "body")) {
      Mix(sent->address + Hex(codec_.Encode(sent->message)));
    }
    Settings settings = node->view->settings();
    settings.gossip_fanout = 2 + Below(3);
    node->view->UpdateSettings(settings);
  }

  void TickOne(int i) {
    Node& node = At(i);
    if (node.view == nullptr || now_ < node.paused_until) return;
    Send(i, node.view->Tick(now_));
    for (const Event& event : node.view->events()) {
      if (event.number <= node.seen) continue;
      node.seen = event.number;
      ++events_;
      Mix(std::to_string(static_cast<int>(event.kind)) + event.member + event.detail);
    }
    if (node.view->has_left(now_)) node.view.reset();
  }

  void Deliver(Sent& sent) {
    Node& node = At(sent.to);
    if (node.view == nullptr || now_ < node.paused_until) return;
    if (!sent.stream) {
      Send(sent.to, node.view->Receive(now_, sent.message).outgoing);
      return;
    }
    StateRequestResult result = node.view->ReceiveStateRequest(now_, sent.message);
    if (result.response) {
      Mix(Hex(codec_.Encode(*result.response)));
      flying_.push_back({sent.to, sent.from, std::move(*result.response), false});
    }
    Send(sent.to, std::move(result.outgoing));
  }

  void Send(int from, const std::vector<Outgoing>& out) {
    for (const Outgoing& one : out) {
      ++messages_;
      Mix(one.address + Hex(codec_.Encode(one.message)));
      for (int to = 0; to < Size(); ++to) {
        if (AddressOf(to) != one.address || At(to).side != At(from).side) continue;
        if (!one.over_stream && Below(10) < loss_) continue;
        int copies = Below(30) == 0 ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) flying_.push_back({from, to, one.message, one.over_stream});
      }
    }
  }

  // FNV-1a.
  void Mix(std::string_view bytes) {
    for (char c : bytes) hash_ = (hash_ ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  }

  pcg64 random_;
  Codec codec_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Sent> flying_;
  TimePoint now_{std::chrono::seconds(1)};
  int loss_ = 0;
  std::uint64_t hash_ = 0xcbf29ce484222325ULL;
  std::uint64_t messages_ = 0;
  std::uint64_t events_ = 0;
};

TEST_CASE("every message and event of fleets under random faults is as before, seed by seed") {
  std::string all;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    TracedFleet fleet(seed, seed % 3 == 0 ? 20 : 9);
    fleet.Run(2'400);
    all += "seed " + std::to_string(seed) + ": " + fleet.Summary();
  }
  CHECK(Golden("membership_trace.txt", all) == all);
}

}  // namespace
}  // namespace dappletiller::membership
