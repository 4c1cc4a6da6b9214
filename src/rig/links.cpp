#include "rig/links.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <system_error>

namespace dappletiller::rig {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr Micros kRetransmit =
    200'000;  // what a lost piece of a stream costs, doubled for each loss in a row
constexpr int kPairTries = 64;

}  // namespace

void LinkState::Add(const LinkState& other) {
  auto both = [](double a, double b) { return 1 - (1 - a) * (1 - b); };
  loss = both(loss, other.loss);
  reorder = both(reorder, other.reorder);
  duplicate = both(duplicate, other.duplicate);
  corrupt = both(corrupt, other.corrupt);
  delay += other.delay;
  jitter += other.jitter;
  rate = rate == 0 || other.rate == 0 ? std::max(rate, other.rate) : std::min(rate, other.rate);
  cut = cut || other.cut;
}

Micros Links::Wait(const LinkState& state) {
  Micros wait = state.delay;
  if (state.jitter > 0) wait += std::uniform_int_distribution<Micros>(0, state.jitter)(random_);
  return wait;
}

class Links::Datagrams final : private EventHandler {
 public:
  Datagrams(Links& links, Pair pair, std::uint16_t port, FileDescriptor fd)
      : links_(links), pair_(std::move(pair)), port_(port), fd_(std::move(fd)) {
    token_ = links_.loop_.Watch(fd_.get(), this);
  }
  ~Datagrams() { links_.loop_.Unwatch(token_, fd_.get()); }

 private:
  void OnReady(std::uint32_t) override {
    std::array<char, 65536> bytes;
    for (;;) {
      ssize_t n = ::recv(fd_.get(), bytes.data(), bytes.size(), MSG_DONTWAIT);
      if (n < 0) return;
      if (links_.shut_.contains(port_)) continue;
      Pass(std::string(bytes.data(), static_cast<std::size_t>(n)));
    }
  }

  void Pass(std::string bytes) {
    const LinkState& state = links_.states_[pair_];
    LinkCount& count = links_.counts_[pair_];
    ++count.datagrams;
    count.bytes += bytes.size();
    if (state.cut || links_.Chance(state.loss)) {
      ++count.dropped;
      return;
    }
    if (!bytes.empty() && links_.Chance(state.corrupt)) {
      bytes[links_.random_(static_cast<std::uint32_t>(bytes.size()))] ^=
          static_cast<char>(1 + links_.random_(255));
    }
    int copies = links_.Chance(state.duplicate) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      Micros wait = links_.Wait(state);
      if (links_.Chance(state.reorder)) wait += kReorderBy;
      Micros now = links_.loop_.Now();
      if (state.rate > 0) {
        free_at_ = std::max(free_at_, now) +
                   static_cast<Micros>(static_cast<double>(bytes.size()) / state.rate * 1e6);
        wait += free_at_ - now;
      }
      if (wait == 0) {
        Send(bytes);
        continue;
      }
      links_.loop_.ScheduleAt(now + wait, [this, bytes] {
        // A cut also swallows what is on its way.
        if (!links_.states_[pair_].cut) Send(bytes);
      });
    }
  }

  void Send(const std::string& bytes) {
    const Endpoint& real = links_.real_[pair_.second];
    if (real.port == 0) return;
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(real.address);
    to.sin_port = htons(real.port);
    ::sendto(fd_.get(), bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&to),
             sizeof to);
  }

  Links& links_;
  Pair pair_;
  std::uint16_t port_;
  FileDescriptor fd_;
  EventLoop::WatchId token_ = 0;
  Micros free_at_ = 0;
};

// One connection and its other half. Each way has its own queue and its own link state.
class Links::Stream {
 public:
  Stream(Links& links, std::uint64_t id, Pair pair)
      : links_(links),
        id_(id),
        pair_(std::move(pair)),
        there_(*this, pair_),
        back_(*this, {pair_.second, pair_.first}) {}
  ~Stream() { links_.senders_.Forget(way_, id_); }

  bool Begin(FileDescriptor fd) { return there_.socket.Adopt(fd); }

  // Goes on with whatever waited for a cut to end.
  void Wake() {
    if (!dialled_ && !links_.states_[pair_].cut) Dial();
    there_.Push();
    back_.Push();
  }

