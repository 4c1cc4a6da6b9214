// Preloaded into processes whose wall clock a script moves (`do = "clock"`): adds to the real-time clocks
// what stands in the file RIG_CLOCK, in nanoseconds, and leaves the monotonic ones alone. Its own shared
// object, so that nothing of it is in the program.
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <ctime>

namespace {

constexpr std::int64_t kSecond = 1'000'000'000;

std::int64_t Offset() {
  static const volatile std::int64_t* const offset = [] {
    const char* path = std::getenv("RIG_CLOCK");
    int fd = path == nullptr ? -1 : ::open(path, O_RDONLY | O_CLOEXEC);
    void* at = fd < 0 ? MAP_FAILED : ::mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, fd, 0);
    if (fd >= 0) ::close(fd);
    return at == MAP_FAILED ? nullptr : static_cast<const volatile std::int64_t*>(at);
  }();
  return offset == nullptr ? 0 : *offset;
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t id, timespec* at) noexcept {
  auto result = static_cast<int>(::syscall(SYS_clock_gettime, id, at));
  if (result != 0 || (id != CLOCK_REALTIME && id != CLOCK_REALTIME_COARSE)) return result;
  std::int64_t all = at->tv_sec * kSecond + at->tv_nsec + Offset();
  at->tv_sec = all / kSecond;
  at->tv_nsec = all % kSecond;
  return 0;
}

int gettimeofday(timeval* at, void*) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  *at = {now.tv_sec, now.tv_nsec / 1000};
  return 0;
}

time_t time(time_t* at) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (at) *at = now.tv_sec;
  return now.tv_sec;
}

}  // extern "C"
