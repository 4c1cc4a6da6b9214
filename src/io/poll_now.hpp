// What poll(2) reports of one descriptor at this moment.
#ifndef DAPPLETILLER_IO_POLL_NOW_HPP_
#define DAPPLETILLER_IO_POLL_NOW_HPP_

namespace dappletiller {

// Waits for nothing. Returns the events that hold, of `events` and those that poll always reports.
short PollNow(int fd, short events);

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_POLL_NOW_HPP_
