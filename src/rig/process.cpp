#include "rig/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <fstream>
#include <sstream>
#include <system_error>

namespace dappletiller::rig {

Process::~Process() {
  Signal(SIGKILL);
  if (pid_ > 0) ::waitpid(pid_, nullptr, 0);
  if (out_) loop_.Unwatch(token_, out_.get());
}

void Process::Start(const std::vector<std::string>& words, const std::vector<std::string>& environment) {
  std::array<int, 2> ends;
  if (::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0)
    throw std::system_error(errno, std::generic_category(), "pipe2");
  if (out_) loop_.Unwatch(token_, out_.get());
  out_ = FileDescriptor(ends[0]);
  FileDescriptor in(ends[1]);
  text_.clear();
  std::vector<char*> args, env;
  for (const std::string& word : words) args.push_back(const_cast<char*>(word.c_str()));
  for (const std::string& one : environment) env.push_back(const_cast<char*>(one.c_str()));
  args.push_back(nullptr);
  env.push_back(nullptr);
  pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid_ == 0) {
    // Only what may be called after fork.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    ::dup2(in.get(), 2);
    ::dup2(in.get(), 1);
    sigset_t none;
    ::sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::execve(args[0], args.data(), env.data());
    ::_exit(127);
  }
  token_ = loop_.Watch(out_.get(), this);
}

void Process::Signal(int number) {
  if (pid_ > 0) ::kill(pid_, number);
}

bool Process::Ended(int* code) {
  if (pid_ <= 0) return true;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
  *code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  pid_ = -1;
  return true;
}

long Process::ResidentKb() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("VmRSS:", 0) == 0) return std::stol(line.substr(6));
  }
  return 0;
}

double Process::CpuSeconds() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  std::string text;
  std::getline(file, text);
  std::size_t end = text.rfind(')');
  if (end == std::string::npos) return 0;
  std::istringstream rest(text.substr(end + 2));
  std::string skip;
  for (int i = 0; i < 11; ++i) rest >> skip;
  double user = 0, system = 0;
  rest >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

void Process::OnReady(std::uint32_t) {
  std::array<char, 4096> bytes;
  for (ssize_t n; (n = ::read(out_.get(), bytes.data(), bytes.size())) > 0;) {
    text_.append(bytes.data(), static_cast<std::size_t>(n));
  }
  for (std::size_t end; (end = text_.find('\n')) != std::string::npos;) {
    std::string line = text_.substr(0, end);
    text_.erase(0, end + 1);
    on_line_(line);
  }
}

}  // namespace dappletiller::rig
