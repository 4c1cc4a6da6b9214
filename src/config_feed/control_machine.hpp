// One of the machines set aside for control, as far as the settings feed goes: it follows the others by the
// same Follower as a proxy, with everything in scope, and tells whoever asks. The one with the origin's file
// publishes what the file says while its serial is above all that the others hold; with an older file it is
// one that follows. There is no election: who is the origin is the operators' word, and a second origin is
// told by its serial. Pure.
#ifndef DAPPLETILLER_CONFIG_FEED_CONTROL_MACHINE_HPP_
#define DAPPLETILLER_CONFIG_FEED_CONTROL_MACHINE_HPP_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "config_feed/admission.hpp"
#include "config_feed/follower.hpp"
#include "config_feed/store.hpp"

namespace dappletiller::feed {

struct Reply {
  enum class Kind { kPage, kWait, kBusy, kBehind };
  Kind kind = Kind::kWait;
  Page page;
  Micros retry_after = 0;  // kBusy
};

class ControlMachine {
 public:
  // `places`: wholes that are told at once. The scope of `options` is set to everything.
  ControlMachine(FollowerOptions options, std::size_t places);

  Follower& follower() { return follower_; }
  const Store& store() const { return follower_.held(); }
  const Admission& admission() const { return admission_; }

  // What `who` is told now. `may_wait`: kWait if there is nothing new; else a page without changes.
  Reply Hear(Micros now, const std::string& who, const Question& question, bool may_wait);

  enum class Published {
    kDone,     // what the file says is in force from here on
    kAlready,  // others hold just that
    kNotYet,   // whether others hold something is not known yet: ask again later
    kOld,      // the file's serial is below the fleet's: this machine follows
    kDiffers   // the same serial with other entries: refused
  };
  // `differ(false)`: what the file says since its reading before, asked for where that is what this machine
  // published last; `differ(true)`: against the whole store. `epoch` for a line of its own: above all earlier
  // ones (the wall clock).
  Published Publish(Micros now, std::uint64_t serial,
                    const std::function<std::vector<Change>(bool whole)>& differ, std::uint64_t epoch,
                    std::set<std::string, std::less<>>* touched);

 private:
  static FollowerOptions Everything(FollowerOptions options);

  Follower follower_;
  Admission admission_;
  std::uint64_t own_epoch_ = 0;   // the line that this machine began; 0: none
  std::uint64_t own_serial_ = 0;  // of what it published last
};

}  // namespace dappletiller::feed

#endif  // DAPPLETILLER_CONFIG_FEED_CONTROL_MACHINE_HPP_
