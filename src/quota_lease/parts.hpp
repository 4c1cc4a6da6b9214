// Parts of what all proxies share (the cold allowance of a worker, tenants' quotas): how much of the whole
// one process may use, so that the sum over all processes never passes the whole, at any instant, whatever
// is lost, late, cut off, paused or dead. docs/design/parts.md has the proof; in short:
//
//  - The whole is cut into as many slices as there are keepers. Each keeper lends out its own slice, and
//    nothing else, in loans that end by themselves. A holder uses the sum of its loans.
//  - A loan ends for the holder `lease` after it SENT the question; for the keeper, `lease` and a margin for
//    drift after it answered. So the holder always stops first, and no message has to arrive for that.
//  - A smaller loan replaces a larger one in the keeper's book only once the holder has said that it has
//    taken it; until then the larger one counts.
//  - A keeper that has just started lends nothing until all that its predecessor may have lent is over.
//
// Pure: time comes in, monotonic microseconds of one process; no two clocks are compared, but they are
// taken to run at the same pace to within kDrift. Not thread-safe.
#ifndef DAPPLETILLER_QUOTA_LEASE_PARTS_HPP_
#define DAPPLETILLER_QUOTA_LEASE_PARTS_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"

namespace dappletiller::limits {

constexpr double kDrift = 0.02;              // two clocks may run so much apart, both ways together
constexpr std::uint32_t kSlice = 1'000'000;  // a slice in the units of loans

struct LoanAsk {
  std::uint64_t boot = 0;    // which start of the holder
  std::uint64_t number = 0;  // grows with each question of that start
  std::uint64_t taken = 0;   // the latest answer that the holder goes by; all older ones it has dropped
  bool give_back = false;    // it uses nothing any more, and asks for nothing
  std::uint32_t keepers =
      0;  // how many slices it thinks there are: a keeper that thinks otherwise lends nothing
};

struct LoanAnswer {
  std::uint64_t boot = 0;    // of the holder, as asked
  std::uint64_t number = 0;  // as asked
  std::uint32_t units = 0;   // of kSlice
};

// As bytes (little endian, fixed length); nothing if they are not that.
std::string Encode(const LoanAsk& ask);
std::string Encode(const LoanAnswer& answer);
std::optional<LoanAsk> DecodeAsk(std::string_view bytes);
std::optional<LoanAnswer> DecodeAnswer(std::string_view bytes);

class Keeper {
 public:
  static constexpr std::size_t kMostHolders = 8192;
  // `started`: when this process began; nothing is lent before `started` + lease + margin.
  Keeper(std::uint32_t keepers, Micros lease, Micros started);
  // Answers a question of `holder`; nothing if it gives back, is late or comes from elsewhere.
  std::optional<LoanAnswer> Ask(Micros now, const std::string& holder, const LoanAsk& ask);
  std::uint32_t Lent(Micros now);  // units that somebody may be using
  std::size_t holders() const { return book_.size(); }

 private:
  struct Loan {
    std::uint32_t units = 0;
    Micros ends = 0;
  };
  struct Holder {
    std::uint64_t boot = 0;
    std::uint64_t number = 0;
    std::map<std::uint64_t, Loan> loans;  // by the question's number; the largest of them counts
    Micros asked = 0;
  };
  static std::uint32_t Counts(const Holder& holder);
  void Expire(Micros now);

  std::uint32_t keepers_;
  Micros lease_;
  Micros opens_;
  // A name may have several starts at a time in here: a predecessor's loan runs until its end.
  std::map<std::pair<std::string, std::uint64_t>, Holder> book_;
};

class Holder {
 public:
  Holder(std::uint64_t boot, std::vector<std::string> keepers, Micros lease);
  // The question to put to `keeper` now; it is remembered by its number.
  LoanAsk Ask(Micros now, const std::string& keeper, bool give_back = false);
  void Answer(const std::string& keeper, const LoanAnswer& answer);
  // What may be used of the whole at `now` (0 to 1), and until when at the longest that holds.
  double Part(Micros now) const;
  Micros Until(Micros now) const;
  const std::vector<std::string>& keepers() const { return keepers_; }
  Micros lease() const { return lease_; }
  // From this instant nothing is used; what was lent is to be given back.
  void Stop() { stopped_ = true; }
  // Whether a keeper's loan is in force, for operators.
  bool Lends(Micros now, const std::string& keeper) const;

 private:
  static constexpr std::size_t kOpenAsks = 16;
  struct From {
    std::map<std::uint64_t, Micros> asked;  // when each open question was sent
    std::uint64_t taken = 0;
    std::uint32_t units = 0;
    Micros ends = 0;
  };
  std::uint64_t boot_;
  std::uint64_t number_ = 0;
  std::vector<std::string> keepers_;
  Micros lease_;
  std::map<std::string, From> from_;
  bool stopped_ = false;
};

}  // namespace dappletiller::limits

#endif  // DAPPLETILLER_QUOTA_LEASE_PARTS_HPP_
