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
#include "io/poll_now.hpp"
#include "io/transient_error.hpp"

namespace dappletiller {
namespace {

constexpr int kMaxAcceptsPerRound = 64;
constexpr int kMaxRequestsPerRound = 8;  // of one client
constexpr Micros kAcceptRetryDelay = 10'000;
// Maximum time to receive a request, from its first byte or from connecting. A client that sends no complete
// request must get an error or a close within 3 s of connecting.
constexpr Micros kReceiveTimeout = 2'400'000;
constexpr Micros kIdleTimeout = 2'100'000;  // without any request; clients must be allowed 2 s
// Minimum time after connecting before an idle connection is closed.
constexpr Micros kFirstRequestGrace = 100'000;
constexpr Micros kReportInterval = 10'000'000;         // between log lines about connections closed early
constexpr std::size_t kDiscardBufferSize = 64 * 1024;  // maximum read of data that is discarded
// Maximum pipelined data kept per client: one request of maximum size, or many small ones.
constexpr std::size_t kMaxPipelinedBytes = http::kMaxHeadSize + http::kMaxBodySize;
// Received data of each client that is buffered even if the memory for requests is used up.
constexpr std::size_t kGuaranteedBytes = std::size_t{2} * 1024;
constexpr int kMaxHintToTimeout = 16;  // hints above this multiple of the class's timeout are ignored

// Headers that may occur only once: proxy and server might interpret repeated ones differently.
constexpr std::array<std::string_view, 9> kSingletonHeaders = {
    "Request-Id",   "Request-Class", "Request-Timeout", "Idempotency-Key", "Work-Hint",
    "Client-Retry", "Host",          "Request-Info",    "Tenant"};

}  // namespace

// One client connection; processes one request at a time.
class DownstreamListener::Connection final : public StreamSocket::Callbacks, public ResponseSink {
 public:
  Connection(DownstreamListener& listener, limits::ConnectionAdmission::Id id)
      : socket(listener.loop_, *this),
        id(id),
        listener_(listener),
        parser_(http::Parser::Kind::kRequest, http::kMaxBodySize, listener.options_.long_bodies),
        timer_(listener.loop_),
        continue_(listener.loop_),
        connected_at_(listener.loop_.Now()) {}

  // Starts the timeout for the next request. Only its first byte restarts the timeout, and on a new
  // connection not even that one, so clients cannot hold a connection by sending nothing, or a little at a
  // time.
  void StartReceiveTimeout() {
    if (parser_.begun()) {
      Micros remaining =
          awaiting_first_request_ ? connected_at_ + kReceiveTimeout - listener_.loop_.Now() : kReceiveTimeout;
      timer_.Set(remaining,
                 [this] { Reject(408, "the request took too long to arrive", ClientClose::kLateRequest); });
    } else {
      CloseUnlessProgress(kIdleTimeout);
    }
  }

  bool idle() const { return state_ == State::kReading && !parser_.begun(); }

  // Closes the connection if it is unused and no request is being received. Reads nothing: a request found
  // here could open an upstream connection, which may close idle clients and reenter this function.
  bool CloseIfUnused() {
    if (!socket.open() || !(idle() || state_ == State::kClosing)) return false;
    if (state_ != State::kClosing && socket.IsStale()) return false;
    listener_.Remove(*this);
    return true;
  }

  // Like CloseIfUnused, but waits for the first request of a new connection, which may be on its way.
  void CloseIfUnusedAfterGrace() {
    Micros remaining =
        awaiting_first_request_ ? connected_at_ + kFirstRequestGrace - listener_.loop_.Now() : 0;
    if (remaining <= 0) {
      CloseIfUnused();
    } else {
      timer_.Set(remaining, [this] { CloseIfUnused(); });
    }
  }

