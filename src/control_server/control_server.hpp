// One machine of the settings feed (`dappletiller control`), from its start to its end: reads the origin's
// file if it has one, follows the others, tells proxies and machines.
#ifndef DAPPLETILLER_CONTROL_SERVER_CONTROL_SERVER_HPP_
#define DAPPLETILLER_CONTROL_SERVER_CONTROL_SERVER_HPP_

#include <string>

namespace dappletiller {

// Until SIGTERM; the exit code (0: ended as asked, 1: it could not start, said in one line; 2: a bad file).
int Control(const std::string& operator_path);

}  // namespace dappletiller

#endif  // DAPPLETILLER_CONTROL_SERVER_CONTROL_SERVER_HPP_
