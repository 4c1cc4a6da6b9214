// When the servers started, for slow start.
//
// Discovery lists start times that were read from wall clocks, and those may be stepped. So a start time that
// is listed anew is bounded by what this process has seen on its monotonic clock: the server started at the
// latest now, and not before discovery answered without that start. The first list has no such bound; there,
// a server that looks as if it had started some whole hours ago may have started just now, since wrong clocks
// are mostly off by whole hours (time zones, summer time). Pure: no I/O, no clock.
#ifndef DAPPLETILLER_DISPATCH_SERVER_START_TIMES_HPP_
#define DAPPLETILLER_DISPATCH_SERVER_START_TIMES_HPP_

#include <string>
#include <unordered_map>

#include "base/time.hpp"

namespace dappletiller {

class ServerStartTimes {
 public:
  // `listed`: the start time in the list, 0 for long ago. `previous_list_at`: when discovery last answered
  // before this list, 0 for never. Times are on the caller's clock. Returns the bounded start time, which
  // stays the same as long as `listed` does.
  Micros Update(const std::string& uid, Micros listed, Micros now, Micros previous_list_at);
  // Whether the server was ever listed.
  bool Contains(const std::string& uid) const { return by_uid_.count(uid) != 0; }

 private:
  struct StartTime {
    Micros listed = 0;
    Micros bounded = 0;
  };
  std::unordered_map<std::string, StartTime> by_uid_;  // grows with the servers that were ever listed
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DISPATCH_SERVER_START_TIMES_HPP_
