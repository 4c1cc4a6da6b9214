// Runs the program as a child process with its own configuration, and gives access to its log.
//
// DAPPLETILLER_PROGRAM in the environment names another build of the program, to see a test fail on it.
#ifndef DAPPLETILLER_TESTS_NET_PROGRAM_HPP_
#define DAPPLETILLER_TESTS_NET_PROGRAM_HPP_

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "support.hpp"

namespace dappletiller::testing {

class Program {
 public:
  // `env`: additional environment variables. `piped`: the configuration is a pipe, so the program waits
  // during its start until WriteConfigToPipe(). `descriptors`: RLIMIT_NOFILE; 0: inherited.
  explicit Program(const std::string& config,
                   const std::vector<std::pair<std::string, std::string>>& env = {}, bool piped = false,
                   rlim_t descriptors = 0) {
    std::string path = folder_ + "/config.json";
    if (piped) REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
    if (!piped) Write(config);
    pid_ = ::fork();
    REQUIRE(pid_ >= 0);
    if (pid_ == 0) {
      // Do not outlive a crashed test: whoever reads the test's output would wait for this process.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      int err = ::open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT, 0600);
      ::dup2(err, 2);
      ::setenv("BALANCER_CONFIG", path.c_str(), 1);
      for (const auto& [name, value] : env) ::setenv(name.c_str(), value.c_str(), 1);
      rlimit limit{descriptors, descriptors};
      if (descriptors != 0 && ::setrlimit(RLIMIT_NOFILE, &limit) != 0) ::_exit(126);
      const char* other_build = std::getenv("DAPPLETILLER_PROGRAM");
      const char* program = other_build != nullptr ? other_build : DAPPLETILLER_PROGRAM;
      ::execl(program, program, nullptr);
      ::_exit(127);
    }
  }
  ~Program() {
    if (pid_ > 0) ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
    std::remove((folder_ + "/config.json").c_str());
    std::remove((folder_ + "/log").c_str());
    ::rmdir(folder_.c_str());
  }
  // Waits for the exit; returns the exit code, or -1 if the program does not exit normally in time.
  int Wait() {
    int status = 0;
    for (int i = 0; i < 2'000; ++i) {
      if (::waitpid(pid_, &status, WNOHANG) == pid_)
        return pid_ = 0, WIFEXITED(status) ? WEXITSTATUS(status) : -1;
      ::poll(nullptr, 0, 10);
    }
    return -1;
  }
  std::string ReadLog() {
    std::ifstream in(folder_ + "/log");
    return {std::istreambuf_iterator<char>(in), {}};
  }
  // Waits until the program opens its piped configuration, calls `before`, and then writes the configuration.
  void WriteConfigToPipe(
      const std::string& config, const std::function<void()>& before = [] {}) {
    for (int i = 0; i < 2'000; ++i) {
      FileDescriptor pipe(
          ::open((folder_ + "/config.json").c_str(), O_WRONLY | O_NONBLOCK));  // fails without a reader
      if (!pipe) {
        ::poll(nullptr, 0, 10);
        continue;
      }
      before();
      REQUIRE(::write(pipe.get(), config.data(), config.size()) == static_cast<ssize_t>(config.size()));
      return;
    }
    FAIL("the program never read its configuration");
  }
  void Write(const std::string& config) { std::ofstream(folder_ + "/config.json") << config; }
  void Signal(int number) { ::kill(pid_, number); }
  std::size_t Descriptors() const {  // number of open descriptors
    auto all = std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
  }
  std::size_t PeakMemoryKilobytes() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    const std::string field = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
      if (line.rfind(field, 0) == 0) return std::stoul(line.substr(field.size()));
    }
    FAIL("the process has ended");
    return 0;
  }
  bool HasEnded() {
    if (pid_ == 0 || ::waitpid(pid_, nullptr, WNOHANG) == 0) return pid_ == 0;
    pid_ = 0;
    return true;
  }

 private:
  static std::string MakeFolder() {
    char name[] = "/tmp/dappletiller-test-XXXXXX";
    REQUIRE(::mkdtemp(name) != nullptr);
    return name;
  }
  std::string folder_ = MakeFolder();
  pid_t pid_ = 0;
};

inline std::string ProgramConfig(std::uint16_t port, std::uint16_t server, std::uint16_t discovery = 1,
                                 const std::string& mode = "ask") {
  std::string local = "\"127.0.0.1:";
  return "{\"name\":\"n0\",\"listen\":" + local + std::to_string(port) + "\",\"discovery\":" + local +
         std::to_string(discovery) +
         "\",\"seed\":\"7\",\"limits\":{\"sockets\":256},\"known\":{\"rev\":1,\"all\":true,\"targets\":[{"
         "\"uid\":\"s\","
         "\"endpoint\":" +
         local + std::to_string(server) + "\",\"az\":\"a\",\"state\":\"up\"}]}," +
         R"("settings":{"balancers":1,"zones":["a"],"zone":0,"kinds":["m"],"classes":[{"name":"check",
         "aim":4000000,"giveUp":20000000,"effect":"free"}],"registryMode":")" +
         mode + R"(","tick":5000,
         "invariants":{"askEvery":10000000,"cold":22000000,"fall":2000000,"startCapacity":0.13,"tipMultiple":2.5,
         "graceToAnswer":20000},"limits":{"maxAttempts":5,"mayCancel":true,"dialTimeout":250000,
         "connIdle":15000000}}})";
}

// Waits for `what` in the program's log and returns the number that follows it.
inline std::uint16_t ReadPort(ProxyFixture& fixture, Program& program, const std::string& what) {
  fixture.WaitUntil(what.c_str(), [&] { return program.ReadLog().find(what) != std::string::npos; });
  std::string log = program.ReadLog();
  return static_cast<std::uint16_t>(std::atoi(log.c_str() + log.find(what) + what.size()));
}

}  // namespace dappletiller::testing

#endif  // DAPPLETILLER_TESTS_NET_PROGRAM_HPP_
