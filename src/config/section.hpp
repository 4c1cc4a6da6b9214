// Reading one table of a TOML file by key: every error states file, line, key and remedy. Unknown keys are
// rejected, so that a misspelt key is not ignored silently. Throws OperatorError only.
#ifndef DAPPLETILLER_CONFIG_SECTION_HPP_
#define DAPPLETILLER_CONFIG_SECTION_HPP_

#include <toml++/toml.h>

#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace dappletiller::operators {

class OperatorError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses the whole file. `name` is used in messages.
toml::table ParseToml(std::string_view text, const std::string& name);

class Section {
 public:
  // Both must outlive the section.
  Section(const toml::table& table, const std::string& file, std::string path)
      : table_(table), file_(file), path_(std::move(path)) {}

  [[noreturn]] void Fail(std::string_view key, const std::string& why) const;
  double Number(std::string_view key, double default_value, double min, double max);
  int Count(std::string_view key, int default_value, int min, int max);
  bool Flag(std::string_view key, bool default_value);
  std::string Text(std::string_view key, const std::string& default_value = {});
  // A string or a list of strings.
  std::vector<std::string> Words(std::string_view key);
  std::vector<std::vector<std::string>> Lists(std::string_view key);
  // A subtable, or null.
  const toml::table* Table(std::string_view key);
  const toml::array* Array(std::string_view key);
  bool Has(std::string_view key) const { return table_.contains(key); }
  int line() const { return static_cast<int>(table_.source().begin.line); }
  const toml::table& table() const { return table_; }
  // Fails if there are keys that have not been read. To be called last.
  void RejectUnknownKeys() const;
  std::string Under(std::string_view key) const {
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
  }

  template <typename Entries>
  auto OneOf(std::string_view key, const Entries& entries, std::string_view default_value = {}) {
    std::string word = Text(key, std::string(default_value));
    std::string all;
    for (const auto& entry : entries) {
      if (entry.word == word) return entry.value;
      all += (all.empty() ? "" : ", ") + std::string(entry.word);
    }
    Fail(key,
         word.empty() ? "is missing; give one of " + all : "'" + word + "' is unknown; give one of " + all);
  }

 private:
  const toml::node* Find(std::string_view key);
  std::vector<std::string> WordsOf(const toml::node& node, std::string_view key) const;

  const toml::table& table_;
  const std::string& file_;
  std::string path_;
  std::set<std::string> read_keys_;
};

}  // namespace dappletiller::operators

#endif  // DAPPLETILLER_CONFIG_SECTION_HPP_
