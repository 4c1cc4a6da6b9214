#include "membership/transport/membership_transport.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <iterator>
#include <random>
#include <system_error>
#include <utility>

#include "io/transient_error.hpp"
#include "membership/transport/status_json.hpp"

namespace dappletiller {
namespace {

constexpr Micros kAcceptRetryDelay = 50'000;  // while the machine has no descriptor or memory

using membership::EventKind;
using membership::Message;
using membership::MessageKind;
using membership::MessageVerdict;
using membership::Outgoing;

constexpr int kMaxBindAttempts = 32;
constexpr int kListenBacklog = 64;
constexpr std::size_t kMaxDatagramSize = 2048;
constexpr const char* kPurpose = "fleet";
constexpr const char* kProgramVersion = "0.1.0";

std::uint64_t NewBootNumber() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

membership::Settings MakeSettings(const operators::FleetOptions& options, const std::string& name,
                                  const std::string& zone) {
  membership::Settings settings = options.membership;
  settings.name = options.self.empty() ? name : options.self;
  settings.zone = options.zone.empty() ? zone : options.zone;
  settings.address = options.advertise;
  settings.program = kProgramVersion;
  settings.boot = NewBootNumber();
  return settings;
}

operators::FleetOptions WithAdvertisedAddress(operators::FleetOptions options, std::uint16_t port) {
  if (options.advertise.empty()) options.advertise = ToString(Endpoint{options.bind.address, port});
  return options;
}

bool DeservesWarning(EventKind kind) {
  switch (kind) {
    case EventKind::kDied:
    case EventKind::kNameConflict:
    case EventKind::kDisplaced:
    case EventKind::kAlone:
    case EventKind::kPaused:
      return true;
    case EventKind::kJoined:
    case EventKind::kAlive:
    case EventKind::kSuspected:
    case EventKind::kLeft:
    case EventKind::kRestarted:
    case EventKind::kForgotten:
    case EventKind::kNameRegained:
      break;
  }
  return false;
}

}  // namespace

// With port 0 the kernel chooses a port for streams, which may be in use for datagrams: then another is
// tried.
MembershipTransport::Sockets MembershipTransport::Bind(const Endpoint& where) {
  for (int attempt = 0;; ++attempt) {
    BoundSocket streams = BindTcpListener(where, kListenBacklog, kPurpose);
    try {
      BoundSocket datagrams = BindUdpSocket({where.address, streams.port}, kPurpose);
      return {streams.port, std::move(streams.fd), std::move(datagrams.fd)};
    } catch (const std::system_error&) {
      if (where.port != 0 || attempt == kMaxBindAttempts) throw;
    }
  }
}

MembershipTransport::MembershipTransport(EventLoop& loop, Log& log, operators::FleetOptions options,
                                         const std::string& name, const std::string& zone,
                                         QuotaShareObserver& observer)
    : loop_(loop),
      log_(log),
      sockets_(Bind(options.bind)),
      options_(WithAdvertisedAddress(std::move(options), sockets_.port)),
      codec_(options_.name, options_.keys),
      membership_(MakeSettings(options_, name, zone), std::random_device()()),
      tick_(loop),
      accept_retry_(loop) {
  if (options_.lease_granters.empty()) return;
  const QuotaLeaseOptions leases{options_.lease_granters, options_.lease_duration};
  quota_leases_.emplace(log_, membership_, leases, observer, Now());
}

MembershipTransport::~MembershipTransport() {
  streams_.clear();
  if (sockets_.datagrams) loop_.Unwatch(datagram_watch_, sockets_.datagrams.get());
  if (sockets_.listener) loop_.Unwatch(listener_watch_, sockets_.listener.get());
}

void MembershipTransport::Start() {
  datagram_watch_ = loop_.Watch(sockets_.datagrams.get(), this);
  listener_watch_ = loop_.Watch(sockets_.listener.get(), &listener_);
  if (datagram_watch_ == 0 || listener_watch_ == 0) {
    throw std::system_error(errno, std::generic_category(), "fleet: epoll_ctl");
  }
  if (quota_leases_) quota_leases_->Start(Now());
  Queue(membership_.Start(Now()));
  SendQueued();
  Tick();
}

void MembershipTransport::Tick() {
  Queue(membership_.Tick(Now()));
  if (quota_leases_ && membership_.displaced()) quota_leases_->OnDisplaced(Now(), NewBootNumber());
  if (quota_leases_) Queue(quota_leases_->Run(Now()));
  SendQueued();
  tick_.Set(ToMicros(membership::Membership::kTickInterval), [this] { Tick(); });
}

// ---- Receiving ----

void MembershipTransport::OnReady(std::uint32_t) {
  for (int received = 0; received < kMaxDatagramsPerRound; ++received) {
    if (!ReceiveDatagram()) {
      SendQueued();
      return;
    }
  }
  SendQueued();
  // Under a flood of datagrams, other events are processed between rounds.
  loop_.NotifyAgain(datagram_watch_, 0);
}

// False: no datagram is available.
bool MembershipTransport::ReceiveDatagram() {
  std::array<char, kMaxDatagramSize> bytes;
  const ssize_t size = ::recv(sockets_.datagrams.get(), bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (size < 0) return errno == EINTR || errno == ECONNREFUSED;
  traffic_.bytes_in += static_cast<std::uint64_t>(size);
  ++traffic_.datagrams_in;
  const auto message = codec_.Decode({bytes.data(), static_cast<std::size_t>(size)});
  if (message) {
    Receive(*message);
  } else {
    ++decode_errors_[message.error()];
  }
  return true;
}

void MembershipTransport::Receive(const Message& message) {
  membership::ReceiveResult result = membership_.Receive(Now(), message);
  Queue(std::move(result.outgoing));
  const bool for_leases =
      result.verdict == MessageVerdict::kAccepted && message.kind == MessageKind::kApplication;
  if (!for_leases || !quota_leases_ || !IsFromKnownMember(message)) return;
  Queue(quota_leases_->OnMessage(Now(), message));
}

// Leases are exchanged only between members that know each other's current boot.
bool MembershipTransport::IsFromKnownMember(const Message& message) const {
  if (message.sender.name == membership_.settings().name) return true;
  const auto member = membership_.members().find(message.sender.name);
  return member != membership_.members().end() && member->second.record.boot == message.sender.boot;
}

std::unique_ptr<StateExchangeStream> MembershipTransport::MakeStream() {
  return std::make_unique<StateExchangeStream>(loop_, static_cast<StateExchangeStream::Owner&>(*this));
}

void MembershipTransport::AcceptStreams() {
  for (;;) {
    FileDescriptor connection(
        ::accept4(sockets_.listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!connection) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) return;
      if (ConcernsOneConnection(errno)) continue;
      accept_retry_.Set(kAcceptRetryDelay, [this] { AcceptStreams(); });
      return;
    }
    // The oldest is closed, so that silent peers cannot use up all connections.
    if (streams_.size() >= kMaxStreams) OnFinished(*streams_.front());
    streams_.push_back(MakeStream());
    StateExchangeStream& stream = *streams_.back();
    if (!stream.Adopt(connection)) OnFinished(stream);
  }
}

std::optional<Message> MembershipTransport::DecodeFrame(std::string_view frame) {
  auto message = codec_.Decode(frame);
  if (message) return std::move(*message);
  ++decode_errors_[message.error()];
  return std::nullopt;
}

std::optional<std::string> MembershipTransport::OnRequest(std::string_view frame) {
  const auto request = DecodeFrame(frame);
  if (!request || request->kind != MessageKind::kStateRequest) return std::nullopt;
  membership::StateRequestResult result = membership_.ReceiveStateRequest(Now(), *request);
  Queue(std::move(result.outgoing));
  if (!result.response) return std::nullopt;
  SendQueued();
  return codec_.Encode(*result.response);
}

void MembershipTransport::OnResponse(std::string_view frame) {
  const auto response = DecodeFrame(frame);
  if (response && response->kind == MessageKind::kStateResponse) Receive(*response);
}

void MembershipTransport::OnFinished(StateExchangeStream& stream) {
  auto it = std::find_if(streams_.begin(), streams_.end(),
                         [&stream](const auto& each) { return each.get() == &stream; });
  if (it == streams_.end()) return;
  std::unique_ptr<StateExchangeStream> owned = std::move(*it);
  streams_.erase(it);
  owned->Close();
  loop_.DeferDelete(std::move(owned));
}

// ---- Sending ----

void MembershipTransport::Queue(std::vector<Outgoing> messages) {
  std::move(messages.begin(), messages.end(), std::back_inserter(queued_));
}

void MembershipTransport::SendQueued() {
  while (!queued_.empty()) {
    for (const Outgoing& message : std::exchange(queued_, {})) Send(message);
  }
  LogEvents();
}

void MembershipTransport::Send(const Outgoing& message) {
  const Endpoint where = Resolve(message.address);
  if (where.port == 0) return;
  const std::string bytes = codec_.Encode(message.message);
  if (message.over_stream) {
    SendOverStream(where, bytes);
  } else {
    SendDatagram(where, bytes);
  }
}

void MembershipTransport::SendDatagram(const Endpoint& where, const std::string& bytes) {
  const sockaddr_in address = ToSocketAddress(where);
  const auto* generic =
      reinterpret_cast<const sockaddr*>(&address);  // NOLINT(*-reinterpret-cast): the sockets API
  // A datagram that cannot be sent now is lost, like one lost on the network: the protocol tolerates that.
  ::sendto(sockets_.datagrams.get(), bytes.data(), bytes.size(), MSG_DONTWAIT, generic, sizeof address);
  traffic_.bytes_out += bytes.size();
  ++traffic_.datagrams_out;
}

void MembershipTransport::SendOverStream(const Endpoint& where, const std::string& bytes) {
  if (streams_.size() >= kMaxStreams) return;
  traffic_.bytes_out += bytes.size();
  auto stream = MakeStream();
  if (stream->Connect(where, bytes)) streams_.push_back(std::move(stream));
}

// The address to use for an advertised address; port 0 if it is malformed.
Endpoint MembershipTransport::Resolve(const std::string& advertised) const {
  const auto known = options_.addresses.find(advertised);
  if (known != options_.addresses.end()) return known->second;
  return ParseEndpoint(advertised).value_or(Endpoint{});
}

void MembershipTransport::LogEvents() {
  for (const membership::Event& event : membership_.events()) {
    if (event.number <= last_logged_event_) continue;
    last_logged_event_ = event.number;
    const std::string what(membership::Describe(event.kind));
    log_.Write(DeservesWarning(event.kind) ? Log::Level::kWarn : Log::Level::kInfo, "fleet: %s %s: %s",
               event.member.c_str(), what.c_str(), event.detail.c_str());
  }
}

// ---- Operator commands ----

void MembershipTransport::Leave() {
  if (membership_.is_leaving()) return;
  if (quota_leases_) Queue(quota_leases_->Release(Now()));
  Queue(membership_.Leave(Now()));
  log_.Info("fleet: leaving, %zu others are notified", membership_.living());
  SendQueued();
}

bool MembershipTransport::Reload(operators::FleetOptions options) {
  if (options.advertise.empty()) options.advertise = options_.advertise;
  const bool complete = options.name == options_.name && options.self == options_.self &&
                        options.bind == options_.bind && options.advertise == options_.advertise &&
                        options.lease_granters == options_.lease_granters &&
                        options.lease_duration == options_.lease_duration;
  membership_.UpdateSettings(options.membership);
  codec_.SetKeys(options.keys);
  options_.membership = options.membership;
  options_.keys = options.keys;
  options_.key_file = options.key_file;
  options_.addresses = options.addresses;
  return complete;
}

std::string MembershipTransport::StatusJson(std::uint64_t after) const {
  MembershipStatus status{membership_, options_.name, traffic_, decode_errors_,
                          quota_leases_ ? &*quota_leases_ : nullptr};
  return WriteStatusJson(Now(), after, status);
}

}  // namespace dappletiller
