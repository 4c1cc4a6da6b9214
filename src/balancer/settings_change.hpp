// Which settings a running decision module takes over. Part of its implementation.
#ifndef DAPPLETILLER_BALANCER_SETTINGS_CHANGE_HPP_
#define DAPPLETILLER_BALANCER_SETTINGS_CHANGE_HPP_

#include "dappletiller/balancer.hpp"

namespace dappletiller::balancer {

// Takes over what may change while the module runs (see SettingsChanged). False, and no change: `changed`
// cannot be used.
bool TakeOver(const Settings& changed, Settings* in_use);

}  // namespace dappletiller::balancer

#endif  // DAPPLETILLER_BALANCER_SETTINGS_CHANGE_HPP_