 private:
  // Reads from its own channel and writes, shaped, to the other side's.
  struct Side final : StreamSocket::Callbacks {
    Side(Stream& s, Pair p)
        : stream(s), pair(std::move(p)), socket(s.links_.loop_, *this), timer(s.links_.loop_) {}
    Side& other() { return this == &stream.there_ ? stream.back_ : stream.there_; }
    std::span<char> ReceiveBuffer() override {
      return queued < kQueue ? std::span<char>(room) : std::span<char>();
    }
    void OnReceived(std::size_t n) override {
      LinkState& state = stream.links_.states_[pair];
      stream.links_.counts_[pair].bytes += n;
      Micros now = stream.links_.loop_.Now();
      Micros wait = stream.links_.Wait(state);
      for (Micros again = kRetransmit; again < 64 * kRetransmit && stream.links_.Chance(state.loss);
           again *= 2) {
        wait += again;
      }
      if (state.rate > 0) wait += static_cast<Micros>(static_cast<double>(n) / state.rate * 1e6);
      last = std::max(last, now + wait);  // a stream keeps its order
      std::string bytes(room.data(), n);
      if (stream.links_.Chance(state.corrupt))
        bytes[stream.links_.random_(static_cast<std::uint32_t>(n))] ^= 1;
      queued += n;
      queue.emplace_back(last, std::move(bytes));
      Push();
    }
    void OnConnected() override { stream.Wake(); }
    void OnClosed(StreamEnd how) override {
      ended = true;
      broken = how == StreamEnd::kBroken;
      Push();
    }
    void Push() {
      Side& to = other();
      Micros now = stream.links_.loop_.Now();
      if (stream.links_.states_[pair].cut) return;
      bool wrote = false;
      while (!queue.empty() && queue.front().first <= now) {
        queued -= queue.front().second.size();
        if (to.socket.open()) to.socket.output().AppendOwned(std::move(queue.front().second));
        queue.pop_front();
        wrote = true;
      }
      if (wrote) {
        if (to.socket.open()) to.socket.Flush();
        socket.ResumeReading();
      }
      if (!queue.empty()) {
        timer.Set(queue.front().first - now, [this] { Push(); });
      } else if (ended && (stream.dialled_ || this == &stream.there_)) {
        // What this side said is all passed on: the other side may know that it has gone, and how.
        if (broken) to.socket.Abort();
        stream.End();
      }
    }
    Stream& stream;
    Pair pair;
    StreamSocket socket;
    Timer timer;
    std::array<char, 16384> room;
    std::deque<std::pair<Micros, std::string>> queue;
    std::size_t queued = 0;
    Micros last = 0;
    bool ended = false;
    bool broken = false;  // not by an orderly end
  };

  void Dial() {
    const Endpoint& real = links_.real_[pair_.second];
    dialled_ = true;
    if (real.port == 0 || back_.socket.Connect(real) != ConnectStart::kStarted) return End();
    way_ = {real.port, back_.socket.local_port()};
    links_.senders_.Say(way_, id_, pair_.first);
  }

  void End() {
    auto it = links_.streams_.find(id_);
    if (it == links_.streams_.end()) return;
    there_.socket.Close();
    back_.socket.Close();
    there_.timer.Clear();
    back_.timer.Clear();
    links_.loop_.DeferDelete(std::move(it->second));
    links_.streams_.erase(it);
  }

  Links& links_;
  std::uint64_t id_;
  Pair pair_;
  Side there_, back_;
  bool dialled_ = false;
  Callers::Way way_;
};

class Links::Streams final : private EventHandler {
 public:
  Streams(Links& links, Pair pair, std::uint16_t port, FileDescriptor fd)
      : links_(links), pair_(std::move(pair)), port_(port), fd_(std::move(fd)) {
    token_ = links_.loop_.Watch(fd_.get(), this);
  }
  ~Streams() { links_.loop_.Unwatch(token_, fd_.get()); }

 private:
  void OnReady(std::uint32_t) override {
    for (;;) {
      FileDescriptor fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
      if (!fd) return;
      if (links_.shut_.contains(port_)) continue;
      std::uint64_t id = ++links_.ids_;
      auto stream = std::make_unique<Stream>(links_, id, pair_);
      Stream& begun = *stream;
      links_.streams_[id] = std::move(stream);
      if (begun.Begin(std::move(fd))) {
        begun.Wake();
      } else {
        links_.streams_.erase(id);
      }
    }
  }

  Links& links_;
  Pair pair_;
  std::uint16_t port_;
  FileDescriptor fd_;
  EventLoop::WatchId token_ = 0;
};

Links::Links(EventLoop& loop, std::uint64_t seed) : loop_(loop), random_(seed) {}

Links::~Links() {
  streams_.clear();
  listeners_.clear();
  datagrams_.clear();
}

Endpoint Links::Open(const std::string& from, const std::string& to, bool datagrams) {
  // Both kinds on one port, as a peer has them: the kernel chooses for streams, and the other may be taken.
  for (int i = 0;; ++i) {
    BoundSocket bound = BindTcpListener({kLoopback, 0}, 64, "relay");
    const std::uint16_t port = bound.port;
    FileDescriptor listener = std::move(bound.fd);
    if (datagrams) {
      FileDescriptor fd;
      try {
        fd = BindUdpSocket({kLoopback, port}, "relay").fd;
      } catch (const std::system_error&) {
        if (i == kPairTries) throw;
        continue;
      }
      datagrams_.push_back(std::make_unique<Datagrams>(*this, Pair(from, to), port, std::move(fd)));
    }
    listeners_.push_back(std::make_unique<Streams>(*this, Pair(from, to), port, std::move(listener)));
    return {kLoopback, port};
  }
}

void Links::Changed() {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, stream] : streams_) ids.push_back(id);
  for (std::uint64_t id : ids) {
    auto it = streams_.find(id);
    if (it != streams_.end()) it->second->Wake();
  }
}

}  // namespace dappletiller::rig
