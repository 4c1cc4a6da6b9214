#include "control_server/feed_server.hpp"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <system_error>
#include <utility>
#include <vector>

#include "config_feed/page_json.hpp"
#include "http/parser.hpp"
#include "http/writer.hpp"
#include "io/stream_socket.hpp"

namespace dappletiller {
namespace {

constexpr int kAcceptsAtOnce = 64;
constexpr Micros kRetryAccept = 50'000;

}  // namespace

class FeedServer::Conn final : public StreamSocket::Callbacks {
 public:
  Conn(FeedServer& server, std::uint64_t id)
      : socket(server.loop_, *this), server_(server), id_(id), timer_(server.loop_) {
    Rest();
  }

  std::span<char> ReceiveBuffer() override {
    std::span<char> room = parser_.ReceiveBuffer();
    return room.empty() ? std::span<char>(sink_) : room;  // to hear the end of one that waits
  }
  void OnReceived(std::size_t n) override {
    if (parser_.done() || parser_.bad()) return;  // nobody asks ahead; what comes is read away
    parser_.Commit(n);
    if (parser_.bad()) return Say(parser_.error_status(), "the question is malformed or too large", 0, false);
    if (!parser_.done() || waiting_ || writing_) return;
    Take();
  }
  void OnFlushed() override {
    if (!std::exchange(writing_, false)) return;
    if (!keep_) return server_.Drop(id_);
    Rest();
    if (parser_.done()) Take();
  }
  void OnClosed(StreamEnd) override { server_.Drop(id_); }

  // Something has changed: only what is in its scope is news to it.
  void Wake(const std::set<std::string, std::less<>>& services) {
    bool news = asked_.question.scope.all ||
                std::any_of(services.begin(), services.end(), [this](const std::string& service) {
                  return asked_.question.scope.Takes(service);
                });
    if (waiting_ && news) Tell(true);
  }

  StreamSocket socket;

 private:
  void Rest() {
    timer_.Set(kIdleTime, [this] { server_.Drop(id_); });
  }

  void Take() {
    http::MessageRef request = parser_.TakeMessage();
    keep_ = request->keep_alive();
    if (request->method() != "GET") return Say(405, "GET only", 0, false);
    auto asked = feed::ReadQuestion(request->target());
    if (!asked)
      return Say(request->path() == "/feed" ? 400 : 404, "no question of the settings feed", 0, false);
    asked_ = std::move(*asked);
    until_ = server_.loop_.Now() + asked_.wait_ms * 1000;
    Tell(asked_.wait_ms > 0);
  }

  void Tell(bool may_wait) {
    Micros now = server_.loop_.Now();
    feed::Reply reply = server_.machine_.Hear(now, asked_.self, asked_.question, may_wait && now < until_);
    if (reply.kind == feed::Reply::Kind::kWait) {
      waiting_ = true;
      server_.waiting_.insert(id_);
      timer_.Set(until_ - now, [this] { Tell(false); });
      return;
    }
    waiting_ = false;
    server_.waiting_.erase(id_);
    if (reply.kind == feed::Reply::Kind::kBusy)
      return Say(503, "no place for a whole now", reply.retry_after, keep_);
    if (reply.kind == feed::Reply::Kind::kBehind) return Say(409, "this machine is behind", 0, keep_);
    ++server_.pages_;
    Say(200, feed::WritePage(reply.page), 0, keep_, "application/json");
  }

  void Say(int status, std::string_view text, Micros retry_after, bool keep,
           std::string_view type = "text/plain") {
    keep_ = keep;
    writing_ = true;
    server_.bytes_ += text.size();
    timer_.Set(kIdleTime, [this] { server_.Drop(id_); });
    http::WriteStatusResponse(status, text, retry_after, keep, &socket.output(), type);
    socket.Flush();
  }

  FeedServer& server_;
  std::uint64_t id_;
  Timer timer_;
  http::Parser parser_{http::Parser::Kind::kRequest};
  std::array<char, 512> sink_{};
  feed::Asked asked_;
  Micros until_ = 0;
  bool keep_ = true;
  bool waiting_ = false;
  bool writing_ = false;
};

FeedServer::FeedServer(EventLoop& loop, Log& log, feed::ControlMachine& machine)
    : loop_(loop), log_(log), machine_(machine), pause_(loop) {}

FeedServer::~FeedServer() {
  if (listener_) loop_.Unwatch(token_, listener_.get());
}

void FeedServer::Listen(const Endpoint& where) {
  BoundSocket bound = BindTcpListener(where, SOMAXCONN, "control bind");
  listener_ = std::move(bound.fd);
  port_ = bound.port;
  token_ = loop_.Watch(listener_.get(), this);
  if (token_ == 0) throw std::system_error(errno, std::generic_category(), "control bind: epoll_ctl");
}

void FeedServer::Changed(const std::set<std::string, std::less<>>& services) {
  if (services.empty()) return;
  std::vector<std::uint64_t> all(waiting_.begin(), waiting_.end());
  for (std::uint64_t id : all) {
    if (auto it = conns_.find(id); it != conns_.end()) it->second->Wake(services);
  }
}

void FeedServer::OnReady(std::uint32_t) { Accept(); }

void FeedServer::Accept() {
  for (int i = 0;; ++i) {
    if (i == kAcceptsAtOnce) return loop_.NotifyAgain(token_, EPOLLIN);
    FileDescriptor fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      if (errno == EAGAIN || errno == EWOULDBLOCK) return;
      log_.Info("control: accept failed: %s", std::strerror(errno));
      pause_.Set(kRetryAccept, [this] { Accept(); });
      return;
    }
    if (conns_.size() >= kMostConnections) {
      log_.Info("control: %zu followers are connected, a new one is turned away", conns_.size());
      continue;
    }
    auto conn = std::make_unique<Conn>(*this, ++ids_);
    Conn& begun = *conn;
    std::uint64_t id = ids_;
    conns_[id] = std::move(conn);
    if (!begun.socket.Adopt(std::move(fd))) Drop(id);
  }
}

void FeedServer::Drop(std::uint64_t id) {
  auto it = conns_.find(id);
  if (it == conns_.end()) return;
  std::unique_ptr<Conn> owned = std::move(it->second);
  conns_.erase(it);
  waiting_.erase(id);
  owned->socket.Close();
  loop_.DeferDelete(std::move(owned));
}

}  // namespace dappletiller
