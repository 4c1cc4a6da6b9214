// How long a connection may rest, on sequences of fates.
#include "limits/rest_record.hpp"

#include <doctest/doctest.h>

namespace dappletiller::limits {
namespace {

constexpr RestRecord::Micros kMs = 1000;

void Note(RestRecord& record, RestRecord::Micros rest, int kept, int broken) {
  for (int i = 0; i < kept; ++i) record.Note(rest, true);
  for (int i = 0; i < broken; ++i) record.Note(rest, false);
}

TEST_CASE("a rest that breaks is not trusted, nor a longer one; a shorter one is") {
  RestRecord record;
  CHECK(record.Trusted(500 * kMs));
  Note(record, 100 * kMs, 5, 1);
  CHECK(record.Trusted(100 * kMs));  // once is chance
  Note(record, 100 * kMs, 0, 2);
  CHECK_FALSE(record.Trusted(100 * kMs));
  CHECK_FALSE(record.Trusted(900 * kMs));
  CHECK(record.Trusted(10 * kMs));
}

// Guards against each request paying a handshake on a connection that breaks as often: seen with workers that
// broke 11% of the requests on new connections and 4 to 9% on rested ones, of which none was used again.
TEST_CASE("what breaks as often on new connections is no fault of the rest") {
  RestRecord record;
  Note(record, -1, 4637, 577);
  Note(record, 0, 417, 43);
  Note(record, 3 * kMs, 341, 20);
  Note(record, 100 * kMs, 76, 10);
  CHECK(record.Trusted(100 * kMs));
  Note(record, 300 * kMs, 20, 6);
  CHECK_FALSE(record.Trusted(300 * kMs));
  CHECK(record.Trusted(100 * kMs));
}

TEST_CASE("of the connections at hand the rest that broke the fewest is the least risk") {
  RestRecord record;
  CHECK(record.Risk(0) == 0);
  Note(record, -1, 880, 120);
  CHECK(record.Risk(5 * kMs) == doctest::Approx(0.12));  // nothing known yet: like a new one
  Note(record, 0, 88, 12);
  Note(record, 20 * kMs, 95, 5);
  Note(record, 100 * kMs, 78, 22);
  CHECK(record.Risk(20 * kMs) < record.Risk(0));
  CHECK(record.Risk(0) < record.Risk(100 * kMs));
}

TEST_CASE("what is known fades, and is tried again") {
  RestRecord record;
  Note(record, 100 * kMs, 0, 4);
  CHECK_FALSE(record.Trusted(100 * kMs));
  int rounds = 0;
  while (record.Fade()) ++rounds;
  CHECK(record.Trusted(100 * kMs));
  CHECK(rounds > 2);
  CHECK(rounds < 10);
}

}  // namespace
}  // namespace dappletiller::limits
