// Preloaded into a program under test: lets its system calls fail in ways that Linux documents, and steps its
// wall clock. Its own shared object, so that nothing of it is in the program.
//
// DAPPLETILLER_FAULTS holds rules separated by ';', each CALL:EFFECT[:KEY=VALUE,...]. CALL is the name of a
// function below. EFFECT is an errno name, `short` (recv, sendmsg, read, write, pread, pwrite: part of the
// bytes), or `step` (clock_gettime). A broken connection (ECONNRESET, ETIMEDOUT, EHOSTUNREACH) is also shut
// down, so that the peer notices. Keys:
//   skip=N        the first N calls succeed
//   count=N       at most N calls fail
//   chance=P      of each call, in percent
//   every=T,for=T only in the first `for` of each `every` milliseconds since the start of the process
//   path=TEXT     open, rename: only paths that contain TEXT
//   upstream=1    recv, sendmsg: only on connections that this process has opened
//   at=T,by=T     step: from `at` milliseconds after the start, by so many milliseconds
// DAPPLETILLER_FAULT_SEED seeds the choices.
#include <dlfcn.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdarg>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <random>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace {

constexpr std::int64_t kMillisecond = 1'000'000;  // nanoseconds
constexpr std::int64_t kSecond = 1'000 * kMillisecond;
constexpr int kNoFault = 0;
constexpr int kShort = -1;
constexpr int kStep = -2;
constexpr std::size_t kMaxDescriptors = 65'536;

constexpr std::pair<std::string_view, int> kEffects[] = {{"short", kShort},
                                                         {"step", kStep},
                                                         {"EACCES", EACCES},
                                                         {"EADDRINUSE", EADDRINUSE},
                                                         {"EADDRNOTAVAIL", EADDRNOTAVAIL},
                                                         {"ECONNABORTED", ECONNABORTED},
                                                         {"ECONNRESET", ECONNRESET},
                                                         {"EHOSTUNREACH", EHOSTUNREACH},
                                                         {"EINTR", EINTR},
                                                         {"EIO", EIO},
                                                         {"EMFILE", EMFILE},
                                                         {"ENETUNREACH", ENETUNREACH},
                                                         {"ENFILE", ENFILE},
                                                         {"ENOBUFS", ENOBUFS},
                                                         {"ENOMEM", ENOMEM},
                                                         {"ENOSPC", ENOSPC},
                                                         {"EPROTO", EPROTO},
                                                         {"ETIMEDOUT", ETIMEDOUT}};

std::int64_t RawClock(clockid_t id) {
  timespec now{};
  ::syscall(SYS_clock_gettime, id, &now);
  return now.tv_sec * kSecond + now.tv_nsec;
}

struct Rule {
  std::string call;
  int effect = kNoFault;
  long skip = 0;
  long count = -1;
  double chance = 100;
  long every = 0;
  long span = 0;
  std::string path;
  bool upstream = false;
  long at = 0;
  long by = 0;
};

class Faults {
 public:
  static Faults& Get() {
    static Faults* const faults = new Faults();  // never freed: calls are made until the process ends
    return *faults;
  }

  // The effect on this call: kNoFault, kShort or an errno.
  int Next(std::string_view call, std::string_view path = {}, int descriptor = -1) {
    for (Rule& rule : rules_) {
      if (rule.call != call || !Applies(rule, path, descriptor)) continue;
      if (rule.skip > 0) {
        --rule.skip;
        continue;
      }
      if (rule.count == 0) continue;
      if (std::uniform_real_distribution<>(0, 100)(random_) >= rule.chance) continue;
      if (rule.count > 0) --rule.count;
      return rule.effect;
    }
    return kNoFault;
  }

  std::size_t Part(std::size_t size) {
    return size <= 1 ? size : std::uniform_int_distribution<std::size_t>(1, size)(random_);
  }

  std::int64_t WallClockOffset() const {
    std::int64_t offset = 0;
    for (const Rule& rule : rules_) {
      if (rule.effect == kStep && SinceStart() >= rule.at) offset += rule.by * kMillisecond;
    }
    return offset;
  }

  int signal_descriptor = -1;

  void SetUpstream(int descriptor, bool upstream) {
    if (descriptor >= 0 && static_cast<std::size_t>(descriptor) < kMaxDescriptors) {
      upstream_[static_cast<std::size_t>(descriptor)] = upstream;
    }
  }

