#include "proxy/environment.hpp"

#include <charconv>
#include <cstdlib>
#include <cstring>
#include <string>
#include <system_error>

#include "io/file.hpp"

namespace dappletiller {
namespace {

// Null if it is not set, or empty.
const char* ReadVariable(const char* name) {
  const char* value = std::getenv(name);
  return value != nullptr && *value != '\0' ? value : nullptr;
}

std::string ReadNamedFile(const std::string& path) {
  try {
    return ReadFile(path);
  } catch (const std::system_error& error) {
    throw std::system_error(error.code(), path + " cannot be read");
  }
}

}  // namespace

Config LoadConfig() {
  const char* path = std::getenv("BALANCER_CONFIG");
  if (path == nullptr) throw ConfigError("BALANCER_CONFIG is not set");
  const std::string text = ReadNamedFile(path);
  // It has its own message, since files are often only half written.
  if (text.empty()) throw ConfigError(std::string(path) + " is empty");
  try {
    return ParseConfig(text);
  } catch (const ConfigError& error) {
    throw ConfigError(std::string(path) + ": " + error.what());
  }
}

std::optional<Endpoint> ConsoleEndpoint(const Config& config) {
  const char* text = ReadVariable("BALANCER_CONSOLE");
  if (text == nullptr) return config.console;
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint) throw ConfigError(std::string("BALANCER_CONSOLE is not an address and port: ") + text);
  return endpoint;
}

std::string TemporaryFolder() {
  const char* folder = ReadVariable("TMPDIR");
  return folder != nullptr ? folder : "/tmp";
}

std::optional<int> InheritedSocket() {
  const char* text = ReadVariable("BALANCER_SOCKET_FD");
  if (text == nullptr) return std::nullopt;
  int descriptor = -1;
  const char* end = text + std::strlen(text);
  const auto [stop, error] = std::from_chars(text, end, descriptor);
  if (error != std::errc() || stop != end || descriptor < 0) {
    throw ConfigError(std::string("BALANCER_SOCKET_FD is not a descriptor number: ") + text);
  }
  return descriptor;
}

}  // namespace dappletiller
