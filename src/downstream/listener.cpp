#include "downstream/listener.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <system_error>
#include <utility>

#include "base/payload.hpp"
#include "downstream/receive_times.hpp"
#include "http/parser.hpp"
#include "http/text.hpp"
#include "http/writer.hpp"

namespace dappletiller {
namespace {

constexpr int kAcceptsAtOnce = 64;
constexpr Micros kRetryAccept = 50'000;
// For a request to come whole, from its first byte or from connecting: who sends none is due an error or a
// close within 3 s of connecting (the later days' page, Bad clients).
constexpr Micros kHeadTime = 2'400'000;
constexpr Micros kIdleTime = 2'100'000;    // without any request; it may end after 2 s (there, The long day)
constexpr Micros kFirstRequest = 100'000;  // from connecting, when idle connections are closed
constexpr Micros kTellEvery = 10'000'000;  // that connections were ended early
constexpr std::size_t kWaste = 64 * 1024;  // read at once of what is thrown away
// Kept of what a client sends ahead of its answer: one request of the greatest size, or many small ones.
constexpr std::size_t kAheadLimit = http::kMaxHeadSize + http::kMaxBodySize;
constexpr int kHintTimes = 16;  // hints of more than this many times a class's patience are no hints

// Doubled, these would mean one thing to us and perhaps another to a worker.
constexpr std::array<std::string_view, 9> kOnce = {
    "Request-Id",   "Request-Class", "Request-Timeout", "Idempotency-Key", "Work-Hint",
    "Client-Retry", "Host",          "Request-Info",    "Tenant"};

}  // namespace

// One client's connection, one call at a time.
class DownstreamListener::Conn final : public StreamSocket::Callbacks, public ResponseSink {
 public:
  Conn(DownstreamListener& listener, limits::ConnectionAdmission::Id id)
      : socket(listener.loop_, *this),
        id(id),
        listener_(listener),
        parser_(http::Parser::Kind::kRequest, http::kMaxBodySize, listener.options_.long_bodies),
        timer_(listener.loop_),
        connected_at_(listener.loop_.Now()) {}

  // Until a request is whole. No byte but its first starts the time anew, and on a new connection not even
  // that one: guards against clients that hold a connection by saying nothing, or little at a time.
  void Begin() {
    if (parser_.begun()) {
      Micros left = fresh_ ? connected_at_ + kHeadTime - listener_.loop_.Now() : kHeadTime;
      timer_.Set(left, [this] { Reject(408, "the request took too long to arrive"); });
    } else {
      EndUnlessTaken(kIdleTime);
    }
  }

  bool idle() const { return state_ == State::kReading && !parser_.begun(); }

  // An unused connection goes, unless a request is on its way in; one in use goes with its answer. Nothing is
  // read here: a request that came to light could have its worker's connection make room, and so enter this
  // again.
  bool Leave() {
    if (!socket.open() || !(idle() || state_ == State::kClosing)) return false;
    if (state_ != State::kClosing && socket.IsStale()) return false;
    listener_.Drop(*this);
    return true;
  }

  // One that has just connected is given the time for its first request to come: on its way, that request
  // would meet a closed connection.
  void LeaveUnlessNew() {
    Micros left = fresh_ ? connected_at_ + kFirstRequest - listener_.loop_.Now() : 0;
    if (left <= 0) {
      Leave();
    } else {
      timer_.Set(left, [this] { Leave(); });
    }
  }

  // Reads on whatever is open: the client's end lies behind all that it sent, and a call whose client has
  // left must not be sent on. What the parser can't take goes through a buffer that all clients share.
  std::span<char> ReceiveBuffer() override {
    std::span<char> room = state_ == State::kClosing || spilt_ ? std::span<char>() : parser_.ReceiveBuffer();
    return room.empty() ? std::span<char>(listener_.waste_) : room;
  }

  void OnReceived(std::size_t n) override {
    if (state_ == State::kClosing) return;
    if (parser_.done() || parser_.bad() || spilt_) return Ahead(n);
    bool fresh = !parser_.begun();
    parser_.Commit(n);
    Micros now = listener_.loop_.Now();
    if (state_ != State::kReading) return received_.Add(n, parser_.held(), now);
    received_.Restart(parser_.held(), now);
    if (fresh) {
      listener_.admission_.OnBytesReceived(id);
      Begin();
    }
    Look();
  }

