#include "rig/verdict.hpp"

#include <doctest/doctest.h>

#include "rig/script.hpp"

namespace dappletiller::rig {
namespace {

constexpr Micros kSecond = 1'000'000;

Script ColdScript() {
  return ParseScript("[fleet]\nwork_ms = 100\n[[expect]]\nthat = \"cold-sum\"\nshare = 1\n", "test");
}

// `count` requests of mean work to w1 within a tenth of a second, N being 4.
void Give(Ledger* ledger, Micros at, int count, Micros started = kSecond) {
  for (int i = 0; i < count; ++i) {
    Taken taken;
    taken.at = at + i * kSecond / 10 / count;
    taken.id = std::to_string(ledger->taken.size());
    taken.worker = "w1";
    taken.work = 100'000;
    taken.cold = true;
    taken.started = started;
    taken.bears = 400'000;
    ledger->taken.push_back(taken);
  }
}

bool Holds(const Ledger& ledger) { return Judge(ColdScript(), ledger, {}, 0, 100 * kSecond, 0).at(0).holds; }

TEST_CASE("a cold worker may get N + 2 sqrt(N) + 2 requests of mean work within the fall time, and no more") {
  Ledger ledger;
  ledger.fall = kSecond;
  Give(&ledger, 2 * kSecond, 10);
  CHECK(Holds(ledger));
  Give(&ledger, 2 * kSecond + kSecond / 2, 1);
  CHECK_FALSE(Holds(ledger));
}

TEST_CASE("what came before the fall time, or before it started anew, doesn't count with the rest") {
  Ledger ledger;
  ledger.fall = kSecond;
  Give(&ledger, 2 * kSecond, 10);
  Give(&ledger, 3 * kSecond + kSecond / 10, 10);
  Give(&ledger, 3 * kSecond + kSecond / 2, 10, 3 * kSecond + kSecond / 2);
  CHECK(Holds(ledger));
}

TEST_CASE("N is what the worker bore as the span began") {
  Ledger ledger;
  ledger.fall = kSecond;
  Give(&ledger, 2 * kSecond, 8);
  Give(&ledger, 2 * kSecond + kSecond / 2, 3);
  for (Taken& taken : ledger.taken) taken.bears = taken.at > 2 * kSecond + kSecond / 4 ? 2'000'000 : 400'000;
  CHECK_FALSE(Holds(ledger));
}

TEST_CASE("a cold worker that got nothing shows nothing") {
  Ledger ledger;
  ledger.fall = kSecond;
  CHECK_FALSE(Holds(ledger));
}

}  // namespace
}  // namespace dappletiller::rig