 private:
  Faults() {
    const char* seed = std::getenv("DAPPLETILLER_FAULT_SEED");
    random_.seed(seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10));
    const char* text = std::getenv("DAPPLETILLER_FAULTS");
    std::istringstream rules(text == nullptr ? "" : text);
    for (std::string rule; std::getline(rules, rule, ';');) {
      if (!rule.empty()) rules_.push_back(Parse(rule));
    }
  }

  static Rule Parse(const std::string& text) {
    Rule rule;
    std::istringstream parts(text);
    std::string effect, keys;
    std::getline(parts, rule.call, ':');
    std::getline(parts, effect, ':');
    std::getline(parts, keys);
    for (const auto& [name, number] : kEffects) {
      if (name == effect) rule.effect = number;
    }
    if (rule.effect == kNoFault) std::abort();  // a misspelt rule must not pass as a run without faults
    std::istringstream pairs(keys);
    for (std::string pair; std::getline(pairs, pair, ',');) SetKey(pair, &rule);
    return rule;
  }

  static void SetKey(const std::string& pair, Rule* rule) {
    const std::size_t equals = pair.find('=');
    const std::string key = pair.substr(0, equals);
    const std::string value = equals == std::string::npos ? "" : pair.substr(equals + 1);
    const long number = std::strtol(value.c_str(), nullptr, 10);
    if (key == "skip") return void(rule->skip = number);
    if (key == "count") return void(rule->count = number);
    if (key == "chance") return void(rule->chance = std::strtod(value.c_str(), nullptr));
    if (key == "every") return void(rule->every = number);
    if (key == "for") return void(rule->span = number);
    if (key == "path") return void(rule->path = value);
    if (key == "upstream") return void(rule->upstream = number != 0);
    if (key == "at") return void(rule->at = number);
    if (key == "by") return void(rule->by = number);
    std::abort();
  }

  bool Applies(const Rule& rule, std::string_view path, int descriptor) const {
    if (!rule.path.empty() && path.find(rule.path) == std::string_view::npos) return false;
    if (rule.upstream && !upstream_[static_cast<std::size_t>(descriptor) % kMaxDescriptors]) return false;
    return rule.every == 0 || SinceStart() % rule.every < rule.span;
  }

  long SinceStart() const { return static_cast<long>((RawClock(CLOCK_MONOTONIC) - started_) / kMillisecond); }

  std::vector<Rule> rules_;
  std::mt19937_64 random_;
  const std::int64_t started_ = RawClock(CLOCK_MONOTONIC);
  std::array<bool, kMaxDescriptors> upstream_{};
};

template <typename Function>
Function* Resolve(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

bool IsBroken(int error) { return error == ECONNRESET || error == ETIMEDOUT || error == EHOSTUNREACH; }

// Whether the call fails; sets errno.
bool Fails(int effect, int descriptor = -1) {
  if (effect <= 0) return false;
  if (IsBroken(effect) && descriptor >= 0) ::shutdown(descriptor, SHUT_RDWR);
  errno = effect;
  return true;
}

}  // namespace

extern "C" {

int socket(int domain, int type, int protocol) noexcept {
  static auto* const next = Resolve<decltype(::socket)>("socket");
  if (Fails(Faults::Get().Next("socket"))) return -1;
  const int fd = next(domain, type, protocol);
  Faults::Get().SetUpstream(fd, false);
  return fd;
}

int bind(int fd, const sockaddr* address, socklen_t size) noexcept {
  static auto* const next = Resolve<decltype(::bind)>("bind");
  return Fails(Faults::Get().Next("bind")) ? -1 : next(fd, address, size);
}

int listen(int fd, int backlog) noexcept {
  static auto* const next = Resolve<decltype(::listen)>("listen");
  return Fails(Faults::Get().Next("listen")) ? -1 : next(fd, backlog);
}

// As the kernel does it: on EMFILE and the like the connection stays in the accept queue, while ECONNABORTED
// and errors of the network concern a connection that is gone. Here it stays in either case.
int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static auto* const next = Resolve<decltype(::accept4)>("accept4");
  if (Fails(Faults::Get().Next("accept4"))) return -1;
  const int accepted = next(fd, address, size, flags);
  Faults::Get().SetUpstream(accepted, false);
  return accepted;
}

// EINTR: the connection is established all the same, as connect(2) says.
int connect(int fd, const sockaddr* address, socklen_t size) {
  static auto* const next = Resolve<decltype(::connect)>("connect");
  const int effect = Faults::Get().Next("connect");
  Faults::Get().SetUpstream(fd, true);
  if (effect == EINTR) next(fd, address, size);
  return Fails(effect) ? -1 : next(fd, address, size);
}

