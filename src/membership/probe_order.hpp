// The order in which members are probed: a shuffled list, reshuffled after each round (SWIM, 4.3), so that
// the time until a failed member is probed is bounded. Also selects random members for gossip and indirect
// probes.
#ifndef DAPPLETILLER_MEMBERSHIP_PROBE_ORDER_HPP_
#define DAPPLETILLER_MEMBERSHIP_PROBE_ORDER_HPP_

#include <cstddef>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "membership/member_table.hpp"

namespace dappletiller::membership {

class ProbeOrder {
 public:
  // Both must outlive this object.
  ProbeOrder(MemberTable& members, pcg64& random) : members_(members), random_(random) {}

  // Inserts a new member at a random position: it is probed in this round or, if the position has passed, in
  // the next.
  void InsertAtRandom(const std::string& name);
  // Adds a member that came back; it may be in the list already.
  void Append(const std::string& name);
  void Clear();

  // The next living member; null if there is none.
  const Member* Next();
  // Selects up to `count` different living members except `except`. May return fewer than exist, since the
  // number of draws is limited.
  std::vector<const Member*> PickAlive(std::size_t count, const std::string& except = {});

 private:
  void BeginRound();

  MemberTable& members_;
  pcg64& random_;
  std::vector<std::string> names_;
  std::size_t next_ = 0;
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_PROBE_ORDER_HPP_
