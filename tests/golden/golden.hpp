// Golden files: bytes written by an earlier build, which later builds must write and read identically.
//
// A test calls Golden("name", bytes) and compares. Set DAPPLETILLER_WRITE_GOLDEN=1 to write files that do not
// exist yet; a file that exists is never overwritten, since a golden file that changes is a change of
// behaviour.
#ifndef DAPPLETILLER_TESTS_GOLDEN_GOLDEN_HPP_
#define DAPPLETILLER_TESTS_GOLDEN_GOLDEN_HPP_

#include <doctest/doctest.h>

#include <cctype>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>

namespace dappletiller::testing {

// The contents of tests/golden/NAME. If the file is missing, the test fails, after writing `actual` to it if
// the environment variable is set.
inline std::string Golden(const std::string& name, const std::string& actual) {
  const std::string path = std::string(DAPPLETILLER_GOLDEN_FOLDER) + "/" + name;
  std::ifstream file(path, std::ios::binary);
  if (file) return {std::istreambuf_iterator<char>(file), {}};
  if (std::getenv("DAPPLETILLER_WRITE_GOLDEN") != nullptr) std::ofstream(path, std::ios::binary) << actual;
  return "(golden file " + name + " is missing)";
}

inline std::string Hex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (char c : bytes) {
    auto byte = static_cast<unsigned char>(c);
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 15]);
  }
  return text;
}

// For text with times, ports and process ids: replaces each run of digits by one '#'.
inline std::string WithoutNumbers(std::string_view text) {
  std::string result;
  for (char c : text) {
    bool digit = std::isdigit(static_cast<unsigned char>(c)) != 0;
    if (!digit) {
      result.push_back(c);
    } else if (result.empty() || result.back() != '#') {
      result.push_back('#');
    }
  }
  return result;
}

}  // namespace dappletiller::testing

#endif  // DAPPLETILLER_TESTS_GOLDEN_GOLDEN_HPP_