ssize_t recv(int fd, void* bytes, size_t size, int flags) {
  static auto* const next = Resolve<decltype(::recv)>("recv");
  const int effect = Faults::Get().Next("recv", {}, fd);
  if (Fails(effect, fd)) return -1;
  return next(fd, bytes, effect == kShort ? Faults::Get().Part(size) : size, flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static auto* const next = Resolve<decltype(::sendmsg)>("sendmsg");
  const int effect = Faults::Get().Next("sendmsg", {}, fd);
  if (Fails(effect, fd)) return -1;
  if (effect != kShort || message->msg_iovlen == 0) return next(fd, message, flags);
  iovec first = message->msg_iov[0];
  first.iov_len = Faults::Get().Part(first.iov_len);
  msghdr part = *message;
  part.msg_iov = &first;
  part.msg_iovlen = 1;
  return next(fd, &part, flags);
}

int poll(pollfd* fds, nfds_t count, int timeout) {
  static auto* const next = Resolve<decltype(::poll)>("poll");
  return Fails(Faults::Get().Next("poll")) ? -1 : next(fds, count, timeout);
}

int epoll_create1(int flags) noexcept {
  static auto* const next = Resolve<decltype(::epoll_create1)>("epoll_create1");
  return Fails(Faults::Get().Next("epoll_create1")) ? -1 : next(flags);
}

int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) noexcept {
  static auto* const next = Resolve<decltype(::epoll_ctl)>("epoll_ctl");
  if (operation == EPOLL_CTL_ADD && Fails(Faults::Get().Next("epoll_ctl"))) return -1;
  return next(epoll, operation, fd, event);
}

int epoll_wait(int epoll, epoll_event* events, int max_events, int timeout) {
  static auto* const next = Resolve<decltype(::epoll_wait)>("epoll_wait");
  return Fails(Faults::Get().Next("epoll_wait")) ? -1 : next(epoll, events, max_events, timeout);
}

int signalfd(int fd, const sigset_t* mask, int flags) noexcept {
  static auto* const next = Resolve<decltype(::signalfd)>("signalfd");
  if (Fails(Faults::Get().Next("signalfd"))) return -1;
  return Faults::Get().signal_descriptor = next(fd, mask, flags);
}

int open(const char* path, int flags, ...) {
  static auto* const next = Resolve<int(const char*, int, mode_t)>("open");
  std::va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  return Fails(Faults::Get().Next("open", path)) ? -1 : next(path, flags, mode);
}

FILE* fopen64(const char* path, const char* mode) {
  static auto* const next = Resolve<FILE*(const char*, const char*)>("fopen64");
  return Fails(Faults::Get().Next("open", path)) ? nullptr : next(path, mode);
}

ssize_t read(int fd, void* bytes, size_t size) {
  static auto* const next = Resolve<decltype(::read)>("read");
  if (fd == Faults::Get().signal_descriptor) return next(fd, bytes, size);  // is read whole (signalfd(2))
  const int effect = Faults::Get().Next("read", {}, fd);
  if (Fails(effect)) return -1;
  return next(fd, bytes, effect == kShort ? Faults::Get().Part(size) : size);
}

ssize_t write(int fd, const void* bytes, size_t size) {
  static auto* const next = Resolve<decltype(::write)>("write");
  const int effect = Faults::Get().Next("write", {}, fd);
  if (Fails(effect)) return -1;
  return next(fd, bytes, effect == kShort ? Faults::Get().Part(size) : size);
}

ssize_t pread(int fd, void* bytes, size_t size, off_t at) {
  static auto* const next = Resolve<decltype(::pread)>("pread");
  const int effect = Faults::Get().Next("pread", {}, fd);
  if (Fails(effect)) return -1;
  return next(fd, bytes, effect == kShort ? Faults::Get().Part(size) : size, at);
}

ssize_t pwrite(int fd, const void* bytes, size_t size, off_t at) {
  static auto* const next = Resolve<decltype(::pwrite)>("pwrite");
  const int effect = Faults::Get().Next("pwrite", {}, fd);
  if (Fails(effect)) return -1;
  return next(fd, bytes, effect == kShort ? Faults::Get().Part(size) : size, at);
}

int fallocate(int fd, int mode, off_t at, off_t size) {
  static auto* const next = Resolve<decltype(::fallocate)>("fallocate");
  return Fails(Faults::Get().Next("fallocate")) ? -1 : next(fd, mode, at, size);
}

int fsync(int fd) {
  static auto* const next = Resolve<decltype(::fsync)>("fsync");
  return Fails(Faults::Get().Next("fsync")) ? -1 : next(fd);
}

int rename(const char* from, const char* to) noexcept {
  static auto* const next = Resolve<decltype(::rename)>("rename");
  return Fails(Faults::Get().Next("rename", to)) ? -1 : next(from, to);
}

int clock_gettime(clockid_t id, timespec* at) noexcept {
  const auto result = static_cast<int>(::syscall(SYS_clock_gettime, id, at));
  if (result != 0 || id != CLOCK_REALTIME) return result;
  const std::int64_t now = at->tv_sec * kSecond + at->tv_nsec + Faults::Get().WallClockOffset();
  at->tv_sec = now / kSecond;
  at->tv_nsec = now % kSecond;
  return 0;
}

}  // extern "C"
