// What members say to one another: datagrams of each kind with a fixed key, lease messages, and every message
// of whole fleets in simulated time, as a hash for each seed.
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
#include "membership/view.hpp"
#include "quota_lease/parts.hpp"

namespace dappletiller::membership {
namespace {

using testing::Golden;
using testing::Hex;

Key FixedKey() {
  Key key{};
  for (std::size_t i = 0; i < key.size(); ++i) key[i] = static_cast<unsigned char>(7 * i + 1);
  return key;
}

Record FixedRecord(const std::string& name, State state) {
  Record record;
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

Message FixedMessage(Kind kind) {
  Message message;
  message.kind = kind;
  message.from = FixedRecord("member-1", State::kAlive);
  message.to = "member-2";
  message.to_boot = 1'700'000'000'654'321;
  message.number = 77;
  message.sequence = 0x0123456789abcdef;
  message.digest = 0xfedcba9876543210;
  message.target = "member-3";
  message.target_address = "127.0.0.8:7946";
  message.updates.push_back(FixedRecord("member-3", State::kAlive));
  message.updates.push_back(FixedRecord("member-4", State::kLeft));
  Record suspect = FixedRecord("member-5", State::kSuspect);
  suspect.accuser = "member-1";
  message.updates.push_back(suspect);
  suspect.state = State::kDead;
  message.updates.push_back(suspect);
  message.topic = "topic";
  message.body = std::string("body\0\xff", 6);
  return message;
}

constexpr std::array kAllKinds = {Kind::kPing,   Kind::kAck,     Kind::kAskFor,     Kind::kNack,
                                  Kind::kGossip, Kind::kSyncAsk, Kind::kSyncAnswer, Kind::kOther};

TEST_CASE("a datagram of each kind is written byte for byte as before, and the recorded one is read") {
  Codec codec("golden", {FixedKey()});
  std::string all;
  for (Kind kind : kAllKinds) {
    std::string bytes = codec.Encode(FixedMessage(kind));
    all += std::to_string(static_cast<int>(kind)) + " " + Hex(bytes) + "\n";
    Refusal why;
    auto read = codec.Decode(bytes, &why);
    REQUIRE(read.has_value());
    CHECK(read->from == FixedMessage(kind).from);
    CHECK(read->updates == FixedMessage(kind).updates);
  }
  CHECK(Golden("datagrams.txt", all) == all);
}

TEST_CASE("lease messages are written byte for byte as before") {
  limits::LoanAsk ask{0x1122334455667788, 9, 7, false, 3};
  limits::LoanAsk release{0x1122334455667788, 10, 9, true, 3};
  limits::LoanAnswer answer{0x1122334455667788, 9, 333'333};
  std::string all = Hex(limits::Encode(ask)) + "\n" + Hex(limits::Encode(release)) + "\n" +
                    Hex(limits::Encode(answer)) + "\n";
  CHECK(Golden("leases.txt", all) == all);
}

// ---- A fleet in simulated time, small and with a network of its own, so that all it says can be hashed ----

constexpr Micros kTraceTick = View::kTick;

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
    std::unique_ptr<View> view;
    std::uint64_t starts = 0;
    std::uint64_t seen = 0;
    Micros paused_until = 0;
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
    // Two of them share one name, so that a name conflict is in the trace too.
    settings.name = "m" + std::to_string(i == 7 ? 6 : i);
    settings.address = AddressOf(i);
    settings.zone = "z" + std::to_string(i % 3);
    settings.program = "0.1.0";
    settings.boot = ++node.starts * 1000 + static_cast<std::uint64_t>(i);
    settings.seeds = {AddressOf(0), AddressOf(1), AddressOf(2)};
    node.view = std::make_unique<View>(settings, random_());
    node.seen = 0;
    std::vector<Out> out;
    node.view->Start(now_, &out);
    Send(i, &out);
  }

  void Disturb() {
    if (Below(20) != 0) return;
    int i = Below(Size());
    Node& node = At(i);
    std::vector<Out> out;
    switch (Below(8)) {
      case 0:
        if (node.view == nullptr) {
          Start(i);
        } else {
          node.view.reset();
        }
        break;
      case 1:
        node.paused_until = now_ + 100'000 * (1 + Below(60));
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
        if (node.view && Below(4) == 0) node.view->Leave(now_, &out);
        break;
      case 7:
        if (node.view) Force(&node);
        break;
    }
    Send(i, &out);
  }

  // An operator's word on one that is dead, if there is one; a message of another part; other intervals.
  void Force(Node* node) {
    std::string dead;
    std::string living;
    for (const auto& [name, member] : node->view->members()) {
      (member.record.state == State::kDead ? dead : living) = name;
    }
    if (!dead.empty()) node->view->Reap(now_, dead);
    Message message;
    message.topic = "topic";
    message.body = "body";
    std::string to;
    if (node->view->Address(living, &message, &to)) Mix(to + Hex(codec_.Encode(message)));
    Settings settings = node->view->settings();
    settings.fanout = 2 + Below(3);
    node->view->Retune(settings);
  }

  void TickOne(int i) {
    Node& node = At(i);
    if (node.view == nullptr || now_ < node.paused_until) return;
    std::vector<Out> out;
    node.view->Tick(now_, &out);
    Send(i, &out);
    for (const Change& change : node.view->changes()) {
      if (change.number <= node.seen) continue;
      node.seen = change.number;
      ++events_;
      Mix(std::to_string(static_cast<int>(change.event)) + change.name + change.why);
    }
    if (node.view->left(now_)) node.view.reset();
  }

  void Deliver(Sent& sent) {
    Node& node = At(sent.to);
    if (node.view == nullptr || now_ < node.paused_until) return;
    std::vector<Out> out;
    if (sent.stream) {
      Message reply;
      if (node.view->ReceiveAsk(now_, sent.message, &reply, &out)) {
        Mix(Hex(codec_.Encode(reply)));
        flying_.push_back({sent.to, sent.from, std::move(reply), false});
      }
    } else {
      node.view->Receive(now_, sent.message, &out);
    }
    Send(sent.to, &out);
  }

  void Send(int from, std::vector<Out>* out) {
    for (Out& one : *out) {
      ++messages_;
      Mix(one.to + Hex(codec_.Encode(one.message)));
      for (int to = 0; to < Size(); ++to) {
        if (AddressOf(to) != one.to || At(to).side != At(from).side) continue;
        if (!one.stream && Below(10) < loss_) continue;
        int copies = Below(30) == 0 ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) flying_.push_back({from, to, one.message, one.stream});
      }
    }
    out->clear();
  }

  // FNV-1a.
  void Mix(std::string_view bytes) {
    for (char c : bytes) hash_ = (hash_ ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  }

  pcg64 random_;
  Codec codec_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Sent> flying_;
  Micros now_ = 1'000'000;
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
