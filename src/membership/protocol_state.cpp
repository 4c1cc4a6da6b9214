#include "membership/protocol_state.hpp"

#include <cmath>
#include <limits>
#include <random>
#include <utility>

#include "membership/fingerprint.hpp"

namespace dappletiller::membership {

ProtocolState::ProtocolState(Settings initial, TestFaults planted, std::uint64_t seed)
    : settings(std::move(initial)), faults(planted), random(seed), probe_order(members, random) {
  self.name = settings.name;
  self.boot = settings.boot;
  self.address = settings.address;
  self.zone = settings.zone;
  self.program = settings.program;
}

int ProtocolState::MaxTransmissions() const {
  if (faults.never_retire_updates) return std::numeric_limits<int>::max();
  const double members_and_self = static_cast<double>(members.living()) + 2;
  return settings.retransmit_multiplier * static_cast<int>(std::ceil(std::log2(members_and_self)));
}

std::uint64_t ProtocolState::Digest() const { return members.digest() ^ Fingerprint(self.name, self.boot); }

Duration ProtocolState::RandomBelow(Duration limit) {
  return Duration(static_cast<Micros>(random(static_cast<std::uint64_t>(limit.count()))));
}

bool ProtocolState::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

}  // namespace dappletiller::membership
