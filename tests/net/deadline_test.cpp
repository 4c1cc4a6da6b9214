// A request is answered by its deadline, whatever else happens in the process around that moment.
#include <string>

#include "support.hpp"

namespace dappletiller::testing {
namespace {

std::string CheckWithin(const std::string& id, int milliseconds) {
  return "GET /api?k=1 HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id +
         "\r\nRequest-Class: check\r\nRequest-Timeout: " + std::to_string(milliseconds) + "m\r\n\r\n";
}

// Waits until the loop's clock has passed `when`, while the loop itself stands still.
void StandStillPast(Rig& rig, Micros when) {
  while (rig.loop.Now() <= when) ::poll(nullptr, 0, 1);
}

// The module keeps all its alarms behind one timer. An event that is handled when that timer is due but has
// not run yet answers the first request and asks for the second one's wake-up. Were that wake-up dropped in
// favour of the one that is due, the second request would stay unanswered until some other event came along.
TEST_CASE("a held request is answered at its deadline, whatever event runs the alarm before it") {
  enum class Other { kList, kRequest, kClientLeaves };
  Other other = Other::kList;
  SUBCASE("a list of servers") { other = Other::kList; }
  SUBCASE("a request") { other = Other::kRequest; }
  SUBCASE("a client that leaves") { other = Other::kClientLeaves; }
  constexpr int kFirstWithin = 100;   // milliseconds
  constexpr int kSecondWithin = 300;  // before the module looks at anything else that is held
  Rig rig;                            // no server is known: requests are held, and nothing else happens
  Peer first = rig.Client();
  Peer second = rig.Client();
  Peer third = rig.Client();
  if (other == Other::kClientLeaves) third.Say(Check("third"));
  rig.Until("all are connected", [&] { return rig.acceptor.connections() == 3; });
  first.Say(CheckWithin("first", kFirstWithin));
  second.Say(CheckWithin("second", kSecondWithin));
  std::size_t held = other == Other::kClientLeaves ? 3 : 2;
  rig.Until("they are held", [&] { return rig.gateway.open_calls() == held; });
  // What happens next lies in the kernel when the first deadline's timer is due.
  if (other == Other::kRequest) third.Say(Check("third"));
  if (other == Other::kClientLeaves) third.Close();
  StandStillPast(rig, rig.loop.Now() + kFirstWithin * kMs);
  if (other == Other::kList) rig.Know({}, WorkerList::Kind::kFull);
  rig.Hears(first, "HTTP/1.1 503 ");
  rig.Hears(second, "HTTP/1.1 503 ");
}

}  // namespace
}  // namespace dappletiller::testing
