// The configuration feed with real processes and sockets: config servers and proxies on ephemeral ports.
// Every wait is bounded and for a condition.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "config_feed/client/feed_client.hpp"
#include "config_feed/config_server.hpp"
#include "config_feed/page_codec.hpp"
#include "control_server/feed_server.hpp"

namespace dappletiller {
namespace {

namespace fs = std::filesystem;
constexpr int kBoundSeconds = 60;  // far longer than any wait should take, even on a busy machine

bool Until(const std::function<bool()>& holds) {
  auto end = std::chrono::steady_clock::now() + std::chrono::seconds(kBoundSeconds);
  while (std::chrono::steady_clock::now() < end) {
    if (holds()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));  // between two checks
  }
  return holds();
}

struct Folder {
  Folder() {
    std::string name = (fs::temp_directory_path() / "feed-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    path = name;
  }
  ~Folder() { fs::remove_all(path); }
  std::string Write(const std::string& name, const std::string& text) const {
    // Replaces the file atomically, as an operator's tool would.
    std::ofstream(path / (name + ".new"), std::ios::binary) << text;
    fs::rename(path / (name + ".new"), path / name);
    return (path / name).string();
  }
  fs::path path;
};

class Process {
 public:
  Process(const Folder& folder, const std::string& name, std::vector<std::string> words,
          const std::string& config = "")
      : log_((folder.path / (name + ".log")).string()) {
    std::string program = DAPPLETILLER_PROGRAM;
    int out = ::open(log_.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(out, 2);
      if (!config.empty()) ::setenv("BALANCER_CONFIG", config.c_str(), 1);
      ::setenv("TMPDIR", folder.path.c_str(), 1);
      std::vector<char*> args{program.data()};
      for (std::string& word : words) args.push_back(word.data());
      args.push_back(nullptr);
      ::execv(program.c_str(), args.data());
      ::_exit(127);
    }
    ::close(out);
  }
  ~Process() { End(SIGKILL); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  std::string Log() const {
    std::ifstream file(log_, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }
  bool Says(const std::string& text) const {
    return Until([&] { return Log().find(text) != std::string::npos; });
  }
  // The number that follows `text` in the log.
  int NumberAfter(const std::string& text) const {
    if (!Says(text)) return 0;
    std::string log = Log();
    return std::atoi(log.c_str() + log.find(text) + text.size());
  }
  void Signal(int number) const { ::kill(pid_, number); }
  int End(int number) {
    if (pid_ <= 0) return -1;
    ::kill(pid_, number);
    if (number == SIGKILL) ::kill(pid_, SIGCONT);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    return status;
  }

 private:
  std::string log_;
  pid_t pid_ = -1;
};

std::string Get(int port, const std::string& text) {
  FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  timeval patience{5, 0};
  ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  to.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) return "";
  ::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL);
  std::string answer;
  char bytes[4096];
  for (ssize_t n; (n = ::recv(fd.get(), bytes, sizeof bytes, 0)) > 0;)
    answer.append(bytes, static_cast<std::size_t>(n));
  return answer;
}

// A port that is free now. Another process may take it before it is used; the program then fails to start,
// and the test fails.
int FreePort() { return BindTcpListener({INADDR_LOOPBACK, 0}, 1, "test").port; }

std::string At(int port) { return "127.0.0.1:" + std::to_string(port); }

std::string OriginFile(int serial, const std::string& quota, const std::string& more = "") {
  return "{\"serial\": " + std::to_string(serial) + "}\n" +
         R"({"kind":"tenant","service":"plan-7","name":"acme","value":{"portion":0.5,"quotaRps":)" + quota +
         "}}\n" +
         R"({"kind":"tenant","service":"plan-8","name":"elsewhere","value":{"portion":0.5,"quotaRps":1}})" +
         "\n" + more;
}
const std::string kFresh =
    R"({"kind":"class","service":"*","name":"fresh","value":{"giveUp":200000,"effect":"free"}})"
    "\n";

// Three config servers, the first of which is the origin, and proxies that follow them.
struct Fleet {
  explicit Fleet(int proxies) {
    for (int& port : ports) port = FreePort();
    folder.Write("origin.jsonl", OriginFile(1, "1"));
    for (int m = 0; m < 3; ++m) StartMachine(m, m == 0 ? "origin.jsonl" : "");
    for (int p = 0; p < proxies; ++p) StartProxy(p, "[\"plan-7\"]");
  }
  void StartMachine(int m, const std::string& origin) {
    std::string others;
    for (int other = 0; other < 3; ++other)
      if (other != m) others += (others.empty() ? "\"" : ", \"") + At(ports[other]) + "\"";
    std::string text = "[control]\nname = \"c" + std::to_string(m) + "\"\nbind = \"" + At(ports[m]) +
                       "\"\nothers = [" + others + "]\n";
    if (!origin.empty()) text += "origin = \"" + origin + "\"\n";
    std::string name = "c" + std::to_string(m) + "." + std::to_string(++starts);
    servers[m] = std::make_unique<Process>(
        folder, name, std::vector<std::string>{"control", "--operator", folder.Write(name + ".toml", text)});
    REQUIRE(servers[m]->Says("control on port"));
  }
  std::string ProxyFile(int p, const std::string& services) {
    std::string all;
    for (int m = 0; m < 3; ++m) all += (m == 0 ? "\"" : ", \"") + At(ports[m]) + "\"";
    return folder.Write("p" + std::to_string(p) + ".toml",
                        "[settings_feed]\nmachines = [" + all + "]\nservices = " + services + "\n");
  }
  void StartProxy(int p, const std::string& services) {
    std::string name = "p" + std::to_string(p);
    std::string config = folder.Write(
        name + ".json",
        "{\"name\":\"" + name +
            R"(","listen":"127.0.0.1:0","console":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
"limits":{"cores":1.0,"memory_mb":64,"sockets":256},"known":{"rev":0,"all":true,"targets":[]},
"settings":{"balancers":2,"zones":["a"],"kinds":["m"],"zone":0,"classes":[{"name":"check","aim":100000,"giveUp":200000,"effect":"free"}],
"registryMode":"push","tick":1000,"invariants":{"startCapacity":0.1,"cold":1000,"tipMultiple":2,"fall":1000,"graceToAnswer":1000},
"limits":{"maxAttempts":1,"mayCancel":true,"dialTimeout":1000,"connIdle":1000}}})");
    proxies.push_back(std::make_unique<Process>(
        folder, name, std::vector<std::string>{"serve", "--operator", ProxyFile(p, services)}, config));
    REQUIRE(proxies.back()->Says("started as"));
  }
  std::string Status(int p) {
    int port = proxies[static_cast<std::size_t>(p)]->NumberAfter("console on port ");
    return Get(port, "GET /_settings HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  bool Holds(int p, const std::string& part) {
    return Until([&] { return Status(p).find(part) != std::string::npos; });
  }
  bool AllHold(int serial) {
    for (std::size_t p = 0; p < proxies.size(); ++p)
      if (!Holds(static_cast<int>(p), "\"serial\":" + std::to_string(serial) + ",")) return false;
    return true;
  }

  Folder folder;
  int ports[3] = {};
  int starts = 0;
  std::unique_ptr<Process> servers[3];
  std::vector<std::unique_ptr<Process>> proxies;
};

TEST_CASE("a change of the origin's file takes effect in running proxies within scope, without a restart") {
  Fleet fleet(2);
  REQUIRE(fleet.AllHold(1));
  CHECK(fleet.Status(0).find("\"entries\":1,") != std::string::npos);  // the entry of plan-8 is out of scope
  int port = fleet.proxies[0]->NumberAfter("started as p0 on port ");
  std::string request =
      "GET / HTTP/1.1\r\nHost: x\r\nRequest-Id: r1\r\nRequest-Class: fresh\r\nRequest-Timeout: 100m\r\n"
      "Connection: close\r\n\r\n";
  CHECK(Get(port, request).find("400") != std::string::npos);  // the class does not exist yet
  fleet.folder.Write("origin.jsonl", OriginFile(2, "2", kFresh));
  REQUIRE(fleet.AllHold(2));
  CHECK(Get(port, request).find(" 503 ") != std::string::npos);  // known, but there is no server
  CHECK(fleet.proxies[0]->Says("settings feed: serial 2 in force"));
  CHECK(fleet.proxies[0]->Says("class fresh added"));
  // A proxy receives nothing outside its scope, but its serial advances.
  fleet.folder.Write("origin.jsonl", "{\"serial\": 3}\n" + OriginFile(0, "2", kFresh).substr(14) +
                                         R"({"kind":"route","service":"plan-8","name":"/x","value":{}})"
                                         "\n");
  REQUIRE(fleet.AllHold(3));
  CHECK(fleet.Status(0).find("\"entries\":2,") != std::string::npos);
}

TEST_CASE("an invalid origin file is reported with file, line and remedy, and the settings stay in force") {
  Fleet fleet(1);
  REQUIRE(fleet.AllHold(1));
  fleet.folder.Write("origin.jsonl", OriginFile(2, "-5"));
  CHECK(fleet.servers[0]->Says(
      "origin.jsonl:2: tenant/plan-7/acme: value.quotaRps is missing or out of range"));
  fleet.folder.Write("origin.jsonl", OriginFile(1, "7"));
  CHECK(fleet.servers[0]->Says("serial: 1 is not above 1"));
  fleet.folder.Write("origin.jsonl", OriginFile(3, "7").substr(0, 60));
  CHECK(fleet.servers[0]->Says("does not end in a newline"));
  fs::remove(fleet.folder.path / "origin.jsonl");
  CHECK(fleet.servers[0]->Says("cannot be read"));
  CHECK(fleet.Status(0).find("\"serial\":1,") != std::string::npos);
  fleet.folder.Write("origin.jsonl", OriginFile(4, "7"));
  CHECK(fleet.AllHold(4));
}

TEST_CASE(
    "config servers fail one by one and all at once, and return: nothing is lost and no follower goes back") {
  Fleet fleet(3);
  REQUIRE(fleet.AllHold(1));
  fleet.servers[1]->End(SIGKILL);
  fleet.folder.Write("origin.jsonl", OriginFile(2, "2"));
  REQUIRE(fleet.AllHold(2));
  fleet.servers[2]->Signal(SIGSTOP);  // accepts connections but does not respond
  fleet.folder.Write("origin.jsonl", OriginFile(3, "3"));
  REQUIRE(fleet.AllHold(3));
  fleet.servers[0]->End(SIGKILL);
  for (int p = 0; p < 3; ++p) {
    REQUIRE(fleet.Holds(p, "\"current\":false"));
    CHECK(fleet.Status(p).find("\"serial\":3,") != std::string::npos);
    CHECK(fleet.proxies[static_cast<std::size_t>(p)]->Says(
        "no config server responds; serial 3 stays in force"));
  }
  // The stopped server resumes with its old state: it is behind, and no follower goes back to it.
  fleet.servers[2]->Signal(SIGCONT);
  CHECK(Until([&] {
    return fleet.proxies[0]->Log().find(At(fleet.ports[2]) + " is behind serial 3") != std::string::npos ||
           fleet.Status(0).find("\"current\":true") != std::string::npos;
  }));
  fleet.StartMachine(0, "origin.jsonl");
  fleet.StartMachine(1, "");
  for (int p = 0; p < 3; ++p) CHECK(fleet.Holds(p, "\"current\":true"));
  CHECK(fleet.AllHold(3));
  fleet.folder.Write("origin.jsonl", OriginFile(4, "4"));
  CHECK(fleet.AllHold(4));
  for (auto& proxy : fleet.proxies) {
    std::string log = proxy->Log();
    for (const char* older : {"serial 1 in force", "serial 2 in force"})
      CHECK(log.rfind(older) < log.find("serial 3 in force"));
    CHECK(proxy->End(SIGTERM) == 0);
  }
  CHECK(fleet.servers[0]->End(SIGTERM) == 0);
}

TEST_CASE("a stale origin that comes back follows and reports the old file") {
  Fleet fleet(1);
  REQUIRE(fleet.AllHold(1));
  fleet.folder.Write("origin.jsonl", OriginFile(5, "5"));
  REQUIRE(fleet.AllHold(5));
  // A serial known only to the lost origin and the proxies is covered by world_test.
  for (int m : {1, 2}) REQUIRE(fleet.servers[m]->Says("serial 5 in force"));
  fleet.servers[0]->End(SIGKILL);
  fleet.folder.Write("old.jsonl", OriginFile(2, "2"));
  fleet.StartMachine(0, "old.jsonl");
  CHECK(fleet.servers[0]->Says("serial 2 is below the fleet's, 5: the file is not published"));
  CHECK(fleet.servers[0]->Says("serial 5 in force"));
  // Another server becomes the origin and continues with deltas.
  fleet.servers[1]->End(SIGTERM);
  fleet.folder.Write("new.jsonl", OriginFile(6, "6"));
  fleet.StartMachine(1, "new.jsonl");
  CHECK(fleet.AllHold(6));
  CHECK(fleet.proxies[0]->Says("serial 6 in force from"));
  CHECK(fleet.proxies[0]->Log().find("1 entries changed, 1 held") != std::string::npos);
}

TEST_CASE("a proxy's scope changes with SIGHUP while entries change") {
  Fleet fleet(1);
  REQUIRE(fleet.AllHold(1));
  fleet.ProxyFile(0, "[\"plan-7\", \"plan-8\"]");
  fleet.folder.Write("origin.jsonl", OriginFile(2, "2"));
  fleet.proxies[0]->Signal(SIGHUP);
  CHECK(fleet.Holds(0, "\"entries\":2,"));
  CHECK(fleet.AllHold(2));
  fleet.ProxyFile(0, "[\"plan-9\"]");
  fleet.proxies[0]->Signal(SIGHUP);
  CHECK(fleet.Holds(0, "\"entries\":0,"));
  // An invalid file changes nothing.
  fleet.folder.Write("p0.toml", "[settings_feed]\nmachines = [\"nowhere\"]\n");
  fleet.proxies[0]->Signal(SIGHUP);
  CHECK(fleet.proxies[0]->Says("settings_feed.machines: 'nowhere' is not an address"));
  fleet.folder.Write("origin.jsonl", OriginFile(3, "3"));
  CHECK(fleet.AllHold(3));
}

// ---- The client with a server controlled by the test ----

struct Sink final : SettingsObserver {
  void OnSettingsChanged(const std::vector<config_feed::Change>& changes) override {
    for (const config_feed::Change& change : changes) seen.push_back(change);
  }
  std::vector<config_feed::Change> seen;
};

class Played {
 public:
  Played() {
    BoundSocket bound = BindTcpListener({INADDR_LOOPBACK, 0}, 16, "test");
    fd_ = std::move(bound.fd);
    port = bound.port;
  }
  // Answers the next request with these bytes, and closes the connection if requested.
  bool Answer(EventLoop& loop, const std::string& bytes, bool end) {
    return Until([&] {
      loop.RunOnce(1'000);
      if (!conn_)
        conn_ = FileDescriptor(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
      if (!conn_) return false;
      char room[4096];
      ssize_t n = ::recv(conn_.get(), room, sizeof room, MSG_DONTWAIT);
      if (n == 0) conn_.Reset();
      if (n > 0) asked.append(room, static_cast<std::size_t>(n));
      if (asked.find("\r\n\r\n") == std::string::npos) return false;
      question = std::exchange(asked, "");
      ::send(conn_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (end) conn_.Reset();
      return true;
    });
  }
  std::uint16_t port = 0;
  std::string question;

 private:
  FileDescriptor fd_;
  FileDescriptor conn_;
  std::string asked;
};

std::string Http(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST_CASE("a truncated, malformed or unexpected response changes nothing, and the next valid one does") {
  EventLoop loop;
  Log log(stderr, "test");
  Sink sink;
  Played server;
  config_feed::FollowerOptions options;
  options.self = "p";
  options.nearby = {At(server.port)};
  options.scope.services = {"a"};
  config_feed::Follower follower(options);
  FeedClient feed(loop, log, follower, "p", sink);
  feed.Start();
  config_feed::Store store;
  store.Publish(1, 7, {{"tenant/a/t", "x", 0}, {"tenant/a/u", "y", 0}});
  std::string good = Http(config_feed::WritePage(store.MakePage({{}, std::nullopt, {true, {}}}, 1 << 20)));
  config_feed::Page foreign = store.MakePage({{}, std::nullopt, {true, {}}}, 1 << 20);
  foreign.after = 5;
  std::uint64_t failures = 0;
  for (const std::string& bad :
       {good.substr(0, good.size() - 10), good.substr(0, 20),
        std::string("HTTP/1.1 200 OK\r\n\r\n") + good.substr(30), std::string("nonsense\r\n\r\n"), Http("{}"),
        Http(config_feed::WritePage(foreign)), std::string("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"),
        std::string()}) {
    CAPTURE(bad);
    REQUIRE(server.Answer(loop, bad, true));
    ++failures;
    CHECK(Until([&] { return loop.RunOnce(1'000), feed.counters().failures >= failures; }));
    CHECK(sink.seen.empty());
    CHECK(follower.store().size() == 0);
  }
  REQUIRE(server.Answer(loop, good, false));
  CHECK(Until([&] { return loop.RunOnce(1'000), sink.seen.size() == 2; }));
  CHECK(follower.store().head().serial == 1);
  // Busy: the client retries at the given time and keeps its state.
  REQUIRE(server.Answer(loop, "HTTP/1.1 503 X\r\nRetry-After: 0.060\r\nContent-Length: 0\r\n\r\n", false));
  CHECK(Until([&] { return loop.RunOnce(1'000), feed.counters().busy == 1; }));
  store.Publish(2, 7, {{"tenant/a/t", std::nullopt, 0}});
  REQUIRE(server.Answer(loop,
                        Http(config_feed::WritePage(
                            store.MakePage({follower.store().head(), std::nullopt, {true, {}}}, 1 << 20))),
                        false));
  CHECK(server.question.find("serial=1&epoch=7&after=2") != std::string::npos);
  CHECK(Until([&] { return loop.RunOnce(1'000), sink.seen.size() == 3; }));
  CHECK(follower.store().size() == 1);
}

TEST_CASE("the server rejects invalid requests and notifies only followers whose scope has changed") {
  EventLoop loop;
  Log log(stderr, "test");
  config_feed::FollowerOptions options;
  options.self = "c";
  config_feed::ConfigServer config_server(options, 1);
  FeedServer server(loop, log, config_server);
  server.Listen({INADDR_LOOPBACK, 0});
  std::set<std::string, std::less<>> touched;
  std::uint64_t serial = 0;
  auto publish = [&](std::vector<config_feed::Change> changes) {
    config_server.Publish(
        loop.Now(), ++serial, [&](config_feed::Baseline) { return changes; }, 7, &touched);
    server.NotifyChanged(touched);
  };
  publish({{"tenant/a/t", "1", 0}, {"tenant/b/t", "1", 0}});
  struct Client {
    explicit Client(std::uint16_t port) : fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
      sockaddr_in to{};
      to.sin_family = AF_INET;
      to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      to.sin_port = htons(port);
      REQUIRE(::connect(fd.get(), reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
    }
    void Say(const std::string& target) {
      std::string text = "GET " + target + " HTTP/1.1\r\nHost: c\r\n\r\n";
      ::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL);
    }
    const std::string& Heard() {
      char bytes[4096];
      for (ssize_t n; (n = ::recv(fd.get(), bytes, sizeof bytes, MSG_DONTWAIT)) > 0;)
        text.append(bytes, static_cast<std::size_t>(n));
      return text;
    }
    FileDescriptor fd;
    std::string text;
  };
  auto hears = [&](Client& client, const std::string& part) {
    return Until([&] { return loop.RunOnce(1'000), client.Heard().find(part) != std::string::npos; });
  };
  for (const char* bad : {"/feed", "/feed?self=a", "/feed?self=a&serial=0&epoch=0&after=x&all=1"}) {
    Client client(server.port());
    client.Say(bad);
    CHECK(hears(client, "HTTP/1.1 400"));
  }
  Client lost(server.port());
  lost.Say("/other");
  CHECK(hears(lost, "HTTP/1.1 404"));
  Client behind(server.port());
  behind.Say("/feed?self=x&serial=99&epoch=7&after=2&all=1");
  CHECK(hears(behind, "HTTP/1.1 409"));

  Client a(server.port()), b(server.port());
  a.Say("/feed?self=a&serial=1&epoch=7&after=2&services=a&wait_ms=60000");
  b.Say("/feed?self=b&serial=1&epoch=7&after=2&services=b&wait_ms=60000");
  // A follower that disconnects while waiting is forgotten.
  {
    Client gone(server.port());
    gone.Say("/feed?self=g&serial=1&epoch=7&after=2&services=a&wait_ms=60000");
  }
  CHECK(Until([&] { return loop.RunOnce(1'000), server.connections() >= 3; }));
  for (int i = 0; i < 20; ++i) loop.RunOnce(1'000);
  CHECK(a.Heard().empty());
  publish({{"tenant/b/t", "2", 0}});
  CHECK(hears(b, "tenant/b/t"));
  CHECK(a.Heard().empty());
  publish({{"tenant/a/t", "2", 0}});
  CHECK(hears(a, "tenant/a/t"));
  // A snapshot for a follower with a slot, none for the next one; deltas are still sent.
  Client whole(server.port()), next(server.port());
  std::vector<config_feed::Change> many;
  for (int i = 0; i < 2'000; ++i) many.push_back({"tenant/a/m" + std::to_string(i), "x", 0});
  publish(many);
  whole.Say("/feed?self=w&serial=0&epoch=0&after=0&services=a");
  CHECK(hears(whole, "HTTP/1.1 200"));
  next.Say("/feed?self=n&serial=0&epoch=0&after=0&services=a");
  CHECK(hears(next, "HTTP/1.1 503"));
  CHECK(hears(next, "Retry-After: "));
  b.text.clear();
  b.Say("/feed?self=b&serial=2&epoch=7&after=3&services=b&wait_ms=0");
  CHECK(hears(b, "HTTP/1.1 200"));
}

}  // namespace
}  // namespace dappletiller
