#include "rig/standins.hpp"

#include <doctest/doctest.h>

#include <memory>

namespace dappletiller::rig {
namespace {

TEST_CASE("a question that is open when the run ends goes with it, unanswered") {
  Loop loop;
  std::uint16_t port = 0;
  Fd silent = ListenOn({0x7f000001, 0}, 8, "a console that never answers", &port);
  auto answered = std::make_shared<int>(0);
  {
    Questions questions(loop);
    questions.Put({0x7f000001, port}, "GET", "/_fleet", 60'000'000,
                  [answered](int, const std::string&) { ++*answered; });
    loop.Round(1'000);
    CHECK(answered.use_count() > 1);
  }
  CHECK(answered.use_count() == 1);
  CHECK(*answered == 0);
}

}  // namespace
}  // namespace dappletiller::rig
