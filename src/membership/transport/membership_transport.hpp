// Carries membership and quota leases over the network: datagrams, and streams for full state exchanges, on
// one port. It decides nothing. All input is bounded: datagrams per round, concurrent streams, and the bytes
// and time of each. Input that cannot be decoded is counted by reason. Owns Membership and the quota lease
// session; lives on the event loop; nothing throws after Start.
#ifndef DAPPLETILLER_MEMBERSHIP_TRANSPORT_MEMBERSHIP_TRANSPORT_HPP_
#define DAPPLETILLER_MEMBERSHIP_TRANSPORT_MEMBERSHIP_TRANSPORT_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/operator_file.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"
#include "membership/codec.hpp"
#include "membership/membership.hpp"
#include "membership/transport/quota_lease_session.hpp"
#include "membership/transport/state_exchange_stream.hpp"

namespace dappletiller {

class MembershipTransport final : private EventHandler, private StateExchangeStream::Owner {
 public:
  static constexpr int kMaxDatagramsPerRound = 64;
  static constexpr std::size_t kMaxStreams = 16;

  // Counted since startup.
  struct Traffic {
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t datagrams_in = 0;
    std::uint64_t datagrams_out = 0;
  };
  using DecodeErrors = std::map<membership::DecodeError, std::uint64_t>;

  // Binds immediately, since the advertised address must be known before anything is sent. Throws
  // std::system_error. `name` and `zone` are defaults for the options.
  MembershipTransport(EventLoop& loop, Log& log, operators::FleetOptions options, const std::string& name,
                      const std::string& zone, QuotaShareObserver& observer);
  ~MembershipTransport();

  void Start();  // throws std::system_error
  std::uint16_t port() const { return sockets_.port; }
  // Releases leases and announces that this process leaves the fleet.
  void Leave();
  bool has_left() const { return membership_.has_left(Now()); }
  // Applies new intervals, seeds, keys and addresses. False if another option differs, which needs a restart.
  bool Reload(operators::FleetOptions options);
  bool ForceRemove(const std::string& name) { return membership_.ForceRemove(Now(), name); }
  // The state as JSON for the console, with events numbered above `after`.
  std::string StatusJson(std::uint64_t after) const;

  const membership::Membership& membership() const { return membership_; }
  const Traffic& traffic() const { return traffic_; }

 private:
  // The listener for streams.
  struct Listener final : EventHandler {
    explicit Listener(MembershipTransport& owner) : transport(owner) {}
    void OnReady(std::uint32_t) override { transport.AcceptStreams(); }
    MembershipTransport& transport;
  };

  // Datagrams and streams, bound to one port.
  struct Sockets {
    std::uint16_t port = 0;
    FileDescriptor listener;
    FileDescriptor datagrams;
  };

  static Sockets Bind(const Endpoint& where);
  TimePoint Now() const { return ToTimePoint(loop_.Now()); }
  void Tick();
  void OnReady(std::uint32_t events) override;
  bool ReceiveDatagram();
  void Receive(const membership::Message& message);
  bool IsFromKnownMember(const membership::Message& message) const;
  void AcceptStreams();
  std::optional<membership::Message> DecodeFrame(std::string_view frame);
  std::optional<std::string> OnRequest(std::string_view frame) override;
  void OnResponse(std::string_view frame) override;
  void OnBytesReceived(std::size_t count) override { traffic_.bytes_in += count; }
  void OnFinished(StateExchangeStream& stream) override;
  std::unique_ptr<StateExchangeStream> MakeStream();

  void Queue(std::vector<membership::Outgoing> messages);
  void SendQueued();
  void Send(const membership::Outgoing& message);
  void SendDatagram(const Endpoint& where, const std::string& bytes);
  void SendOverStream(const Endpoint& where, const std::string& bytes);
  Endpoint Resolve(const std::string& advertised) const;
  void LogEvents();

  EventLoop& loop_;
  Log& log_;
  Sockets sockets_;
  operators::FleetOptions options_;
  membership::Codec codec_;
  membership::Membership membership_;
  std::optional<QuotaLeaseSession> quota_leases_;
  std::vector<membership::Outgoing> queued_;
  EventLoop::WatchId datagram_watch_ = 0;
  EventLoop::WatchId listener_watch_ = 0;
  Listener listener_{*this};
  Timer tick_;
  Timer accept_retry_;
  std::vector<std::unique_ptr<StateExchangeStream>> streams_;  // oldest first
  DecodeErrors decode_errors_;
  std::uint64_t last_logged_event_ = 0;
  Traffic traffic_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_MEMBERSHIP_TRANSPORT_MEMBERSHIP_TRANSPORT_HPP_