  void OnFlushed() override {
    if (state_ != State::kWriting) return;
    if (!keep_) {
      state_ = State::kClosing;
      socket.ShutdownWrite();
      listener_.admission_.OnLastResponse(id);
      EndUnlessTaken(listener_.options_.linger_for);
      socket.ResumeReading();
      return;
    }
    state_ = State::kReading;
    Begin();
    Look();
    socket.ResumeReading();
    if (!socket.open() || !idle()) return;
    listener_.admission_.OnIdle(id);
    if (listener_.closed_) {
      Leave();
    } else {
      listener_.Trim();
    }
  }

  void OnClosed(StreamEnd) override { listener_.Drop(*this); }

  void OnResponse(PayloadRef answer) override {
    auto message = std::static_pointer_cast<const http::Message>(std::move(answer));
    Answering();
    http::WriteResponse(message, keep_, &socket.output());
    WriteOut();
  }
  void OnRejected(Micros retry_after) override { Say(503, "overloaded, try again later", retry_after); }
  void OnFailed() override { Say(502, "no worker answered", 0); }
  bool ClientHasLeft() const override { return socket.PeerHasClosed(); }

  // A client that goes while its call is open has left it.
  void End() {
    timer_.Clear();
    socket.Close();
    if (std::exchange(state_, State::kClosing) != State::kWaiting) return;
    CloseCall();
    listener_.dispatcher_.OnClientDisconnected(call_);
  }

  StreamSocket socket;
  const limits::ConnectionAdmission::Id id;

 private:
  enum class State { kReading, kWaiting, kWriting, kClosing };

  // What came behind a whole request that waits for the answer before it. Beyond the limit nothing of it can
  // be whole any more: it is read away, and answered with an error once its turn comes.
  void Ahead(std::size_t n) {
    if (parser_.bad() || spilt_) return;
    spilt_ = parser_.held() + n > kAheadLimit;
    if (spilt_) return;
    parser_.Feed({listener_.waste_.data(), n});
    received_.Add(n, parser_.held(), listener_.loop_.Now());
  }

  void Look() {
    if (parser_.bad()) {
      bool no_memory = parser_.error_status() == 503;
      return Reject(parser_.error_status(), no_memory ? "no memory for a long body is left now"
                                                      : "the request is malformed or too large");
    }
    if (parser_.wants_continue()) {
      parser_.continued();
      socket.output().Append("HTTP/1.1 100 Continue\r\n\r\n");
      socket.Flush();
    }
    if (!parser_.done() && spilt_) return Reject(413, "too much was sent ahead of an answer");
    if (!parser_.done() || !socket.open()) return;
    std::size_t held = parser_.held();
    http::MessageRef request = parser_.TakeMessage();
    last_byte_at_ = received_.Take(held - parser_.held());
    keep_ = request->keep_alive();
    fresh_ = false;
    if (request->path() == "/up") {
      listener_.admission_.OnHealthCheck(id);
      // With a socket of the platform's, a successor takes the clients when this process leaves: the
      // proxy is still up.
      bool up = !listener_.lameduck_ && !(listener_.draining_ && !listener_.inherited_);
      return Say(up ? 200 : 503, up ? "up" : "leaving", 0);
    }
    Call(std::move(request));
  }

