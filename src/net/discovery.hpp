// Follows the list of workers over HTTP: a watch that goes on by itself until it fails, and single fetches.
#ifndef DAPPLETILLER_NET_DISCOVERY_HPP_
#define DAPPLETILLER_NET_DISCOVERY_HPP_

#include <memory>
#include <string>

#include "net/channel.hpp"
#include "net/config.hpp"
#include "net/gateway.hpp"
#include "net/log.hpp"
#include "net/loop.hpp"

namespace dappletiller {

struct DiscoveryOptions {
  Endpoint where;
  std::string host;
  Names names;
  std::uint64_t version = 0;  // of the list that is held at the start
  Micros ask_within = 0;
  // The list is pushed: the address is an agent on this machine, which is asked without the module's word.
  bool pushed = false;
};

class Discovery final : public ListSource {
 public:
  Discovery(Loop& loop, Log& log, Gateway& gateway, DiscoveryOptions options);
  ~Discovery();

  // Where lists are pushed, follows them from now on for as long as it lives; else waits for the module.
  void Start();
  // Of the list that is held; it is handed on in the same round of the loop.
  std::uint64_t version() const { return version_; }
  void Watch() override;
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

  Loop& loop_;
  Log& log_;
  Gateway& gateway_;
  DiscoveryOptions options_;
  std::uint64_t version_;
  bool whole_ = false;    // the version held is not this discovery's: only the whole list will do
  bool renewed_ = false;  // the watch was silent and has not answered since
  std::unique_ptr<Asker> watch_;
  std::unique_ptr<Asker> fetch_;
  Timer again_;  // pushed lists: until the next call after a failed one
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_NET_DISCOVERY_HPP_
