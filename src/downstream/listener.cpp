#include "downstream/listener.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <system_error>
#include <utility>

#include "downstream/connection.hpp"
#include "io/poll_now.hpp"
#include "io/transient_error.hpp"

namespace dappletiller {
namespace {

constexpr int kMaxAcceptsPerRound = 64;
constexpr Micros kAcceptRetryDelay = 10'000;
constexpr Micros kReportInterval = 10'000'000;         // between log lines about connections closed early
constexpr std::size_t kDiscardBufferSize = 64 * 1024;  // maximum read of data that is discarded

}  // namespace

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

int DownstreamListener::FindTenant(std::string_view name) const {
  const auto it = tenant_by_name_.find(std::string(name));
  return it == tenant_by_name_.end() ? -1 : it->second;
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
    if (closes_idle()) accepted.CloseIfUnusedAfterGrace();
  }
}

// The listener stays readable, so that waiting for its next event could take for ever.
void DownstreamListener::RetryAccept() {
  ++dispatcher_.counters().accepts_postponed;
  log_.Info("listener: accept failed: %s; retrying in 10 ms", std::strerror(errno));
  accept_retry_.Set(kAcceptRetryDelay, [this] { Accept(); });
}

std::size_t DownstreamListener::streaming_connections() const {
  return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                [](const auto& entry) { return entry.second->streaming(); }));
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
