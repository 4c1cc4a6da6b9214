// In which order members are probed: a shuffled list, gone through and shuffled anew (SWIM, 4.3), so that the
// time until a failed member is probed is bounded. Also draws random members for gossip and indirect probes.
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
  // Both must outlive it.
  ProbeOrder(MemberTable& members, pcg64& random) : members_(members), random_(random) {}

  // A member that joined: somewhere in this round or, if its place is past already, in the next one.
  void InsertAtRandom(const std::string& name);
  // A member that came back; it may stand in the list already.
  void Append(const std::string& name);
  void Clear();

  // The next living member; null if there is none.
  const Member* Next();
  // Up to `count` different members that are alive, without the one named `except`. Gives up after a few
  // draws, so it may return fewer than there are.
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
