#include "admin/console.hpp"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

#include "http/parser.hpp"
#include "http/writer.hpp"
#include "io/stream_socket.hpp"
#include "io/transient_error.hpp"

namespace dappletiller {
namespace {

constexpr int kBacklog = 64;
constexpr Micros kAcceptRetryDelay = 50'000;
constexpr Micros kCommandRetryDelay = 10'000;  // while a command is not finished

}  // namespace

class Console::Connection final : public StreamSocket::Callbacks {
 public:
  Connection(Console& console, std::uint64_t id)
      : socket(console.loop_, *this),
        console_(console),
        id_(id),
        timer_(console.loop_),
        command_retry_(console.loop_) {
    timer_.Set(kConnectionTime, [this] { OnTimeout(); });
  }

  std::span<char> ReceiveBuffer() override {
    return answered_ || command_ ? std::span<char>(sink_) : parser_.ReceiveBuffer();
  }

  void OnReceived(std::size_t n) override {
    if (answered_ || command_) return;
    parser_.Commit(n);
    if (parser_.bad()) return Finish(parser_.error_status(), "the call is malformed or too large");
    if (parser_.wants_continue())
      parser_.continued();  // the body is not read, since no console request has one
    if (!parser_.done()) return;
    http::MessageRef request = parser_.TakeMessage();
    console::Command command = console::Read(request->method(), request->target());
    if (command.status != 0) return Finish(command.status, command.reason);
    command_ = std::move(command);
    Execute();
  }

  void OnFlushed() override {
    if (answered_) console_.Drop(id_);
  }
  void OnClosed(StreamEnd) override { console_.Drop(id_); }

  void Close() {
    timer_.Clear();
    command_retry_.Clear();
    socket.Close();
  }

  StreamSocket socket;

 private:
  void Execute() {
    const ConsoleReply reply = console_.handler_.Do(*command_);
    if (reply.status != ConsoleReply::kNotYet) return Finish(reply.status, reply.text, reply.type);
    unfinished_reason_ = reply.text;
    command_retry_.Set(kCommandRetryDelay, [this] { Execute(); });
  }

  void OnTimeout() {
    if (command_) return Finish(503, unfinished_reason_);
    Finish(408, "the call took too long to arrive");
  }

  void Finish(int status, std::string_view text, std::string_view type = "text/plain") {
    if (answered_) return;
    answered_ = true;
    command_retry_.Clear();
    if (status >= 400) {
      console_.log_.Info("console: %d: %.*s", status, static_cast<int>(text.size()), text.data());
    }
    http::WriteStatusResponse(status, text, 0, false, &socket.output(), type);
    socket.Flush();
    // Do not wait for a client that does not read its response.
    timer_.Set(kConnectionTime, [this] { console_.Drop(id_); });
  }

  Console& console_;
  std::uint64_t id_;
  Timer timer_;
  Timer command_retry_;
  std::optional<console::Command> command_;  // received whole
  std::string unfinished_reason_;
  http::Parser parser_{http::Parser::Kind::kRequest};
  std::array<char, 512> sink_{};
  bool answered_ = false;
};

Console::Console(EventLoop& loop, Log& log, ConsoleHandler& handler)
    : loop_(loop), log_(log), handler_(handler), accept_retry_(loop) {}

Console::~Console() {
  if (listener_) loop_.Unwatch(token_, listener_.get());
}

void Console::Listen(const Endpoint& where) {
  BoundSocket bound = BindTcpListener(where, kBacklog, "console");
  listener_ = std::move(bound.fd);
  port_ = bound.port;
  token_ = loop_.Watch(listener_.get(), this);
  if (token_ == 0) throw std::system_error(errno, std::generic_category(), "console: epoll_ctl");
}

void Console::OnReady(std::uint32_t) { Accept(); }

void Console::Accept() {
  for (;;) {
    FileDescriptor fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) return;
      if (ConcernsOneConnection(errno)) continue;
      accept_retry_.Set(kAcceptRetryDelay, [this] { Accept(); });
      return;
    }
    // The oldest connection is closed, so that silent clients cannot use up all of them.
    if (connections_.size() >= kMaxConnections) Drop(connections_.begin()->first);
    auto conn = std::make_unique<Connection>(*this, ++ids_);
    Connection& begun = *conn;
    connections_[ids_] = std::move(conn);
    if (!begun.socket.Adopt(fd)) Drop(ids_);
  }
}

void Console::Drop(std::uint64_t id) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  std::unique_ptr<Connection> owned = std::move(it->second);
  connections_.erase(it);
  owned->Close();
  loop_.DeferDelete(std::move(owned));
}

}  // namespace dappletiller
