#include "control_server/feed_server.hpp"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "config_feed/page_codec.hpp"
#include "http/parser.hpp"
#include "http/writer.hpp"
#include "io/stream_socket.hpp"
#include "io/transient_error.hpp"

namespace dappletiller {
namespace {

using config_feed::IfUnchanged;
using config_feed::Response;

constexpr int kMaxAcceptsPerRound = 64;
constexpr Micros kRetryAcceptAfter = 50'000;
constexpr std::size_t kDiscardBufferSize = 512;

// A response other than a page.
struct ErrorResponse {
  int status = 0;
  std::string_view text;
  Micros retry_after = 0;
};

}  // namespace

// One follower's connection: one request at a time, kept alive between them.
class FeedServer::Connection final : public StreamSocket::Callbacks {
 public:
  Connection(FeedServer& server, ConnectionId id)
      : server_(server), id_(id), socket_(server.loop_, *this), timer_(server.loop_) {
    AwaitRequest();
  }

  bool Adopt(FileDescriptor accepted) { return socket_.Adopt(accepted); }
  void Close() { socket_.Close(); }

  // Entries of these services have changed; relevant only if one is in the request's scope.
  void NotifyChanged(const config_feed::ServiceSet& services) {
    if (!waiting_) return;
    const config_feed::Scope& scope = request_.page.scope;
    const bool concerned =
        scope.all || std::any_of(services.begin(), services.end(),
                                 [&](const auto& service) { return scope.Includes(service); });
    if (concerned) Answer(IfUnchanged::kWait);
  }

 private:
  std::span<char> ReceiveBuffer() override {
    const std::span<char> buffer = parser_.ReceiveBuffer();
    // Data received while a request waits is discarded, so that the end of the connection is noticed.
    return buffer.empty() ? std::span<char>(discard_buffer_) : buffer;
  }

  void OnReceived(std::size_t count) override {
    if (parser_.done() || parser_.bad()) return;
    parser_.Commit(count);
    if (parser_.bad()) {
      keep_alive_ = false;
      RespondWithError({parser_.error_status(), "the question is malformed or too large"});
    } else if (parser_.done() && !waiting_ && !writing_) {
      HandleRequest();
    }
  }

  void OnFlushed() override {
    if (!std::exchange(writing_, false)) return;
    if (!keep_alive_) {
      server_.Drop(id_);
      return;
    }
    AwaitRequest();
    if (parser_.done()) HandleRequest();
  }

  void OnClosed(StreamEnd) override { server_.Drop(id_); }

  void AwaitRequest() {
    timer_.Set(kIdleTime, [this] { server_.Drop(id_); });
  }

  void HandleRequest() {
    const http::MessageRef message = parser_.TakeMessage();
    keep_alive_ = message->keep_alive();
    if (message->method() != "GET") {
      keep_alive_ = false;
      RespondWithError({405, "GET only"});
      return;
    }
    auto request = config_feed::ParseRequest(message->target());
    if (!request) {
      keep_alive_ = false;
      RespondWithError({message->path() == "/feed" ? 400 : 404, "no question of the settings feed"});
      return;
    }
    request_ = std::move(*request);
    wait_until_ = server_.loop_.Now() + request_.wait_ms * 1000;
    Answer(request_.wait_ms > 0 ? IfUnchanged::kWait : IfUnchanged::kAnswer);
  }

  void Answer(IfUnchanged if_unchanged) {
    const Micros now = server_.loop_.Now();
    if (now >= wait_until_) if_unchanged = IfUnchanged::kAnswer;
    const Response response =
        server_.config_server_.HandleRequest(now, request_.follower, request_.page, if_unchanged);
    waiting_ = response.kind == Response::Kind::kWait;
    if (waiting_) {
      server_.waiting_.insert(id_);
      timer_.Set(wait_until_ - now, [this] { Answer(IfUnchanged::kAnswer); });
      return;
    }
    server_.waiting_.erase(id_);
    switch (response.kind) {
      case Response::Kind::kPage:
        Write(200, config_feed::WritePage(response.page), 0, "application/json");
        break;
      case Response::Kind::kBusy:
        RespondWithError({503, "too many complete states are being sent; retry later", response.retry_after});
        break;
      case Response::Kind::kBehind:
        RespondWithError({409, "this machine is behind"});
        break;
      case Response::Kind::kWait:
        break;
    }
  }

  void RespondWithError(const ErrorResponse& refusal) {
    Write(refusal.status, refusal.text, refusal.retry_after, "text/plain");
  }

  void Write(int status, std::string_view text, Micros retry_after, std::string_view content_type) {
    writing_ = true;
    AwaitRequest();  // also the time limit for sending the response
    http::WriteStatusResponse(status, text, retry_after, keep_alive_, &socket_.output(), content_type);
    socket_.Flush();
  }

  FeedServer& server_;
  ConnectionId id_;
  StreamSocket socket_;
  Timer timer_;
  http::Parser parser_{http::Parser::Kind::kRequest};
  std::array<char, kDiscardBufferSize> discard_buffer_{};
  config_feed::FeedRequest request_;
  Micros wait_until_ = 0;
  bool keep_alive_ = true;
  bool waiting_ = false;
  bool writing_ = false;
};

FeedServer::FeedServer(EventLoop& loop, Log& log, config_feed::ConfigServer& config_server)
    : loop_(loop), log_(log), config_server_(config_server), retry_accept_(loop) {}

FeedServer::~FeedServer() {
  if (listener_) loop_.Unwatch(watch_, listener_.get());
}

void FeedServer::Listen(const Endpoint& where) {
  BoundSocket bound = BindTcpListener(where, SOMAXCONN, "control bind");
  listener_ = std::move(bound.fd);
  port_ = bound.port;
  watch_ = loop_.Watch(listener_.get(), this);
  if (watch_ == 0) throw std::system_error(errno, std::generic_category(), "control bind: epoll_ctl");
}

void FeedServer::NotifyChanged(const config_feed::ServiceSet& services) {
  if (services.empty()) return;
  const std::vector<ConnectionId> waiting(waiting_.begin(), waiting_.end());
  for (ConnectionId id : waiting) {
    auto connection = connections_.find(id);
    if (connection != connections_.end()) connection->second->NotifyChanged(services);
  }
}

void FeedServer::OnReady(std::uint32_t) { AcceptConnections(); }

void FeedServer::AcceptConnections() {
  for (int accepts = 0;; ++accepts) {
    if (accepts == kMaxAcceptsPerRound) {
      loop_.NotifyAgain(watch_, EPOLLIN);
      return;
    }
    FileDescriptor accepted(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (accepted) {
      Add(std::move(accepted));
      continue;
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK) return;
    if (ConcernsOneConnection(errno)) continue;
    log_.Info("control: accept failed: %s", std::strerror(errno));
    retry_accept_.Set(kRetryAcceptAfter, [this] { AcceptConnections(); });
    return;
  }
}

void FeedServer::Add(FileDescriptor accepted) {
  if (connections_.size() >= kMaxConnections) {
    log_.Info("control: %zu followers are connected; rejected a new one", connections_.size());
    return;
  }
  const ConnectionId id = ++last_id_;
  auto connection = std::make_unique<Connection>(*this, id);
  Connection& added = *connection;
  connections_[id] = std::move(connection);
  if (!added.Adopt(std::move(accepted))) Drop(id);
}

void FeedServer::Drop(ConnectionId id) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  std::unique_ptr<Connection> owned = std::move(it->second);
  connections_.erase(it);
  waiting_.erase(id);
  owned->Close();
  loop_.DeferDelete(std::move(owned));
}

}  // namespace dappletiller