  // Always reads, since the client's end of stream follows all data it sent, and requests of disconnected
  // clients must not be forwarded. Data that the parser cannot hold goes to a shared buffer.
  std::span<char> ReceiveBuffer() override {
    std::span<char> buffer =
        state_ == State::kClosing || pipeline_overflow_ ? std::span<char>() : parser_.ReceiveBuffer();
    return buffer.empty() ? std::span<char>(listener_.discard_buffer_) : buffer;
  }

  void OnReceived(std::size_t n) override {
    if (state_ == State::kClosing) return;
    if (parser_.done() || parser_.bad() || pipeline_overflow_) return BufferPipelined(n);
    bool is_first_byte = !parser_.begun();
    parser_.Commit(n);
    if (!ReserveMemory(parser_.buffered())) return OnMemoryExhausted();
    const Micros received_at = ReceivedAt();
    if (state_ != State::kReading) return received_.Add(n, parser_.buffered(), received_at);
    received_.Restart(parser_.buffered(), received_at);
    if (is_first_byte) {
      listener_.admission_.OnBytesReceived(id);
      StartReceiveTimeout();
    }
    ProcessInput();
  }

  void OnFlushed() override {
    if (state_ != State::kWriting) return;
    if (!keep_alive_) {
      state_ = State::kClosing;
      socket.ShutdownWrite();
      listener_.admission_.OnLastResponse(id);
      CloseUnlessProgress(listener_.options_.linger_timeout);
      socket.ResumeReading();
      return;
    }
    state_ = State::kReading;
    reservation_.ShrinkTo(parser_.buffered());
    StartReceiveTimeout();
    ProcessInput();
    socket.ResumeReading();
    if (!socket.open() || !idle()) return;
    listener_.admission_.OnIdle(id);
    if (listener_.closed_) {
      CloseIfUnused();
    } else {
      listener_.CloseExcessIdle();
    }
  }

  void OnClosed(StreamEnd) override { listener_.Remove(*this); }

  void OnResponse(PayloadRef answer) override {
    auto message = std::static_pointer_cast<const http::Message>(std::move(answer));
    BeginResponse();
    http::WriteResponse(message, keep_alive_, &socket.output());
    StartWriting();
  }
  void OnRejected(Micros retry_after) override {
    SendStatus(503, "overloaded, try again later", retry_after);
  }
  void OnFailed() override { SendStatus(502, "no server responded", 0); }
  bool ClientHasDisconnected() const override { return socket.PeerHasClosed(); }

  // Closes the socket; an open request counts as abandoned by its client.
  void Disconnect() {
    timer_.Clear();
    continue_.Clear();
    socket.Close();
    if (std::exchange(state_, State::kClosing) != State::kWaiting) return;
    ReleaseRequestId();
    listener_.dispatcher_.OnClientDisconnected(dispatched_id_);
  }

  StreamSocket socket;
  const limits::ConnectionAdmission::Id id;

 private:
  enum class State { kReading, kWaiting, kWriting, kClosing };

  // Buffers pipelined data behind a complete request. Beyond the limit no further request can be complete, so
  // the data is discarded and answered with an error in its turn.
  void BufferPipelined(std::size_t n) {
    if (parser_.bad() || pipeline_overflow_) return;
    const std::size_t buffered = parser_.buffered() + n;
    pipeline_overflow_ = buffered > kMaxPipelinedBytes || !ReserveMemory(buffered);
    if (pipeline_overflow_) return;
    parser_.Feed({listener_.discard_buffer_.data(), n});
    received_.Add(n, parser_.buffered(), listener_.loop_.EventsSince());
  }

  // When the data at hand was received, at the latest: it may have waited in the accept queue, or while this
  // process was busy or not scheduled.
  Micros ReceivedAt() const {
    return std::min(listener_.loop_.EventsSince(), listener_.loop_.Now() - socket.TimeSinceLastData());
  }