  void Call(http::MessageRef request) {
    if (request->method() != "GET" && request->method() != "POST") {
      return Reject(405, "only GET and POST are served");
    }
    if (request->target().front() != '/') return Reject(400, "the target is no path");
    for (std::string_view name : kOnce) {
      if (request->Count(name) > 1) return Reject(400, "a header that must stand once is doubled");
    }
    auto known = listener_.class_of_.find(std::string(request->Find("Request-Class").value_or("")));
    if (known == listener_.class_of_.end()) return Reject(400, "Request-Class is missing or unknown");
    request_id_ = request->Find("Request-Id").value_or("");
    if (request_id_.empty()) return Reject(400, "Request-Id is missing");
    auto place = static_cast<std::size_t>(known->second);
    // UpstreamTransport turn away what doesn't fit together, and that would look like a fault of theirs.
    balancer::Effect effect = listener_.options_.effects[place];
    bool safe = effect == balancer::Effect::kSafe;
    bool keyed = !request->Find("Idempotency-Key").value_or("").empty();
    if ((request->method() == "GET") != safe || keyed != (effect == balancer::Effect::kKeyed) ||
        (safe && !request->body().empty())) {
      return Reject(400, "method, key or body do not go with the class");
    }
    // Guards against a second call under one id: both would be one request to a worker.
    if (!listener_.open_ids_.insert(request_id_).second)
      return Reject(409, "a call with this Request-Id is open");
    IncomingRequest arrival;
    arrival.request_class = listener_.options_.decided_as[place];
    auto tenant = listener_.tenant_of_.find(std::string(request->Find("Tenant").value_or("")));
    if (tenant != listener_.tenant_of_.end()) arrival.tenant = tenant->second;
    Micros patience = listener_.options_.patience[place];
    Micros most_hint = kHintTimes * patience;
    if (auto stated = request->Find("Request-Timeout")) {
      auto span = http::ParseTimeout(*stated);
      if (!span) return CloseCall(), Reject(400, "Request-Timeout is malformed");
      patience = std::min(patience, *span);
    }
    // A request's time runs from its last byte, however slowly it came and whatever it waited behind.
    arrival.deadline = last_byte_at_ + patience;
    arrival.answer_by = listener_.answer_by_;
    if (auto hint = request->Find("Work-Hint")) {
      Micros work = 0;
      auto [end, failed] = std::from_chars(hint->data(), hint->data() + hint->size(), work);
      if (failed == std::errc() && end == hint->data() + hint->size() && work > 0 && work <= most_hint) {
        arrival.work_hint = work;
      }
    }
    arrival.client_retry = request->Find("Client-Retry") == "1";
    arrival.payload = std::move(request);
    state_ = State::kWaiting;
    timer_.Clear();
    call_ = listener_.dispatcher_.NewRequestId();
    listener_.admission_.OnRequest(id);
    listener_.Trim();
    listener_.dispatcher_.OnRequest(call_, std::move(arrival), *this);
  }

  void CloseCall() { listener_.open_ids_.erase(request_id_); }

  void Answering() {
    if (state_ == State::kWaiting) CloseCall();
    state_ = State::kWriting;
    bool last =
        listener_.draining_ || listener_.lameduck_ || listener_.admission_.ShouldCloseAfterResponse(id);
    if (last && !NextIsHere()) keep_ = false;
  }

  // Whether more has come behind the request at hand. Ended with the answer to that one, the connection would
  // end without an answer to a further request that the proxy has taken.
  bool NextIsHere() { return parser_.begun() || socket.IsStale(); }

  void WriteOut() {
    EndUnlessTaken(listener_.options_.write_for);
    socket.Flush();
  }

  // Ends the connection once its client has taken nothing of its answers for `span`, or has them all and is
  // silent. Counted from the start of writing, the time would cut off a client that takes a long answer
  // slowly but steadily. Closed while the kernel still holds part of an answer, the connection would be reset
  // by the client's next byte, and that part lost.
  void EndUnlessTaken(Micros span) {
    std::size_t before = socket.UnacknowledgedBytes();
    timer_.Set(span, [this, span, before] {
      std::size_t left = socket.UnacknowledgedBytes();
      if (left > 0 && left < before) return EndUnlessTaken(span);
      if (state_ == State::kWriting) return listener_.Drop(*this);
      Leave();
    });
  }

  void Say(int status, std::string_view text, Micros retry_after) {
    Answering();
    http::WriteStatusResponse(status, text, retry_after, keep_, &socket.output());
    WriteOut();
  }

  void Reject(int status, std::string_view text) {
    keep_ = false;
    listener_.log_.Info("acceptor: %d to a client: %.*s", status, static_cast<int>(text.size()), text.data());
    Say(status, text, 0);
  }

