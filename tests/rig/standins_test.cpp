#include "rig/standins.hpp"

#include <doctest/doctest.h>

#include <memory>

#include "rig/links.hpp"

namespace dappletiller::rig {
namespace {

TEST_CASE("a question that is open when the run ends goes with it, unanswered") {
  EventLoop loop;
  const BoundSocket silent = BindTcpListener({0x7f000001, 0}, 8, "a console that never answers");
  const std::uint16_t port = silent.port;
  auto answered = std::make_shared<int>(0);
  {
    Questions questions(loop);
    questions.Put({0x7f000001, port}, "GET", "/_fleet", 60'000'000,
                  [answered](int, const std::string&) { ++*answered; });
    loop.RunOnce(1'000);
    CHECK(answered.use_count() > 1);
  }
  CHECK(answered.use_count() == 1);
  CHECK(*answered == 0);
}

TEST_CASE("a stream that is freed late doesn't forget the sink who has its port by now") {
  Callers callers;
  callers.Say({80, 4000}, 1, "p1");
  callers.Say({80, 4000}, 2, "p7");
  callers.Forget({80, 4000}, 1);
  CHECK(callers.Of({80, 4000}) == "p7");
  callers.Forget({80, 4000}, 2);
  CHECK(callers.Of({80, 4000}) == "");
}

TEST_CASE("two streams from one port to different places are two callers'") {
  Callers callers;
  callers.Say({80, 4000}, 1, "p1");
  callers.Say({81, 4000}, 2, "p7");
  CHECK(callers.Of({80, 4000}) == "p1");
  CHECK(callers.Of({81, 4000}) == "p7");
  callers.Forget({81, 4000}, 2);
  CHECK(callers.Of({80, 4000}) == "p1");
}

}  // namespace
}  // namespace dappletiller::rig
