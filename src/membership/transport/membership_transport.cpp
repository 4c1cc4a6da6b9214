#include "membership/transport/membership_transport.hpp"

#include <arpa/inet.h>
#include <json/json.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <random>
#include <system_error>
#include <utility>

namespace dappletiller {
namespace {

using membership::Event;
using membership::State;

constexpr int kPairTries = 32;
constexpr std::size_t kLength = 4;
constexpr const char* kAskTopic = "loan-ask";
constexpr const char* kAnswerTopic = "loan-answer";

std::uint64_t BootNumber() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

membership::Settings Filled(const operators::FleetOptions& options, const std::string& self,
                            const std::string& zone) {
  membership::Settings s = options.view;
  s.name = options.self.empty() ? self : options.self;
  s.zone = options.zone.empty() ? zone : options.zone;
  s.address = options.advertise;
  s.program = "0.1.0";
  s.boot = BootNumber();
  return s;
}

// Datagrams and streams on one port. With port 0 the kernel chooses for streams, and the same may be taken
// for datagrams: then another is tried.
FileDescriptor BothOn(const Endpoint& where, std::uint16_t* port, FileDescriptor* listener) {
  for (int i = 0;; ++i) {
    BoundSocket bound = BindTcpListener(where, 64, "fleet");
    *listener = std::move(bound.fd);
    *port = bound.port;
    try {
      return BindUdpSocket({where.address, *port}, "fleet").fd;
    } catch (const std::system_error&) {
      if (where.port != 0 || i == kPairTries) throw;
    }
  }
}

operators::FleetOptions Advertised(operators::FleetOptions options, std::uint16_t port) {
  if (options.advertise.empty()) options.advertise = ToString(Endpoint{options.bind.address, port});
  return options;
}

const char* Says(Event event) {
  switch (event) {
    case Event::kJoined:
      return "joined";
    case Event::kAlive:
      return "is alive";
    case Event::kSuspect:
      return "is suspect";
    case Event::kDead:
      return "is dead";
    case Event::kLeft:
      return "left";
    case Event::kRestarted:
      return "restarted";
    case Event::kForgotten:
      return "is forgotten";
    case Event::kTwin:
      return "is not alone with its name";
    case Event::kDisplaced:
      return "gives its name up";
    case Event::kBack:
      return "takes its name back";
    case Event::kPaused:
      return "woke";
    case Event::kAlone:
      break;
  }
  return "is alone";
}

}  // namespace

// One exchange of whole views, on either side: a frame each way, each with its length in front.
class Peers::Stream final : public StreamSocket::Callbacks {
 public:
  Stream(Peers& peers, std::uint64_t id, bool asking)
      : socket(peers.loop_, *this), peers_(peers), id_(id), asking_(asking), timer_(peers.loop_) {
    timer_.Set(kStreamTime, [this] { peers_.Drop(id_); });
  }
  void Say(const std::string& frame) {
    auto size = static_cast<std::uint32_t>(frame.size());
    std::string whole;
    for (std::size_t i = 0; i < kLength; ++i) whole.push_back(static_cast<char>(size >> (8 * i)));
    socket.output().AppendOwned(whole + frame);
    said_ = true;
  }
  std::span<char> ReceiveBuffer() override { return room_; }
  void OnReceived(std::size_t n) override {
    text_.append(room_.data(), n);
    peers_.bytes_in_ += n;
    if (text_.size() < kLength) return;
    std::uint32_t size = 0;
    for (std::size_t i = 0; i < kLength; ++i) {
      size |= static_cast<std::uint32_t>(static_cast<unsigned char>(text_[i])) << (8 * i);
    }
    if (size > kStreamBytes || text_.size() > kLength + size) return peers_.Drop(id_);
    if (text_.size() < kLength + size) return;
    membership::Refusal why;
    auto message = peers_.codec_.Decode(std::string_view(text_).substr(kLength), &why);
    if (!message) {
      peers_.Refused(why);
      return peers_.Drop(id_);
    }
    text_.clear();
    if (asking_) {
      if (message->kind == membership::Kind::kSyncAnswer) peers_.Got(*message);
      return peers_.Drop(id_);
    }
    membership::Message reply;
    if (said_ || message->kind != membership::Kind::kSyncAsk ||
        !peers_.view_.ReceiveAsk(peers_.loop_.Now(), *message, &reply, &peers_.out_)) {
      return peers_.Drop(id_);
    }
    Say(peers_.codec_.Encode(reply));
    socket.Flush();
    peers_.Carry();
  }
  // The asker closes once it has its answer.
  void OnClosed(StreamEnd) override { peers_.Drop(id_); }
  StreamSocket socket;