  // Reserves memory for `bytes` buffered bytes of this client; false: none is left. What a long body has
  // beyond kMaxPipelinedBytes is reserved by the parser.
  bool ReserveMemory(std::size_t bytes) {
    const std::shared_ptr<MemoryBudget>& memory = listener_.options_.request_memory;
    if (memory == nullptr) return true;
    if (!reservation_.has_budget()) reservation_ = MemoryBudget::Reservation(memory);
    const std::size_t wanted = std::min(bytes, kMaxPipelinedBytes);
    reservation_.GrowUnconditionallyTo(std::min(wanted, kGuaranteedBytes));
    return reservation_.GrowTo(wanted);
  }

  void OnMemoryExhausted() {
    if (state_ != State::kReading) {
      pipeline_overflow_ = true;
      return;
    }
    parser_ = http::Parser(http::Parser::Kind::kRequest, http::kMaxBodySize, listener_.options_.long_bodies);
    reservation_ = MemoryBudget::Reservation();
    Reject(503, "no memory for a request is left now", ClientClose::kNoMemory);
  }

  // A response may be written at once, and then the next request is processed: in this loop, since a client
  // can pipeline thousands. After some of them other clients have their turn.
  void ProcessInput() {
    if (processing_) return;
    processing_ = true;
    int requests = 0;
    while (socket.open() && state_ == State::kReading && requests < kMaxRequestsPerRound &&
           ProcessNextRequest()) {
      ++requests;
    }
    processing_ = false;
    if (requests == kMaxRequestsPerRound && parser_.done()) continue_.Set(0, [this] { ProcessInput(); });
  }

  // Returns whether a request was taken.
  bool ProcessNextRequest() {
    if (parser_.bad()) {
      bool out_of_memory = parser_.error_status() == 503;
      Reject(
          parser_.error_status(),
          out_of_memory ? "no memory for a long body is left now" : "the request is malformed or too large",
          out_of_memory ? ClientClose::kNoMemory : ClientClose::kMalformed);
      return false;
    }
    if (parser_.wants_continue()) {
      parser_.continued();
      socket.output().Append("HTTP/1.1 100 Continue\r\n\r\n");
      socket.Flush();
    }
    if (!parser_.done() && pipeline_overflow_)
      Reject(413, "too much data was sent before the response", ClientClose::kPipelined);
    if (!parser_.done() || !socket.open()) return false;
    std::size_t buffered = parser_.buffered();
    http::MessageRef request = parser_.TakeMessage(reservation_.Split(parser_.expected_size()));
    last_byte_at_ = received_.Take(buffered - parser_.buffered());
    keep_alive_ = request->keep_alive();
    awaiting_first_request_ = false;
    if (request->path() == "/up") {
      listener_.admission_.OnHealthCheck(id);
      // With a socket inherited from the platform, a successor process serves the clients, so the proxy is
      // still up.
      bool up = !listener_.lame_duck_ && !(listener_.draining_ && !listener_.inherited_);
      SendStatus(up ? 200 : 503, up ? "up" : "leaving", 0);
    } else {
      DispatchRequest(std::move(request));
    }
    return true;
  }

