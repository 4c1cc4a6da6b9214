// Takes over a changed configuration and operator file in a running proxy, with all requests and connections
// kept.
#ifndef DAPPLETILLER_PROXY_RELOAD_HPP_
#define DAPPLETILLER_PROXY_RELOAD_HPP_

#include "proxy/components.hpp"

namespace dappletiller {

// Reads both files anew; the configuration read then is ProxyComponents::config. The name, the addresses that
// others know, the zones, how discovery is followed and the clock's step change only with a restart; the log
// says so. A file that is at fault changes nothing, and is logged. Throws
// std::system_error, with nothing changed, if a file cannot be read for now.
void Reload(ProxyComponents* components);

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_RELOAD_HPP_