  DownstreamListener& listener_;
  http::Parser parser_;
  Timer timer_;
  State state_ = State::kReading;
  RequestId call_ = 0;
  std::string request_id_;  // of the call
  Micros connected_at_;
  ReceiveTimes received_;
  Micros last_byte_at_ = 0;  // of the request that was taken last
  bool fresh_ = true;        // no request has come whole
  bool keep_ = true;
  bool spilt_ = false;  // more was sent ahead than is kept
};

DownstreamListener::DownstreamListener(EventLoop& loop, Log& log, RequestDispatcher& dispatcher,
                                       DescriptorLimit& descriptors, ListenerOptions options)
    : loop_(loop),
      log_(log),
      dispatcher_(dispatcher),
      descriptors_(descriptors),
      options_(std::move(options)),
      waste_(kWaste),
      pause_(loop),
      admission_(options_.connection_slots, options_.first_request_grace) {
  descriptors_.SetCloseUnused(DescriptorLimit::Side::kDownstream, [this] {
    return admission_.CloseOne(loop_.Now(),
                               [this](limits::ConnectionAdmission::Id id) { return DropIfUnused(id); });
  });
  descriptors_.SetOnRoom([this] {
    if (waiting_ && listener_) loop_.NotifyAgain(token_, EPOLLIN);
  });
  for (std::size_t i = 0; i < options_.classes.size(); ++i) {
    class_of_[options_.classes[i]] = static_cast<int>(i);
    if (options_.decided_as.size() <= i) options_.decided_as.push_back(static_cast<int>(i));
  }
  modules_classes_ = options_.classes.size();
  for (std::size_t i = 0; i < options_.tenants.size(); ++i) {
    tenant_of_[options_.tenants[i]] = static_cast<int>(i);
  }
  places_named_ = static_cast<int>(options_.tenants.size());
}

int DownstreamListener::NameTenant(const std::string& name) {
  auto [it, fresh] = tenant_of_.try_emplace(name, places_named_);
  if (!fresh) return it->second;
  if (free_places_.empty()) return places_named_++;
  it->second = free_places_.back();
  free_places_.pop_back();
  return it->second;
}

int DownstreamListener::ForgetTenant(const std::string& name) {
  auto it = tenant_of_.find(name);
  if (it == tenant_of_.end()) return -1;
  free_places_.push_back(it->second);
  tenant_of_.erase(it);
  return free_places_.back();
}

void DownstreamListener::Retune(const std::vector<std::string>& names, const std::vector<Micros>& patience,
                                const std::vector<balancer::Effect>& effects) {
  for (std::size_t i = 0; i < names.size(); ++i) {
    auto known = class_of_.find(names[i]);
    if (known != class_of_.end()) {
      auto place = static_cast<std::size_t>(known->second);
      if (options_.effects[place] == effects[i]) {
        options_.patience[place] = patience[i];
        continue;
      }
    }
    // The module knows only the classes it was made with: the one of this effect nearest in deadline.
    int decided = -1;
    Micros nearest = 0;
    for (std::size_t c = 0; c < modules_classes_; ++c) {
      if (options_.effects[c] != effects[i]) continue;
      Micros gap = options_.patience[c] > patience[i] ? options_.patience[c] - patience[i]
                                                      : patience[i] - options_.patience[c];
      if (decided < 0 || gap < nearest) decided = static_cast<int>(c), nearest = gap;
    }
    if (decided < 0) {
      log_.Info("reload: class %s has an effect that no class of the start has; it needs a restart",
                names[i].c_str());
      continue;
    }
    // One whose effect has changed is a new class to all that comes: what is open keeps the old one.
    class_of_[names[i]] = static_cast<int>(options_.classes.size());
    options_.classes.push_back(names[i]);
    options_.patience.push_back(patience[i]);
    options_.effects.push_back(effects[i]);
    options_.decided_as.push_back(decided);
    log_.Info("reload: class %s is new; decided as %s", names[i].c_str(),
              options_.classes[static_cast<std::size_t>(decided)].c_str());
  }
}

DownstreamListener::~DownstreamListener() {
  descriptors_.SetCloseUnused(DescriptorLimit::Side::kDownstream, nullptr);
  descriptors_.SetOnRoom(nullptr);
  if (listener_) loop_.Unwatch(token_, listener_.get());
}

void DownstreamListener::Listen() {
  BoundSocket bound = BindTcpListener(options_.listen, SOMAXCONN, "listen");
  listener_ = std::move(bound.fd);
  port_ = bound.port;
  Watch();
}

void DownstreamListener::Inherit(int fd) {
  auto option = [fd](int name) {
    int value = 0;
    socklen_t size = sizeof value;
    if (::getsockopt(fd, SOL_SOCKET, name, &value, &size) != 0) {
      throw std::system_error(errno, std::generic_category(), "BALANCER_SOCKET_FD is no socket");
    }
    return value;
  };
  if (option(SO_TYPE) != SOCK_STREAM || option(SO_DOMAIN) != AF_INET || option(SO_ACCEPTCONN) != 1) {
    throw std::system_error(EINVAL, std::generic_category(),
                            "BALANCER_SOCKET_FD is not a listening TCP socket over IPv4");
  }
  // The descriptor is shared with the other processes of the proxy; all of them want it non-blocking.
  int flags = ::fcntl(fd, F_GETFL);
  if (flags < 0 || ::fcntl(fd, F_SETFL, flags | O_NONBLOCK) != 0 || ::fcntl(fd, F_SETFD, FD_CLOEXEC) != 0) {
    throw std::system_error(errno, std::generic_category(), "BALANCER_SOCKET_FD");
  }
  listener_ = FileDescriptor(fd);
  inherited_ = true;
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::system_error(errno, std::generic_category(), "getsockname");
  }
  port_ = ntohs(address.sin_port);
  Watch();
}

