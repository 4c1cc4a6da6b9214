// What tests of the program as a process have in common.
#ifndef DAPPLETILLER_TESTS_FAULT_INJECTION_PROCESS_SUPPORT_HPP_
#define DAPPLETILLER_TESTS_FAULT_INJECTION_PROCESS_SUPPORT_HPP_

#include <string>
#include <utility>
#include <vector>

#include "net/program.hpp"
#include "net/support.hpp"

namespace dappletiller::testing {

using Environment = std::vector<std::pair<std::string, std::string>>;

// Freed memory must not count for long, or the sanitizer's own would hide the program's.
inline constexpr const char* kSanitizerOptions = "verify_asan_link_order=0:quarantine_size_mb=1";

// `rules`: see syscall_faults.cpp.
inline Environment WithFaults(const std::string& rules, const std::string& seed = "1") {
  return {{"LD_PRELOAD", DAPPLETILLER_SYSCALL_FAULTS},
          {"ASAN_OPTIONS", kSanitizerOptions},
          {"DAPPLETILLER_FAULTS", rules},
          {"DAPPLETILLER_FAULT_SEED", seed}};
}

// As often as `total` bytes hold it.
inline std::string Repeat(const std::string& text, std::size_t total) {
  std::string all;
  while (all.size() + text.size() <= total) all += text;
  return all;
}

// Replaces the first occurrence, which must exist.
inline void Replace(std::string* text, const std::string& what, const std::string& with) {
  REQUIRE(text->find(what) != std::string::npos);
  text->replace(text->find(what), what.size(), with);
}

// Sends a request and expects the server's answer to it.
inline void ExpectServed(ProxyFixture& fixture, std::uint16_t port, TestServer& server, const std::string& id,
                         const std::string& answer_header = "") {
  TestConnection client = TestConnection::Connect(port);
  client.Send(SafeRequest(id));
  TestConnection& at = fixture.WaitForRequest(server, id);
  at.text.clear();
  at.Send(Response(200, "body of " + id, answer_header));
  fixture.WaitForData(client, "body of " + id);
}

}  // namespace dappletiller::testing

#endif  // DAPPLETILLER_TESTS_FAULT_INJECTION_PROCESS_SUPPORT_HPP_
