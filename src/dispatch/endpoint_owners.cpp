#include "dispatch/endpoint_owners.hpp"

namespace dappletiller {
namespace {

constexpr int kPortBits = 16;

}  // namespace

EndpointOwners::EndpointKey EndpointOwners::KeyOf(const Endpoint& endpoint) {
  return EndpointKey{endpoint.address} << kPortBits | endpoint.port;
}

void EndpointOwners::OnListed(const std::string& uid, const Endpoint& endpoint, Micros started_at) {
  const auto known = by_uid_.find(uid);
  const bool is_there = known != by_uid_.end() && known->second.endpoint == endpoint;
  const std::uint64_t listed_since = is_there ? known->second.age.listed_since : list_number_;
  const Listing listing{endpoint, {started_at, listed_since}};
  if (is_there && known->second.age == listing.age) return;
  OnRemoved(uid);
  Insert(uid, listing);
}

void EndpointOwners::Insert(const std::string& uid, const Listing& listing) {
  const EndpointKey key = KeyOf(listing.endpoint);
  UidsByAge& uids = by_endpoint_[key];
  const bool is_shared = !uids.empty();
  uids.insert({listing.age, uid});
  by_uid_[uid] = listing;
  if (is_shared) affected_.insert(key);
}

void EndpointOwners::OnRemoved(const std::string& uid) {
  const auto known = by_uid_.find(uid);
  if (known == by_uid_.end()) return;
  const EndpointKey key = KeyOf(known->second.endpoint);
  const auto uids = by_endpoint_.find(key);
  uids->second.erase({known->second.age, uid});
  by_uid_.erase(known);
  if (uids->second.empty()) {
    by_endpoint_.erase(uids);
  } else {
    affected_.insert(key);
  }
}

bool EndpointOwners::IsSuperseded(const std::string& uid) const {
  const auto known = by_uid_.find(uid);
  if (known == by_uid_.end()) return false;
  const Age newest = by_endpoint_.at(KeyOf(known->second.endpoint)).rbegin()->first;
  return newest > known->second.age;
}

std::set<std::string> EndpointOwners::TakeAffected() {
  std::set<std::string> affected;
  for (const EndpointKey key : std::exchange(affected_, {})) {
    const auto uids = by_endpoint_.find(key);
    if (uids == by_endpoint_.end()) continue;
    for (const auto& [age, uid] : uids->second) affected.insert(uid);
  }
  return affected;
}

}  // namespace dappletiller
