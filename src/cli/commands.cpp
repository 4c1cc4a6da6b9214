#include "cli/commands.hpp"

#include <arpa/inet.h>
#include <json/json.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>

#include "config/operator_file.hpp"
#include "config/section.hpp"
#include "control_server/control_server.hpp"
#include "http/message.hpp"
#include "io/event_loop.hpp"
#include "membership/codec.hpp"
#include "proxy/proxy.hpp"

namespace dappletiller::cli {
namespace {

constexpr const char* kVersion = "dappletiller 0.1.0";
constexpr int kTimeoutSeconds = 2;  // the console responds within a second

struct ConsoleResponse {
  int status = 0;  // 0: none
  std::string body;
};

// Sends one request to a console, with blocking sockets and a timeout.
ConsoleResponse SendRequest(const std::string& where, const std::string& method, const std::string& target) {
  auto endpoint = ParseEndpoint(where);
  if (!endpoint) return {};
  FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  timeval patience{kTimeoutSeconds, 0};
  ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  ::setsockopt(fd.get(), SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl(endpoint->address);
  to.sin_port = htons(endpoint->port);
  if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) return {};
  std::string request = method + " " + target + " HTTP/1.1\r\nHost: console\r\nConnection: close\r\n\r\n";
  if (::send(fd.get(), request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size()))
    return {};
  std::string text;
  std::array<char, 16384> bytes;
  for (ssize_t n; (n = ::recv(fd.get(), bytes.data(), bytes.size(), 0)) > 0;) {
    text.append(bytes.data(), static_cast<std::size_t>(n));
  }
  // Status line, headers, empty line, body: the console closes the connection after each response.
  std::size_t end = text.find("\r\n\r\n");
  if (text.size() < 12 || end == std::string::npos) return {};
  return {std::atoi(text.c_str() + 9), text.substr(end + 4)};
}

int Told(const std::string& where, const ConsoleResponse& response) {
  if (response.status == 0) {
    std::fprintf(stderr,
                 "dappletiller: no answer from the console at %s; is it a console's address, and does the "
                 "process run?\n",
                 where.c_str());
    return 1;
  }
  if (response.status >= 300) {
    std::fprintf(stderr, "dappletiller: %d: %s", response.status, response.body.c_str());
    return 1;
  }
  return 0;
}

bool Parse(const std::string& text, Json::Value* value) {
  Json::CharReaderBuilder builder;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  std::string errors;
  return reader->parse(text.data(), text.data() + text.size(), value, &errors);
}

int Members(const std::string& where, bool json) {
  ConsoleResponse response = SendRequest(where, "GET", "/_fleet");
  if (int failed = Told(where, response)) return failed;
  if (json) {
    std::fputs(response.body.c_str(), stdout);
    return 0;
  }
  Json::Value root;
  if (!Parse(response.body, &root)) {
    std::fprintf(stderr, "dappletiller: the response of %s is not a membership view\n", where.c_str());
    return 1;
  }
  std::printf("%-20s %-10s %-8s %-22s %12s  %s\n", "member", "state", "zone", "address", "incarnation",
              "for");
  const Json::Value& self = root["self"];
  std::printf("%-20s %-10s %-8s %-22s %12s  (this one, health %d)\n", self["name"].asCString(),
              self["state"].asCString(), self["zone"].asCString(), self["address"].asCString(),
              self["incarnation"].asString().c_str(), self["health"].asInt());
  for (const Json::Value& m : root["members"]) {
    std::printf("%-20s %-10s %-8s %-22s %12s  %.1f s\n", m["name"].asCString(), m["state"].asCString(),
                m["zone"].asCString(), m["address"].asCString(), m["incarnation"].asString().c_str(),
                m["since_ms"].asDouble() / 1000);
  }
  if (root.isMember("part")) std::printf("part of the whole: %.4f\n", root["part"]["of_whole"].asDouble());
  return 0;
}

// Prints changes until interrupted; returns 1 if the console stops responding.
int WatchMembers(const std::string& where, int limit) {
  std::uint64_t after = 0;
  for (int round = 0; limit == 0 || round < limit; ++round) {
    ConsoleResponse response = SendRequest(where, "GET", "/_fleet?after=" + std::to_string(after));
    if (int failed = Told(where, response)) return failed;
    Json::Value root;
    if (!Parse(response.body, &root)) return 1;
    for (const Json::Value& e : root["events"]) {
      after = std::max<std::uint64_t>(after, e["number"].asUInt64());
      std::printf("%8.1f s ago  %s %s: %s\n", e["ago_ms"].asDouble() / 1000, e["name"].asCString(),
                  e["event"].asCString(), e["why"].asCString());
    }
    std::fflush(stdout);
    if (limit == 0 || round + 1 < limit) ::usleep(500'000);
  }
  return 0;
}

// Prints the settings in force in a running proxy; returns 1 if it follows no feed or is disconnected from
// it.
int SettingsStatus(const std::string& where, bool json) {
  ConsoleResponse response = SendRequest(where, "GET", "/_settings");
  if (int failed = Told(where, response)) return failed;
  Json::Value root;
  if (!Parse(response.body, &root)) {
    std::fprintf(stderr, "dappletiller: the response of %s is not a settings state\n", where.c_str());
    return 1;
  }
  bool current = root["current"].asBool();
  if (json) {
    std::fputs(response.body.c_str(), stdout);
    return current ? 0 : 1;
  }
  std::printf("serial %s in force, %s entries; %s %s", root["serial"].asString().c_str(),
              root["entries"].asString().c_str(),
              current ? "follows" : "NO CONFIG SERVER RESPONDS, last asked", root["machine"].asCString());
  if (root["answered_ago_ms"].asInt64() >= 0)
    std::printf(", whole as of %.1f s ago", root["answered_ago_ms"].asDouble() / 1000);
  std::printf("\n");
  return current ? 0 : 1;
}

int CheckFile(const std::string& path) {
  try {
    operators::OperatorFile file = operators::LoadOperatorFile(path);
    std::printf("%s: fine; %s%s%s\n", path.c_str(),
                file.fleet ? ("member of fleet " + file.fleet->name).c_str()
                           : "no [fleet] section: the process does not join a fleet",
                file.settings_feed ? "; follows the settings feed" : "",
                file.control ? ("; config server " + file.control->name).c_str() : "");
    return 0;
  } catch (const operators::OperatorError& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 2;
  }
}

}  // namespace

int Run(int argc, char** argv) {
  CLI::App app{
      "The proxy in front of plan servers, and its operators' commands.\n"
      "Without arguments it serves as the platform starts it (BALANCER_CONFIG).",
      "dappletiller"};
  app.set_version_flag("--version", kVersion);
  app.require_subcommand(1);

  std::string file;
  CLI::App* serve = app.add_subcommand("serve", "serve, with an operator file");
  serve->add_option("--operator", file, "the operator file (TOML)")->required();

  CLI::App* control = app.add_subcommand("control", "serve the settings feed, as one of its config servers");
  control->add_option("--operator", file, "the operator file (TOML) with [control]")->required();

  CLI::App* check = app.add_subcommand("check", "check an operator file; exit status 0: valid, 2: invalid");
  check->add_option("file", file, "the operator file (TOML)")->required();

  std::string console = "127.0.0.1:8081";
  if (const char* at = std::getenv("BALANCER_CONSOLE"); at != nullptr && *at != '\0') console = at;
  CLI::App* fleet = app.add_subcommand("fleet", "show and change the fleet membership of a running process");
  fleet->require_subcommand(1);
  fleet->add_option("--console", console, "the process's console (or $BALANCER_CONSOLE)")
      ->capture_default_str();
  CLI::App* members = fleet->add_subcommand("members", "list the members of the fleet and their states");
  bool json = false;
  members->add_flag("--json", json, "as the console gives it");
  CLI::App* watch = fleet->add_subcommand("watch", "changes as they come");
  int rounds = 0;
  watch->add_option("--rounds", rounds, "end after so many looks, half a second apart (0: never)")
      ->check(CLI::Range(0, 1'000'000));
  CLI::App* leave = fleet->add_subcommand("leave", "have the process leave the fleet and serve on alone");
  CLI::App* reap = fleet->add_subcommand("reap", "remove a dead member that will not come back");
  std::string name;
  reap->add_option("name", name, "the member")->required();
  CLI::App* key = fleet->add_subcommand("key", "print a new key for key_file");

  CLI::App* settings =
      app.add_subcommand("settings", "show which settings of the feed are in force in a running process");
  settings->add_option("--console", console, "the process's console (or $BALANCER_CONSOLE)")
      ->capture_default_str();
  settings->add_flag("--json", json, "as the console gives it");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  }
  if (*serve) return Serve(file);
  if (*control) return RunControlServer(file);
  if (*settings) return SettingsStatus(console, json);
  if (*check) return CheckFile(file);
  if (*key) {
    std::printf("%s\n", membership::GenerateKey().c_str());
    return 0;
  }
  if (*members) return Members(console, json);
  if (*watch) return WatchMembers(console, rounds);
  ConsoleResponse response;
  if (*leave) response = SendRequest(console, "PUT", "/_fleet/leave");
  if (*reap) response = SendRequest(console, "PUT", "/_fleet/reap?who=" + name);
  if (int failed = Told(console, response)) return failed;
  std::fputs(response.body.c_str(), stdout);
  return 0;
}

}  // namespace dappletiller::cli