  void DispatchRequest(http::MessageRef request) {
    if (request->method() != "GET" && request->method() != "POST") {
      return Reject(405, "only GET and POST are served");
    }
    if (request->target().front() != '/') return Reject(400, "the request target is not a path");
    for (std::string_view name : kSingletonHeaders) {
      if (request->Count(name) > 1) return Reject(400, "a header that may appear only once is repeated");
    }
    const RequestClasses::Entry* request_class =
        listener_.dispatcher_.classes().Find(request->Find("Request-Class").value_or(""));
    if (request_class == nullptr) return Reject(400, "Request-Class is missing or unknown");
    request_id_ = request->Find("Request-Id").value_or("");
    if (request_id_.empty()) return Reject(400, "Request-Id is missing");
    // Servers reject inconsistent requests, which would look like server failures.
    const balancer::Effect effect = request_class->settings.effect;
    bool safe = effect == balancer::Effect::kSafe;
    bool keyed = !request->Find("Idempotency-Key").value_or("").empty();
    if ((request->method() == "GET") != safe || keyed != (effect == balancer::Effect::kKeyed) ||
        (safe && !request->body().empty())) {
      return Reject(400, "the class does not allow this method, key or body");
    }
    // A second open request with the same id would be the same request to a server.
    if (!listener_.open_request_ids_.insert(request_id_).second)
      return Reject(409, "a request with this Request-Id is still open");
    IncomingRequest incoming;
    incoming.request_class = request_class->index;
    auto tenant = listener_.tenant_by_name_.find(std::string(request->Find("Tenant").value_or("")));
    if (tenant != listener_.tenant_by_name_.end()) incoming.tenant = tenant->second;
    Micros request_timeout = request_class->settings.client_timeout;
    Micros max_hint = kMaxHintToTimeout * request_timeout;
    if (auto stated = request->Find("Request-Timeout")) {
      auto span = http::ParseTimeout(*stated);
      if (!span) return ReleaseRequestId(), Reject(400, "Request-Timeout is malformed");
      request_timeout = std::min(request_timeout, *span);
    }
    // The timeout runs from the request's last byte, even if it was received slowly or queued.
    incoming.deadline = last_byte_at_ + request_timeout;
    incoming.answer_by = listener_.answer_by_;
    if (auto hint = request->Find("Work-Hint")) {
      Micros work = 0;
      auto [end, failed] = std::from_chars(hint->data(), hint->data() + hint->size(), work);
      if (failed == std::errc() && end == hint->data() + hint->size() && work > 0 && work <= max_hint) {
        incoming.work_hint = work;
      }
    }
    incoming.client_retry = request->Find("Client-Retry") == "1";
    incoming.payload = std::move(request);
    state_ = State::kWaiting;
    timer_.Clear();
    dispatched_id_ = listener_.dispatcher_.NewRequestId();
    listener_.admission_.OnRequest(id);
    listener_.CloseExcessIdle();
    listener_.dispatcher_.OnRequest(dispatched_id_, std::move(incoming), *this);
  }

  void ReleaseRequestId() { listener_.open_request_ids_.erase(request_id_); }

  void BeginResponse() {
    if (state_ == State::kWaiting) ReleaseRequestId();
    state_ = State::kWriting;
    bool is_last =
        listener_.draining_ || listener_.lame_duck_ || listener_.admission_.ShouldCloseAfterResponse(id);
    if (is_last && !NextRequestStarted()) keep_alive_ = false;
  }

  // Whether data of a further request has been received. Closing the connection now would leave that request
  // without a response.
  bool NextRequestStarted() { return parser_.begun() || socket.IsStale(); }

  void StartWriting() {
    CloseUnlessProgress(listener_.options_.write_timeout);
    socket.Flush();
  }

  // Closes the connection when the client has accepted no data for `span`, or has all of it and is silent.
  // Counts progress rather than total time, so that slow but steady readers are not disconnected. A close
  // while the kernel still holds part of a response would lose that part: the client's next byte resets the
  // connection.
  void CloseUnlessProgress(Micros span) {
    std::size_t before = socket.UnacknowledgedBytes();
    timer_.Set(span, [this, span, before] {
      std::size_t unacknowledged = socket.UnacknowledgedBytes();
      if (unacknowledged > 0 && unacknowledged < before) return CloseUnlessProgress(span);
      if (state_ == State::kWriting) {
        listener_.CountClose(ClientClose::kNotReading);
        return listener_.Remove(*this);
      }
      if (CloseIfUnused()) listener_.CountClose(ClientClose::kIdle);
    });
  }

  void SendStatus(int status, std::string_view text, Micros retry_after) {
    BeginResponse();
    http::WriteStatusResponse(status, text, retry_after, keep_alive_, &socket.output());
    StartWriting();
  }

  void Reject(int status, std::string_view text, ClientClose why = ClientClose::kMalformed) {
    keep_alive_ = false;
    listener_.CountClose(why);
    listener_.log_.Info("listener: responding with status %d and closing the connection: %.*s", status,
                        static_cast<int>(text.size()), text.data());
    SendStatus(status, text, 0);
  }