 private:
  Peers& peers_;
  std::uint64_t id_;
  bool asking_;
  bool said_ = false;
  Timer timer_;
  std::array<char, 16384> room_;
  std::string text_;
};

Peers::Peers(EventLoop& loop, Log& log, operators::FleetOptions options, const std::string& self,
             const std::string& zone, PartSink& sink)
    : loop_(loop),
      log_(log),
      datagrams_(BothOn(options.bind, &port_, &listener_)),
      options_(Advertised(std::move(options), port_)),
      sink_(sink),
      codec_(options_.name, options_.keys),
      view_(Filled(options_, self, zone), std::random_device()()),
      tick_(loop) {
  const std::string& name = view_.settings().name;
  if (options_.keepers.empty()) return;
  holder_.emplace(view_.settings().boot, options_.keepers, options_.lease);
  if (std::find(options_.keepers.begin(), options_.keepers.end(), name) != options_.keepers.end()) {
    keeper_.emplace(static_cast<std::uint32_t>(options_.keepers.size()), options_.lease, loop_.Now());
  }
}

Peers::~Peers() {
  streams_.clear();
  if (datagrams_) loop_.Unwatch(datagrams_token_, datagrams_.get());
  if (listener_) loop_.Unwatch(listener_token_, listener_.get());
}

void Peers::Start() {
  datagrams_token_ = loop_.Watch(datagrams_.get(), this);
  listener_token_ = loop_.Watch(listener_.get(), &listening_);
  if (datagrams_token_ == 0 || listener_token_ == 0) {
    throw std::system_error(errno, std::generic_category(), "fleet: epoll_ctl");
  }
  if (holder_) TellPart();
  view_.Start(loop_.Now(), &out_);
  Carry();
  Tick();
}

Endpoint Peers::Dial(const std::string& advertised) const {
  auto it = options_.addresses.find(advertised);
  if (it != options_.addresses.end()) return it->second;
  return ParseEndpoint(advertised).value_or(Endpoint{});
}

void Peers::Refused(membership::Refusal why) { ++refused_[why]; }

void Peers::OnReady(std::uint32_t) {
  std::array<char, 2048> bytes;
  for (int i = 0; i < kDatagramsARound; ++i) {
    ssize_t n = ::recv(datagrams_.get(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (n < 0) {
      if (errno == EINTR || errno == ECONNREFUSED) continue;
      Carry();
      return;
    }
    bytes_in_ += static_cast<std::uint64_t>(n);
    ++datagrams_in_;
    membership::Refusal why;
    auto message = codec_.Decode({bytes.data(), static_cast<std::size_t>(n)}, &why);
    if (message) {
      Got(*message);
    } else {
      Refused(why);
    }
  }
  Carry();
  // A flood has the others wait for a round, not for good.
  loop_.NotifyAgain(datagrams_token_, 0);
}

void Peers::Got(const membership::Message& message) {
  Micros now = loop_.Now();
  std::uint64_t before = view_.counts().replayed + view_.counts().misaddressed + view_.counts().malformed;
  view_.Receive(now, message, &out_);
  if (message.kind != membership::Kind::kOther) return;
  if (view_.counts().replayed + view_.counts().misaddressed + view_.counts().malformed != before) return;
  // Loans are between members only, and between the starts of them that both know.
  auto it = view_.members().find(message.from.name);
  bool self = message.from.name == view_.settings().name;
  if (!self && (it == view_.members().end() || it->second.record.boot != message.from.boot)) return;
  if (message.topic == kAskTopic && keeper_) {
    auto ask = limits::DecodeAsk(message.body);
    if (!ask) return;
    auto answer = keeper_->Ask(now, message.from.name, *ask);
    if (!answer) return;
    membership::Message reply;
    reply.topic = kAnswerTopic;
    reply.body = limits::Encode(*answer);
    std::string to;
    if (view_.Address(message.from.name, &reply, &to)) out_.push_back({to, std::move(reply), false});
  } else if (message.topic == kAnswerTopic && holder_) {
    if (auto answer = limits::DecodeAnswer(message.body)) holder_->Answer(message.from.name, *answer);
    TellPart();
  }
}

void Peers::Loans() {
  if (!holder_ || view_.leaving() || view_.displaced()) return;
  Micros now = loop_.Now();
  if (now >= next_loan_) {
    // Three tries within a lease; soon while nothing is lent.
    next_loan_ = now + (holder_->Part(now) > 0 ? options_.lease / 3 : options_.lease / 6);
    for (const std::string& keeper : holder_->keepers()) {
      limits::LoanAsk ask = holder_->Ask(now, keeper);
      if (keeper == view_.settings().name) {
        auto answer = keeper_->Ask(now, keeper, ask);
        if (answer) holder_->Answer(keeper, *answer);
        continue;
      }
      membership::Message message;
      message.topic = kAskTopic;
      message.body = limits::Encode(ask);
      std::string to;
      if (view_.Address(keeper, &message, &to)) out_.push_back({to, std::move(message), false});
    }
  }
  TellPart();
}

void Peers::TellPart() {
  Micros now = loop_.Now();
  double part = holder_->Part(now);
  Micros until = holder_->Until(now);
  if (part == part_ && until == part_until_) return;
  bool first = part_ < 0;
  bool begun = part > 0 && part_ <= 0;
  bool lost = part <= 0 && part_ > 0;
  part_ = part;
  part_until_ = until;
  granted_.push_back({now, until, part});
  if (granted_.size() > kGranted) granted_.pop_front();
  if (begun || lost || first) {
    log_.Write(lost ? Log::Level::kWarn : Log::Level::kInfo, "fleet: part of the whole: %.4f%s", part,
               part > 0 ? "" : "; cold workers get nothing from here until a keeper lends");
  }
  sink_.Grant(part, until);
}

void Peers::TellChanges() {
  for (const membership::Change& change : view_.changes()) {
    if (change.number <= told_changes_) continue;
    told_changes_ = change.number;
    bool grave = change.event == Event::kDead || change.event == Event::kTwin ||
                 change.event == Event::kDisplaced || change.event == Event::kAlone ||
                 change.event == Event::kPaused;
    log_.Write(grave ? Log::Level::kWarn : Log::Level::kInfo, "fleet: %s %s: %s", change.name.c_str(),
               Says(change.event), change.why.c_str());
  }
}

void Peers::Tick() {
  view_.Tick(loop_.Now(), &out_);
  if (view_.displaced() && holder_ && holder_->Part(loop_.Now()) > 0) {
    // Whoever has the name has its part.
    holder_.emplace(BootNumber(), options_.keepers, options_.lease);
    TellPart();
  }
  Loans();
  Carry();
  tick_.Set(membership::View::kTick, [this] { Tick(); });
}

void Peers::Carry() {
  while (!out_.empty()) {
    std::vector<membership::Out> out = std::exchange(out_, {});
    for (const membership::Out& one : out) {
      Endpoint where = Dial(one.to);
      if (where.port == 0) continue;
      std::string bytes = codec_.Encode(one.message);
      if (one.stream) {
        if (streams_.size() >= kMostStreams) continue;
        std::uint64_t id = ++ids_;
        auto stream = std::make_unique<Stream>(*this, id, true);
        stream->Say(bytes);
        bytes_out_ += bytes.size();
        if (stream->socket.Connect(where)) streams_[id] = std::move(stream);
        continue;
      }
      sockaddr_in to{};
      to.sin_family = AF_INET;
      to.sin_addr.s_addr = htonl(where.address);
      to.sin_port = htons(where.port);
      // What can't be sent now is lost, as on the way: nothing here relies on a datagram's arrival.
      ::sendto(datagrams_.get(), bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&to),
               sizeof to);
      bytes_out_ += bytes.size();
      ++datagrams_out_;
    }
  }
  TellChanges();
}

void Peers::Accept() {
  for (;;) {
    FileDescriptor fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      return;
    }
    // Guards against silent callers holding every place: the oldest goes.
    if (streams_.size() >= kMostStreams) Drop(streams_.begin()->first);
    std::uint64_t id = ++ids_;
    auto stream = std::make_unique<Stream>(*this, id, false);
    Stream& begun = *stream;
    streams_[id] = std::move(stream);
    if (!begun.socket.Adopt(std::move(fd))) Drop(id);
  }
}

void Peers::Drop(std::uint64_t id) {
  auto it = streams_.find(id);
  if (it == streams_.end()) return;
  auto owned = std::move(it->second);
  streams_.erase(it);
  owned->socket.Close();
  loop_.DeferDelete(std::move(owned));
}

void Peers::Leave() {
  if (view_.leaving()) return;
  Micros now = loop_.Now();
  if (holder_) {
    // First nothing is used any more, then it is given back.
    holder_->Stop();
    TellPart();
    for (const std::string& keeper : holder_->keepers()) {
      limits::LoanAsk ask = holder_->Ask(now, keeper, true);
      membership::Message message;
      message.topic = kAskTopic;
      message.body = limits::Encode(ask);
      std::string to;
      if (keeper != view_.settings().name && view_.Address(keeper, &message, &to)) {
        out_.push_back({to, std::move(message), false});
      } else if (keeper_) {
        keeper_->Ask(now, keeper, ask);
      }
    }
  }
  view_.Leave(now, &out_);
  log_.Info("fleet: leaving, %zu others are told", view_.living());
  Carry();
}

bool Peers::Reload(operators::FleetOptions fresh) {
  if (fresh.advertise.empty()) fresh.advertise = options_.advertise;
  bool same = fresh.name == options_.name && fresh.self == options_.self && fresh.bind == options_.bind &&
              fresh.advertise == options_.advertise && fresh.keepers == options_.keepers &&
              fresh.lease == options_.lease;
  view_.Retune(fresh.view);
  codec_.SetKeys(fresh.keys);
  options_.view = fresh.view;
  options_.keys = fresh.keys;
  options_.key_file = fresh.key_file;
  options_.addresses = fresh.addresses;
  return same;
}

std::string Peers::Json(std::uint64_t after) const {
  Micros now = loop_.Now();
  Json::Value root(Json::objectValue);
  const membership::Record& self = view_.self();
  root["fleet"] = options_.name;
  root["self"]["name"] = self.name;
  root["self"]["address"] = self.address;
  root["self"]["zone"] = self.zone;
  root["self"]["boot"] = Json::UInt64(self.boot);
  root["self"]["incarnation"] = Json::UInt64(self.incarnation);
  root["self"]["health"] = view_.health();
  root["self"]["state"] = view_.displaced() ? "displaced" : view_.leaving() ? "left" : "alive";
  root["members"] = Json::Value(Json::arrayValue);
  for (const auto& [name, member] : view_.members()) {
    Json::Value one(Json::objectValue);
    one["name"] = name;
    one["state"] = std::string(membership::Word(member.record.state));
    one["address"] = member.record.address;
    one["zone"] = member.record.zone;
    one["boot"] = Json::UInt64(member.record.boot);
    one["incarnation"] = Json::UInt64(member.record.incarnation);
    one["program"] = member.record.program;
    one["since_ms"] = Json::Int64((now - member.since) / 1000);
    one["heard_ms"] = Json::Int64((now - member.heard) / 1000);
    for (const auto& a : member.record.attributes) one["attributes"][a.key] = a.value;
    root["members"].append(std::move(one));
  }
  if (holder_) {
    root["part"]["of_whole"] = holder_->Part(now);
    root["part"]["for_ms"] = Json::Int64(std::max<Micros>(0, holder_->Until(now) - now) / 1000);
    for (const std::string& keeper : holder_->keepers())
      root["part"]["keepers"][keeper] = holder_->Lends(now, keeper);
    for (const Granted& granted : granted_) {
      Json::Value one(Json::arrayValue);
      one.append(Json::Int64(granted.at));
      one.append(Json::Int64(granted.until));
      one.append(granted.part);
      root["part"]["granted"].append(std::move(one));
    }
  }
  const membership::Counts& c = view_.counts();
  Json::Value& counts = root["counts"];
  const std::pair<const char*, std::uint64_t> each[] = {{"datagrams_in", datagrams_in_},
                                                        {"datagrams_out", datagrams_out_},
                                                        {"bytes_in", bytes_in_},
                                                        {"bytes_out", bytes_out_},
                                                        {"replayed", c.replayed},
                                                        {"misaddressed", c.misaddressed},
                                                        {"stale", c.stale},
                                                        {"accusations_ignored", c.accusations_ignored},
                                                        {"claims_ignored", c.claims_ignored},
                                                        {"full", c.full},
                                                        {"probes", c.probes},
                                                        {"probes_failed", c.probes_failed},
                                                        {"refuted", c.refuted},
                                                        {"pauses", c.pauses},
                                                        {"syncs", c.syncs},
                                                        {"deaths", c.deaths},
                                                        {"came_back", c.false_deaths},
                                                        {"malformed", c.malformed}};
  for (const auto& [name, value] : each) counts[name] = Json::UInt64(value);
  for (const auto& [why, n] : refused_)
    counts["refused"][std::string(membership::Word(why))] = Json::UInt64(n);
  root["events"] = Json::Value(Json::arrayValue);
  for (const membership::Change& change : view_.changes()) {
    if (change.number <= after) continue;
    Json::Value one(Json::objectValue);
    one["number"] = Json::UInt64(change.number);
    one["ago_ms"] = Json::Int64((now - change.at) / 1000);
    one["name"] = change.name;
    one["event"] = Says(change.event);
    one["why"] = change.why;
    root["events"].append(std::move(one));
  }
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, root);
}

}  // namespace dappletiller
