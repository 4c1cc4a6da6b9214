#include "config/section.hpp"

#include <sstream>

namespace dappletiller::operators {

toml::table ParseToml(std::string_view text, const std::string& name) {
  try {
    return toml::parse(text);
  } catch (const toml::parse_error& e) {
    throw OperatorError(name + ":" + std::to_string(e.source().begin.line) +
                        ": not TOML: " + std::string(e.description()) + "; correct the line");
  }
}

void Section::Fail(std::string_view key, const std::string& why) const {
  const toml::node* node = table_.get(key);
  auto line = node != nullptr ? node->source().begin.line : table_.source().begin.line;
  throw OperatorError(file_ + ":" + std::to_string(line) + ": " + Under(key) + ": " + why);
}

const toml::node* Section::Find(std::string_view key) {
  read_keys_.insert(std::string(key));
  return table_.get(key);
}

double Section::Number(std::string_view key, double default_value, double min, double max) {
  const toml::node* node = Find(key);
  if (node == nullptr) return default_value;
  auto value = node->value<double>();
  if (!value || !node->is_number()) Fail(key, "is not a number");
  if (!(*value >= min && *value <= max)) {
    std::ostringstream range;
    range << "is out of range; give a number from " << min << " to " << max;
    Fail(key, range.str());
  }
  return *value;
}

int Section::Count(std::string_view key, int default_value, int min, int max) {
  double value = Number(key, default_value, min, max);
  if (value != static_cast<int>(value)) Fail(key, "is not a whole number");
  return static_cast<int>(value);
}

bool Section::Flag(std::string_view key, bool default_value) {
  const toml::node* node = Find(key);
  if (node == nullptr) return default_value;
  if (!node->is_boolean()) Fail(key, "is neither true nor false");
  return *node->value<bool>();
}

std::string Section::Text(std::string_view key, const std::string& default_value) {
  const toml::node* node = Find(key);
  if (node == nullptr) return default_value;
  if (!node->is_string()) Fail(key, "is not a string; put it in quotes");
  return *node->value<std::string>();
}

std::vector<std::string> Section::WordsOf(const toml::node& node, std::string_view key) const {
  if (node.is_string()) return {*node.value<std::string>()};
  const toml::array* array = node.as_array();
  if (array == nullptr) Fail(key, "is neither a string nor a list of strings");
  std::vector<std::string> words;
  for (const toml::node& entry : *array) {
    if (!entry.is_string()) Fail(key, "contains an element that is not a string");
    words.push_back(*entry.value<std::string>());
  }
  return words;
}

std::vector<std::string> Section::Words(std::string_view key) {
  const toml::node* node = Find(key);
  return node == nullptr ? std::vector<std::string>() : WordsOf(*node, key);
}

std::vector<std::vector<std::string>> Section::Lists(std::string_view key) {
  std::vector<std::vector<std::string>> lists;
  const toml::array* array = Array(key);
  if (array == nullptr) return lists;
  for (const toml::node& entry : *array) lists.push_back(WordsOf(entry, key));
  return lists;
}

const toml::table* Section::Table(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) return nullptr;
  if (node->as_table() == nullptr) Fail(key, "is not a section; write [" + Under(key) + "]");
  return node->as_table();
}

const toml::array* Section::Array(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) return nullptr;
  if (node->as_array() == nullptr) Fail(key, "is not a list");
  return node->as_array();
}

void Section::RejectUnknownKeys() const {
  for (const auto& [key, node] : table_) {
    if (read_keys_.count(std::string(key.str())) == 0)
      Fail(key.str(), "is not a known key; remove it or correct its name");
  }
}

}  // namespace dappletiller::operators