  DownstreamListener& listener_;
  http::Parser parser_;
  Timer timer_;
  Timer continue_;  // while more requests are buffered than one round may process
  State state_ = State::kReading;
  RequestId dispatched_id_ = 0;
  std::string request_id_;  // of the open request
  Micros connected_at_;
  ReceiveTimes received_;
  Micros last_byte_at_ = 0;                // of the request taken last
  MemoryBudget::Reservation reservation_;  // for what the parser has buffered
  bool awaiting_first_request_ = true;     // no complete request yet
  bool keep_alive_ = true;
  bool processing_ = false;         // within ProcessInput
  bool pipeline_overflow_ = false;  // pipelined data exceeded the limit
};

DownstreamListener::DownstreamListener(EventLoop& loop, Log& log, RequestDispatcher& dispatcher,
                                       DescriptorLimit& descriptors, ListenerOptions options)
    : loop_(loop),
      log_(log),
      dispatcher_(dispatcher),
      descriptors_(descriptors),
      options_(std::move(options)),
      discard_buffer_(kDiscardBufferSize),
      accept_retry_(loop),
      admission_(options_.connection_slots, options_.first_request_grace) {
  descriptors_.SetCloseUnused(DescriptorLimit::Side::kDownstream, [this] {
    return admission_.CloseOne(loop_.Now(),
                               [this](limits::ConnectionAdmission::Id id) { return CloseIfUnused(id); });
  });
  descriptors_.SetOnAvailable([this] {
    if (clients_waiting_ && listener_) loop_.NotifyAgain(token_, EPOLLIN);
  });
  for (std::size_t i = 0; i < options_.tenants.size(); ++i) {
    tenant_by_name_[options_.tenants[i]] = static_cast<int>(i);
  }
  next_tenant_ = static_cast<int>(options_.tenants.size());
}

int DownstreamListener::AddTenant(const std::string& name) {
  auto [it, inserted] = tenant_by_name_.try_emplace(name, next_tenant_);
  if (!inserted) return it->second;
  if (free_tenants_.empty()) return next_tenant_++;
  it->second = free_tenants_.back();
  free_tenants_.pop_back();
  return it->second;
}

int DownstreamListener::RemoveTenant(const std::string& name) {
  auto it = tenant_by_name_.find(name);
  if (it == tenant_by_name_.end()) return -1;
  free_tenants_.push_back(it->second);
  tenant_by_name_.erase(it);
  return free_tenants_.back();
}

DownstreamListener::~DownstreamListener() {
  descriptors_.SetCloseUnused(DescriptorLimit::Side::kDownstream, nullptr);
  descriptors_.SetOnAvailable(nullptr);
  if (listener_) loop_.Unwatch(token_, listener_.get());
  // The platform's socket stays open: another attempt to start may use it.
  if (inherited_) listener_.Release();
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
      throw std::system_error(errno, std::generic_category(), "BALANCER_SOCKET_FD is not a socket");
    }
    return value;
  };
  if (option(SO_TYPE) != SOCK_STREAM || option(SO_DOMAIN) != AF_INET || option(SO_ACCEPTCONN) != 1) {
    throw std::system_error(EINVAL, std::generic_category(),
                            "BALANCER_SOCKET_FD is not a listening TCP socket over IPv4");
  }
  // Shared with the other processes of the proxy, which all use it non-blocking.
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

void DownstreamListener::SetLameDuck(bool on) {
  lame_duck_ = on;
  if (on) CloseIdle();
}

void DownstreamListener::StopAccepting() {
  accept_retry_.Clear();
  if (listener_) loop_.Unwatch(token_, listener_.get());
  listener_.Reset();
  unregistered_.Reset();
}

void DownstreamListener::OnReady(std::uint32_t) { Accept(); }

