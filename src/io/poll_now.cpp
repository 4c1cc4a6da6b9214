#include "io/poll_now.hpp"

#include <poll.h>

#include <cerrno>

namespace dappletiller {

short PollNow(int fd, short events) {
  pollfd polled{fd, events, 0};
  int count = 0;
  do {
    count = ::poll(&polled, 1, 0);
  } while (count < 0 && errno == EINTR);
  return count > 0 ? polled.revents : short{0};
}

}  // namespace dappletiller
