// The thin driver between the view of the fleet (src/membership), the parts of what all share (src/limits)
// and the network: datagrams, and streams for whole views, on one port. It decides nothing. All that comes
// from outside is bounded: datagrams a round, streams at a time, bytes and time of each.
//
// Owns the view, the keeper and the holder. Lives on the loop; nothing here throws after Start.
#ifndef DAPPLETILLER_MEMBERSHIP_TRANSPORT_MEMBERSHIP_TRANSPORT_HPP_
#define DAPPLETILLER_MEMBERSHIP_TRANSPORT_MEMBERSHIP_TRANSPORT_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/operator_file.hpp"
#include "dispatch/types.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"
#include "io/stream_socket.hpp"
#include "membership/codec.hpp"
#include "membership/view.hpp"
#include "quota_lease/parts.hpp"

namespace dappletiller {

// Who is told how much of the whole this process may use, and until when (on the loop's clock).
class PartSink {
 public:
  virtual void Grant(double part, Micros until) = 0;

 protected:
  ~PartSink() = default;
};

class Peers final : private EventHandler {
 public:
  static constexpr int kDatagramsARound = 64;
  static constexpr std::size_t kMostStreams = 16;
  static constexpr std::size_t kStreamBytes = 2 * 1024 * 1024;
  static constexpr Micros kStreamTime = 3'000'000;

  // `self` and `zone` where the options leave them open.
  Peers(EventLoop& loop, Log& log, operators::FleetOptions options, const std::string& self,
        const std::string& zone, PartSink& sink);
  ~Peers();
  void Start();  // throws std::system_error
  std::uint16_t port() const { return port_; }
  // Says goodbye and gives back what was lent. Ends by itself.
  void Leave();
  bool left() const { return view_.left(loop_.Now()); }
  // What may change live: intervals, seeds, keys, addresses. The rest stays; false says that some of it
  // would have changed.
  bool Reload(operators::FleetOptions options);
  bool Reap(const std::string& name) { return view_.Reap(loop_.Now(), name); }
  // The view as JSON, with the changes numbered above `after`.
  std::string Json(std::uint64_t after) const;
  const membership::View& view() const { return view_; }
  struct Traffic {  // since the start: datagrams and streams
    std::uint64_t bytes_in = 0, bytes_out = 0, datagrams_in = 0, datagrams_out = 0;
  };
  Traffic traffic() const { return {bytes_in_, bytes_out_, datagrams_in_, datagrams_out_}; }

 private:
  class Stream;
  void OnReady(std::uint32_t) override;
  void Tick();
  void Carry();  // sends what the view has put out
  void Got(const membership::Message& message);
  void Loans();
  void TellPart();
  void TellChanges();
  Endpoint Dial(const std::string& advertised) const;
  void Drop(std::uint64_t id);
  void Refused(membership::Refusal why);
  void Accept();

  struct Listening final : EventHandler {
    explicit Listening(Peers& p) : peers(p) {}
    void OnReady(std::uint32_t) override { peers.Accept(); }
    Peers& peers;
  };

  EventLoop& loop_;
  Log& log_;
  // Bound before all else: what others reach must be known before anything is said.
  std::uint16_t port_ = 0;
  FileDescriptor listener_;
  FileDescriptor datagrams_;
  operators::FleetOptions options_;
  PartSink& sink_;
  membership::Codec codec_;
  membership::View view_;
  std::optional<limits::Keeper> keeper_;
  std::optional<limits::Holder> holder_;
  std::vector<membership::Out> out_;
  EventLoop::WatchId datagrams_token_ = 0, listener_token_ = 0;
  Listening listening_{*this};
  Timer tick_;
  std::uint64_t ids_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Stream>> streams_;
  std::map<membership::Refusal, std::uint64_t> refused_;
  std::uint64_t told_changes_ = 0;
  Micros next_loan_ = 0;
  double part_ = -1;
  Micros part_until_ = 0;
  struct Granted {
    Micros at, until;
    double part;
  };
  std::deque<Granted> granted_;  // the last kGranted, for those who judge from outside
  static constexpr std::size_t kGranted = 64;
  std::uint64_t bytes_in_ = 0, bytes_out_ = 0, datagrams_in_ = 0, datagrams_out_ = 0;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_MEMBERSHIP_TRANSPORT_MEMBERSHIP_TRANSPORT_HPP_
