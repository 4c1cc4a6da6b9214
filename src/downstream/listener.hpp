// The clients' side over HTTP: takes connections and calls, gives final answers.
#ifndef DAPPLETILLER_DOWNSTREAM_LISTENER_HPP_
#define DAPPLETILLER_DOWNSTREAM_LISTENER_HPP_

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "dispatch/request_dispatcher.hpp"
#include "http/body_memory.hpp"
#include "io/descriptor_limit.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"
#include "io/stream_socket.hpp"
#include "limits/connection_admission.hpp"

namespace dappletiller {

struct ListenerOptions {
  Endpoint listen;
  std::vector<std::string> classes;       // by their places in the settings
  std::vector<Micros> patience;           // of a class: no client waits longer
  std::vector<balancer::Effect> effects;  // of a class: which method and key go with it
  std::size_t connection_slots = 0;       // connections that clients hold for calls, at most
  // After connecting, a client's first request may take this long to come: some round trips, a pause of its
  // own.
  Micros first_request_grace = 100'000;
  // Of a class: the module's class that decides for it; empty: the same place. A class that came with a
  // reload is decided as the module's class of the same effect with the nearest deadline.
  std::vector<int> decided_as;
  std::vector<std::string> tenants = {};  // by their places in the settings
  // A client that takes nothing of its answer for this long is cut off; the second one holds once the kernel
  // has all of a last answer, and is also the time for the client to read it.
  Micros write_for = 10'000'000;
  Micros linger_for = 1'000'000;
  // For requests with long bodies; none: bodies of the usual size only.
  std::shared_ptr<BodyMemory> long_bodies = nullptr;
};

class DownstreamListener final : private EventHandler {
 public:
  DownstreamListener(EventLoop& loop, Log& log, RequestDispatcher& dispatcher, DescriptorLimit& descriptors,
                     ListenerOptions options);
  ~DownstreamListener();

  void Listen();  // throws std::system_error
  // Serves on a listening TCP socket that the platform holds for every process of this proxy, instead of
  // one of its own (the descriptor is taken over). Throws std::system_error if it is no such socket.
  void Inherit(int fd);
  bool inherited() const { return inherited_; }
  std::uint16_t port() const { return port_; }
  // From now on every answer asks its client to leave; new connections are still served. Calls that come from
  // now on are answered by `answer_by` (on the loop's clock): the process may be gone after it.
  void Drain(Micros answer_by) {
    draining_ = true;
    answer_by_ = answer_by;
  }
  // The operators' lame duck: `/up` says no, every answer asks its client to leave and idle connections go
  // now; off again, all is as before unless a SIGTERM came meanwhile.
  void Lameduck(bool on);
  bool lameduck() const { return lameduck_; }
  // No more connections are taken; those open are served on.
  void StopAccepting();
  // No more connections; what is open ends with its answer, what is idle ends now. While connections wait in
  // the kernel for which there is no room, the listener stays: to be called again until closed().
  void Close();
  bool closed() const { return closed_; }
  std::size_t connections() const { return conns_.size(); }
  // Of the connections that clients may hold for calls; the surplus goes as soon as it is unused.
  void Resize(std::size_t slots) { admission_.Resize(slots); }
  // Classes from a reload: a new name is added, a known one takes its new patience, and one with another
  // effect is decided as a new one from then on; calls that are open keep what they had. A class that is no
  // longer named stays known, so that a late client is still served.
  void Retune(const std::vector<std::string>& names, const std::vector<Micros>& patience,
              const std::vector<balancer::Effect>& effects);
  // The place of a tenant for what comes from now on: the one it has, or one that is free.
  int NameTenant(const std::string& name);
  // Its place is free again; -1: it had none. Requests that are open keep what was decided for them.
  int ForgetTenant(const std::string& name);

 private:
  class Conn;
  using ConnMap = std::unordered_map<limits::ConnectionAdmission::Id, std::unique_ptr<Conn>>;

  void OnReady(std::uint32_t events) override;
  void Accept();
  bool Pending() const;
  bool DropIfUnused(limits::ConnectionAdmission::Id id);
  void Trim();
  void Drop(Conn& conn);
  void Watch();
  void CloseIdle();

  EventLoop& loop_;
  Log& log_;
  RequestDispatcher& dispatcher_;
  DescriptorLimit& descriptors_;
  ListenerOptions options_;
  std::unordered_map<std::string, int> class_of_;
  std::unordered_map<std::string, int> tenant_of_;
  int places_named_ = 0;                      // of tenants, ever
  std::vector<int> free_places_;              // of tenants that were forgotten
  std::size_t modules_classes_ = 0;           // the classes that the module was made with come first
  std::unordered_set<std::string> open_ids_;  // of the calls that are open
  std::vector<char> waste_;                   // where what nobody will read goes
  FileDescriptor listener_;
  EventLoop::WatchId token_ = 0;
  Timer pause_;  // after accept failed for want of descriptors
  std::uint16_t port_ = 0;
  ConnMap conns_;
  limits::ConnectionAdmission admission_;
  limits::ConnectionAdmission::Id ids_ = 0;
  bool draining_ = false;
  Micros answer_by_ = 0;  // once draining
  bool lameduck_ = false;
  bool inherited_ = false;
  bool closed_ = false;
  bool waiting_ = false;  // connections wait in the kernel
  long ended_early_ = 0;  // since it was last told
  Micros told_at_ = 0;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DOWNSTREAM_LISTENER_HPP_