void DownstreamListener::Watch() {
  token_ = loop_.Watch(listener_.get(), this);
  if (token_ == 0) throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}

void DownstreamListener::Lameduck(bool on) {
  lameduck_ = on;
  if (on) CloseIdle();
}

void DownstreamListener::StopAccepting() {
  pause_.Clear();
  if (listener_) loop_.Unwatch(token_, listener_.get());
  listener_.Reset();
}

void DownstreamListener::OnReady(std::uint32_t) { Accept(); }

void DownstreamListener::Accept() {
  waiting_ = false;
  for (int i = 0; listener_; ++i) {
    if (i == kAcceptsAtOnce) return loop_.NotifyAgain(token_, EPOLLIN);
    // Guards against an idle client being sent away to make room for nobody.
    if (!descriptors_.HasRoom(DescriptorLimit::Side::kDownstream) && !Pending()) return;
    if (!descriptors_.MakeRoom(DescriptorLimit::Side::kDownstream)) {
      log_.Info("acceptor: all %zu connections in use, new ones wait", descriptors_.limit());
      waiting_ = true;  // Drop goes on from here
      return;
    }
    FileDescriptor fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) return;
      if (errno == EINTR || errno == ECONNABORTED || errno == EPROTO) continue;
      // Guards against spinning on a listener that stays ready while there are no descriptors.
      log_.Info("acceptor: accept failed: %s", std::strerror(errno));
      pause_.Set(kRetryAccept, [this] { Accept(); });
      return;
    }
    auto conn = std::make_unique<Conn>(*this, ++ids_);
    if (!conn->socket.Adopt(std::move(fd))) continue;
    descriptors_.Acquire();
    Conn& begun = *conn;
    conns_[begun.id] = std::move(conn);
    admission_.OnOpened(begun.id, loop_.Now());
    begun.Begin();
  }
}

bool DownstreamListener::Pending() const {
  pollfd listener{listener_.get(), POLLIN, 0};
  return ::poll(&listener, 1, 0) > 0;
}

bool DownstreamListener::DropIfUnused(limits::ConnectionAdmission::Id id) {
  if (!conns_.at(id)->Leave()) return false;
  ++ended_early_;
  // Guards against a shortage of places that nobody sees: what can't get in leaves no other trace here.
  Micros now = loop_.Now();
  if (told_at_ != 0 && now < told_at_ + kTellEvery) return true;
  log_.Info(
      "acceptor: %ld unused client connections ended early since the last such line; %zu of %zu places in "
      "use",
      std::exchange(ended_early_, 0), admission_.used_slots(), admission_.slots());
  told_at_ = now;
  return true;
}

void DownstreamListener::Trim() {
  admission_.CloseExcess([this](limits::ConnectionAdmission::Id id) { return DropIfUnused(id); });
}

void DownstreamListener::Drop(Conn& conn) {
  auto it = conns_.find(conn.id);
  std::unique_ptr<Conn> owned = std::move(it->second);
  conns_.erase(it);
  admission_.OnClosed(owned->id);
  owned->End();
  descriptors_.Release();
  loop_.DeferDelete(std::move(owned));
}

void DownstreamListener::Close() {
  if (closed_) return;
  draining_ = true;
  // What has been accepted by the kernel is ours already, unless the platform's socket keeps it for our
  // successor. Guards against resetting what no connection is free for yet: the next call tries again.
  if (listener_ && !inherited_) {
    for (int i = 0; i < SOMAXCONN / kAcceptsAtOnce; ++i) Accept();
    if (Pending()) return;
  }
  closed_ = true;
  StopAccepting();
  CloseIdle();
}

void DownstreamListener::CloseIdle() {
  // One that leaves may take others with it; those that went are freed only after this round.
  std::vector<Conn*> all;
  for (auto& [id, conn] : conns_) all.push_back(conn.get());
  for (Conn* conn : all) {
    if (conn->socket.open() && conn->idle()) conn->LeaveUnlessNew();
  }
}

}  // namespace dappletiller