void DownstreamListener::Accept() {
  clients_waiting_ = false;
  for (int i = 0; listener_; ++i) {
    if (i == kMaxAcceptsPerRound) return loop_.NotifyAgain(token_, EPOLLIN);
    // Do not close an idle client when no new one is waiting.
    if (!descriptors_.IsAvailable(DescriptorLimit::Side::kDownstream) && !HasWaitingClients()) return;
    if (!descriptors_.EnsureAvailable(DescriptorLimit::Side::kDownstream)) {
      log_.Info("listener: all %zu connections in use; new clients wait in the accept queue",
                descriptors_.limit());
      clients_waiting_ = true;  // resumed when a descriptor is released
      return;
    }
    if (!unregistered_) {
      unregistered_ =
          FileDescriptor(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    }
    if (!unregistered_) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) return;
      if (ConcernsOneConnection(errno)) continue;
      return RetryAccept();
    }
    auto connection = std::make_unique<Connection>(*this, ++last_id_);
    if (!connection->socket.Adopt(unregistered_)) return RetryAccept();
    descriptors_.Acquire();
    Connection& accepted = *connection;
    connections_[accepted.id] = std::move(connection);
    admission_.OnOpened(accepted.id, loop_.Now());
    accepted.StartReceiveTimeout();
  }
}

// The listener stays readable, so that waiting for its next event could take for ever.
void DownstreamListener::RetryAccept() {
  ++dispatcher_.counters().accepts_postponed;
  log_.Info("listener: accept failed: %s; retrying in 10 ms", std::strerror(errno));
  accept_retry_.Set(kAcceptRetryDelay, [this] { Accept(); });
}

void DownstreamListener::CountClose(ClientClose why) {
  ++dispatcher_.counters().clients_closed[static_cast<std::size_t>(why)];
}

bool DownstreamListener::HasWaitingClients() const {
  return unregistered_ || PollNow(listener_.get(), POLLIN) != 0;
}

bool DownstreamListener::CloseIfUnused(limits::ConnectionAdmission::Id id) {
  if (!connections_.at(id)->CloseIfUnused()) return false;
  ++closed_early_;
  CountClose(ClientClose::kEarly);
  // Logged, since clients that cannot connect leave no other trace here.
  Micros now = loop_.Now();
  if (reported_at_ != 0 && now < reported_at_ + kReportInterval) return true;
  log_.Info(
      "listener: closed %ld idle client connections early since the last report; %zu of %zu slots in use",
      std::exchange(closed_early_, 0), admission_.used_slots(), admission_.slots());
  reported_at_ = now;
  return true;
}

void DownstreamListener::CloseExcessIdle() {
  admission_.CloseExcess([this](limits::ConnectionAdmission::Id id) { return CloseIfUnused(id); });
}

void DownstreamListener::Remove(Connection& connection) {
  auto it = connections_.find(connection.id);
  std::unique_ptr<Connection> owned = std::move(it->second);
  connections_.erase(it);
  admission_.OnClosed(owned->id);
  owned->Disconnect();
  descriptors_.Release();
  loop_.DeferDelete(std::move(owned));
}

void DownstreamListener::Close() {
  if (closed_) return;
  draining_ = true;
  // Clients in the accept queue are already connected and must be served, unless an inherited socket keeps
  // them for a successor. If no descriptor is available yet, the next call tries again.
  if (listener_ && !inherited_) {
    for (int i = 0; i < SOMAXCONN / kMaxAcceptsPerRound; ++i) Accept();
    if (HasWaitingClients()) return;
  }
  closed_ = true;
  StopAccepting();
  CloseIdle();
}

void DownstreamListener::CloseIdle() {
  // Closing one may close others; closed connections are freed only after this round of the event loop.
  std::vector<Connection*> all;
  for (auto& [id, connection] : connections_) all.push_back(connection.get());
  for (Connection* connection : all) {
    if (connection->socket.open() && connection->idle()) connection->CloseIfUnusedAfterGrace();
  }
}

}  // namespace dappletiller
