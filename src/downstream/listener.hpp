// The downstream side over HTTP: accepts client connections, passes their requests to the dispatcher and
// writes the final responses. Knows no server and retries nothing. Lives on the event loop.
#ifndef DAPPLETILLER_DOWNSTREAM_LISTENER_HPP_
#define DAPPLETILLER_DOWNSTREAM_LISTENER_HPP_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/memory_budget.hpp"
#include "dispatch/request_dispatcher.hpp"
#include "io/descriptor_limit.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"
#include "io/stream_socket.hpp"
#include "limits/connection_admission.hpp"

namespace dappletiller {

struct ListenerOptions {
  Endpoint listen;
  std::size_t connection_slots = 0;  // maximum number of client connections with requests
  // How long after connecting a client's first request may be on its way: some round trips and a pause of the
  // client.
  Micros first_request_grace = 100'000;
  std::vector<std::string> tenants = {};  // in the order of the settings
  // A client that accepts no bytes of its response for this long is disconnected. `linger_for` applies once
  // the kernel has all of a last response; it is also the time for the client to read it.
  Micros write_timeout = 10'000'000;
  Micros linger_timeout = 1'000'000;
  // Memory for requests with long bodies; null: bodies of up to http::kMaxBodySize only.
  std::shared_ptr<MemoryBudget> long_bodies = nullptr;
  // Memory for received requests, up to the usual size of each; null: no limit.
  std::shared_ptr<MemoryBudget> request_memory = nullptr;
};

class DownstreamListener final : private EventHandler {
 public:
  DownstreamListener(EventLoop& loop, Log& log, RequestDispatcher& dispatcher, DescriptorLimit& descriptors,
                     ListenerOptions options);
  ~DownstreamListener();

  void Listen();  // throws std::system_error
  // Serves on a listening TCP socket that the platform holds for all processes of this proxy, instead of its
  // own socket. Takes ownership of the descriptor. Throws std::system_error if it is not such a socket.
  void Inherit(int fd);
  bool inherited() const { return inherited_; }
  std::uint16_t port() const { return port_; }
  // From now on every response asks its client to close the connection; new connections are still served. New
  // requests are answered by `answer_by` (on the event loop's clock), since the process may terminate
  // afterwards.
  void Drain(Micros answer_by) {
    draining_ = true;
    answer_by_ = answer_by;
  }
  // Lame-duck mode: `/up` reports 503, every response asks its client to close the connection, and idle
  // connections are closed. Switching it off restores normal service unless a SIGTERM has been received.
  void SetLameDuck(bool on);
  bool lame_duck() const { return lame_duck_; }
  // Accepts no more connections; open ones are still served.
  void StopAccepting();
  // Accepts no more connections; busy ones end with their response, idle ones now. While clients wait in the
  // accept queue and no descriptor is available, the listener stays open: to be called again until closed().
  void Close();
  bool closed() const { return closed_; }
  std::size_t connections() const { return connections_.size(); }
  // Connections whose response is passed on as it is received.
  std::size_t streaming_connections() const;
  // Sets the number of connection slots; excess connections are closed when they become idle.
  void SetConnectionSlots(std::size_t slots) { admission_.Resize(slots); }
  // Returns the index of a tenant, adding it if necessary.
  int AddTenant(const std::string& name);
  // Removes a tenant and returns its former index, which may be reused, or -1 if it is unknown. Open requests
  // are not affected.
  int RemoveTenant(const std::string& name);

 private:
  class Connection;
  using ConnectionMap = std::unordered_map<limits::ConnectionAdmission::Id, std::unique_ptr<Connection>>;

  void OnReady(std::uint32_t events) override;
  int FindTenant(std::string_view name) const;  // -1: unknown
  void Accept();
  void RetryAccept();
  void CountClose(ClientClose why);
  bool HasWaitingClients() const;
  bool CloseIfUnused(limits::ConnectionAdmission::Id id);
  void CloseExcessIdle();
  void Remove(Connection& connection);
  void Watch();
  void CloseIdle();
  // Whether a connection is closed as soon as it is idle.
  bool closes_idle() const { return closed_ || lame_duck_; }

  EventLoop& loop_;
  Log& log_;
  RequestDispatcher& dispatcher_;
  DescriptorLimit& descriptors_;
  ListenerOptions options_;
  std::unordered_map<std::string, int> tenant_by_name_;
  int next_tenant_ = 0;               // next index that was never used
  std::vector<int> free_tenants_;     // indexes of removed tenants
  std::vector<char> discard_buffer_;  // for data that is discarded
  FileDescriptor listener_;
  FileDescriptor unregistered_;  // an accepted connection that epoll had no memory for yet
  EventLoop::WatchId token_ = 0;
  Timer accept_retry_;  // retry after a failed accept
  std::uint16_t port_ = 0;
  ConnectionMap connections_;
  limits::ConnectionAdmission admission_;
  limits::ConnectionAdmission::Id last_id_ = 0;
  bool draining_ = false;
  Micros answer_by_ = 0;  // once draining
  bool lame_duck_ = false;
  bool inherited_ = false;
  bool closed_ = false;
  bool clients_waiting_ = false;  // clients are waiting in the accept queue
  long closed_early_ = 0;         // since the last report
  Micros reported_at_ = 0;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DOWNSTREAM_LISTENER_HPP_
