// Which server an address belongs to, if the endpoint list names it for several.
//
// A new machine may come up at the address of one that has gone, and the list may still name the old one for
// a while. What is sent to the old one then reaches the new one: in another cell, in slow start, without the
// keys that the old one has seen. So an address belongs to one server, the one that started last; if that is
// not known, to the one that was listed there last. Two that are listed there from the beginning, neither
// known to be newer, both keep it. Pure: no I/O, no clock.
#ifndef DAPPLETILLER_DISPATCH_ENDPOINT_OWNERS_HPP_
#define DAPPLETILLER_DISPATCH_ENDPOINT_OWNERS_HPP_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/endpoint.hpp"
#include "base/time.hpp"

namespace dappletiller {

class EndpointOwners {
 public:
  // Begins a list: what it names at another address than before is newer there than what was named earlier.
  void BeginList() { ++list_number_; }
  // The list names `uid` at `endpoint`, started at `started_at` (0: long ago or not known).
  void OnListed(const std::string& uid, const Endpoint& endpoint, Micros started_at);
  // The server has left the list.
  void OnRemoved(const std::string& uid);
  // The servers at addresses that have, or may have, another owner since the last call.
  std::set<std::string> TakeAffected();

  // Whether the server's address belongs to a newer one. False for a server that is not listed.
  bool IsSuperseded(const std::string& uid) const;

  std::size_t size() const { return by_uid_.size(); }

 private:
  // Later in this order: newer.
  struct Age {
    Micros started_at = 0;
    std::uint64_t listed_since = 0;  // number of the first list that names it there
    auto operator<=>(const Age&) const = default;
  };
  struct Listing {
    Endpoint endpoint;
    Age age;
  };
  using EndpointKey = std::uint64_t;
  using UidsByAge = std::set<std::pair<Age, std::string>>;

  static EndpointKey KeyOf(const Endpoint& endpoint);
  void Insert(const std::string& uid, const Listing& listing);

  std::uint64_t list_number_ = 0;
  std::unordered_map<std::string, Listing> by_uid_;
  std::unordered_map<EndpointKey, UidsByAge> by_endpoint_;
  std::set<EndpointKey> affected_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DISPATCH_ENDPOINT_OWNERS_HPP_
