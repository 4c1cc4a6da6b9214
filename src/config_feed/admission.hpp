// How many wholes a control machine tells at once. What follows a version (deltas) is never held back: a
// crowd that needs the whole, as when all proxies reconnect, must not keep the others from what is new. Pure.
//
// A place is taken by name with the first page of a walk and kept while its next pages come; one whose holder
// falls silent is free again after kPlaceTime. Who finds no place is given a turn, one after another at the
// pace at which places come free, and told when that is; a turn that is far off is told in steps, and kept.
// Guards against a crowd that comes back together and finds no place again, and against the one that asks
// most often being served first.
#ifndef DAPPLETILLER_CONFIG_FEED_ADMISSION_HPP_
#define DAPPLETILLER_CONFIG_FEED_ADMISSION_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace dappletiller::feed {

class Admission {
 public:
  using Micros = std::int64_t;
  static constexpr Micros kPlaceTime = 4'000'000;  // without a page asked for
  static constexpr Micros kLeastRetry = 100'000;
  static constexpr Micros kMostRetry = 4'000'000;

  explicit Admission(std::size_t places) : places_(places) {}

  // 0: `who` has a place and may be told a page; else when to come back.
  Micros Enter(const std::string& who, Micros now);
  // Its last page is told.
  void Leave(const std::string& who, Micros now);
  std::size_t held() const { return holders_.size(); }
  std::size_t most_held() const { return most_held_; }

 private:
  struct Holder {
    Micros since = 0;
    Micros until = 0;
  };
  Micros Wait(const std::string& who, Micros now);

  std::size_t places_;
  std::map<std::string, Holder> holders_;  // at most places_
  std::map<std::string, Micros> turns_;    // of those who wait; forgotten kPlaceTime after
  Micros last_turn_ = 0;                   // the latest given
  double usual_ = 100'000;                 // how long a walk takes, smoothed
  std::size_t most_held_ = 0;
};

}  // namespace dappletiller::feed

#endif  // DAPPLETILLER_CONFIG_FEED_ADMISSION_HPP_
