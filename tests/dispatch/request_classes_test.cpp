#include "dispatch/request_classes.hpp"

#include <doctest/doctest.h>

#include <string>

namespace dappletiller {
namespace {

NamedClass Named(const std::string& name, balancer::Micros timeout,
                 balancer::Effect effect = balancer::Effect::kSafe) {
  balancer::ClassSettings settings;
  settings.client_timeout = timeout;
  settings.effect = effect;
  return {name, settings};
}

TEST_CASE("a class that leaves the configuration stays known but does not count for the longest timeout") {
  RequestClasses classes;
  classes.Replace({Named("short", 1000), Named("long", 4000)});
  CHECK(classes.longest_timeout() == 4000);
  const int index = classes.Find("long")->index;
  classes.Replace({Named("short", 2000)});
  CHECK(classes.longest_timeout() == 2000);
  REQUIRE(classes.Find("long") != nullptr);
  CHECK_FALSE(classes.Find("long")->listed);
  classes.Replace({Named("long", 3000), Named("short", 2000)});
  CHECK(classes.Find("long")->listed);
  CHECK(classes.Find("long")->index == index);
  CHECK(classes.longest_timeout() == 3000);
}

TEST_CASE("a series of reloads with ever new classes grows the table without end") {
  RequestClasses classes;
  for (int i = 0; i < 10'000; ++i) classes.Replace({Named("kept", 1000), Named(std::to_string(i), 1000)});
  CHECK(classes.entries().size() <= RequestClasses::kMaxUnlisted + 3);
  CHECK(classes.Find("kept")->listed);
  CHECK(classes.Find("9998") != nullptr);
  CHECK(classes.Find("1") == nullptr);
}

TEST_CASE("a similar class has the same effect if there is one, and the closest timeout") {
  RequestClasses classes;
  CHECK(classes.FindSimilar(Named("", 1000).settings) == nullptr);
  classes.Replace({Named("a", 1000), Named("b", 5000), Named("c", 1000, balancer::Effect::kUnsafe)});
  CHECK(classes.FindSimilar(Named("", 4000).settings)->name == "b");
  CHECK(classes.FindSimilar(Named("", 4000, balancer::Effect::kUnsafe).settings)->name == "c");
  CHECK(classes.FindSimilar(Named("", 900, balancer::Effect::kKeyed).settings)->name == "a");
}

}  // namespace
}  // namespace dappletiller
