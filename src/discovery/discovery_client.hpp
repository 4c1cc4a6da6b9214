// Follows the list of workers over HTTP: a watch that, once begun, goes on by itself whatever fails
// (limits/watch_times says when it is asked again), and single fetches.
#ifndef DAPPLETILLER_DISCOVERY_DISCOVERY_CLIENT_HPP_
#define DAPPLETILLER_DISCOVERY_DISCOVERY_CLIENT_HPP_

#include <memory>
#include <random>
#include <string>

#include "config/platform_config.hpp"
#include "dispatch/request_dispatcher.hpp"
#include "http/message.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"
#include "io/stream_socket.hpp"

namespace dappletiller {

struct DiscoveryOptions {
  Endpoint where;
  std::string host;
  Names names;
  std::uint64_t version = 0;  // of the list that is held at the start
  Micros ask_within = 0;
  // The list is pushed: the address is an agent on this machine, which is asked without the module's word.
  bool pushed = false;
  std::uint64_t seed = 0;  // of the pauses between calls
};

class Discovery final : public ListSource {
 public:
  Discovery(EventLoop& loop, Log& log, Gateway& gateway, DiscoveryOptions options);
  ~Discovery();

  // Where lists are pushed, follows them from now on for as long as it lives; else waits for the module.
  void Start();
  // Of the list that is held; it is handed on in the same round of the loop.
  std::uint64_t version() const { return version_; }
  // Begins the watch; nothing to do while it goes on, a pause after a failed call included.
  void Watch() override;
  // One call for the whole list; its failure is told to the module, which may ask again.
  void Fetch() override;
  // Goes on at another address, beginning with the whole list: a version there may mean something else.
  void Move(const Endpoint& where, std::string host);

 private:
  class Asker;
  void Ask(std::unique_ptr<Asker>& asker, bool watch, Micros wait);
  Micros WatchWait() const;
  void Answered(Asker& asker, const http::Message& answer);
  void Silent(Asker& asker);
  void Failed(Asker& asker, const char* why);
  Micros Pause(const Asker& asker);

  EventLoop& loop_;
  Log& log_;
  Gateway& gateway_;
  DiscoveryOptions options_;
  std::uint64_t version_;
  bool whole_ = false;  // the version held is not this discovery's: only the whole list will do
  int failures_ = 0;    // of the watch, in a row
  std::mt19937_64 random_;
  std::unique_ptr<Asker> watch_;
  std::unique_ptr<Asker> fetch_;
  Timer again_;  // until the watch's next call, after one that failed
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DISCOVERY_DISCOVERY_CLIENT_HPP_
