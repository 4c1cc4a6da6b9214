// The byte queue against a string that goes through the same operations.
#include "base/byte_queue.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>

namespace dappletiller {
namespace {

std::string Bytes(std::size_t size, char first) {
  std::string bytes(size, first);
  for (std::size_t i = 0; i < size; ++i) bytes[i] = static_cast<char>(first + i % 50);
  return bytes;
}

TEST_CASE("a byte queue returns what was put in, and its memory follows its contents") {
  std::mt19937 random(7);
  const auto draw = [&random](std::size_t max) {
    return std::uniform_int_distribution<std::size_t>(0, max)(random);
  };
  ByteQueue queue;
  std::string model;
  for (int step = 0; step < 20'000; ++step) {
    const std::string bytes = Bytes(draw(draw(1) == 0 ? 100 : 9'000), 'A');
    const bool grows = model.size() < 80'000 && draw(1) == 0;
    if (grows) {
      const std::size_t announced = queue.AllocatedAfterAppend(bytes.size());
      queue.Append(bytes);
      model += bytes;
      REQUIRE(queue.allocated() == announced);
    } else {
      std::string read(bytes.size(), '\0');
      read.resize(queue.Read(read));
      REQUIRE(read == model.substr(0, bytes.size()));
      model.erase(0, read.size());
      const std::string back = read.substr(read.size() - draw(read.size()));
      queue.Prepend(back);
      model.insert(0, back);
    }
    REQUIRE(queue.size() == model.size());
    REQUIRE(queue.empty() == model.empty());
    REQUIRE(queue.allocated() <= model.size() * 26 / 25 + 2 * ByteQueue::kSegmentMemory);
  }
  queue.Clear();
  CHECK(queue.allocated() == 0);
}

}  // namespace
}  // namespace dappletiller
