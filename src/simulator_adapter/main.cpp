// The simulator adapter: reads batches from standard input, runs one Balancer per instance and writes replies
// to standard output. Decides nothing. Malformed input ends it with one line on standard error and exit code
// 1.
#include <algorithm>
#include <cstdio>
#include <exception>
#include <map>
#include <string>

#include "dappletiller/balancer.hpp"
#include "simulator_adapter/wire_codec.hpp"

namespace dappletiller::balancer {
namespace {

constexpr std::size_t kChunkSize = 1 << 20;

// Reads up to n bytes in chunks, so that a wrong length in a header does not cause a huge allocation.
std::string ReadUpTo(std::size_t n) {
  std::string bytes;
  while (bytes.size() < n) {
    std::size_t wanted = std::min(kChunkSize, n - bytes.size());
    std::size_t old_size = bytes.size();
    bytes.resize(old_size + wanted);
    std::size_t received = std::fread(bytes.data() + old_size, 1, wanted, stdin);
    bytes.resize(old_size + received);
    if (received < wanted) break;
  }
  return bytes;
}

class Adapter {
 public:
  // Processes one batch; false at the end of the input.
  bool ProcessBatch() {
    std::string header_bytes = ReadUpTo(wire::kHeaderSize);
    if (header_bytes.empty()) return false;
    context_ = "after batch " + std::to_string(batch_);
    if (header_bytes.size() < wire::kHeaderSize) throw wire::Error("input ends within a header");
    wire::Header header = wire::DecodeHeader(header_bytes);
    batch_ = header.batch;
    context_ = "batch " + std::to_string(batch_);
    std::string body = ReadUpTo(header.length);
    if (body.size() < header.length) throw wire::Error("input ends within the batch");
    if (header.clock < clock_) throw wire::Error("the clock went back");
    clock_ = header.clock;
    wire::Reply reply;
    for (wire::Record& record : wire::DecodeBody(header, body)) Process(record, &reply);
    std::string out = reply.Finish(header.batch);
    if (std::fwrite(out.data(), 1, out.size(), stdout) != out.size() || std::fflush(stdout) != 0) {
      throw wire::Error("the reply could not be written");
    }
    return true;
  }

  const std::string& context() const { return context_; }

 private:
  void Process(wire::Record& record, wire::Reply* reply) {
    if (const auto* started = std::get_if<wire::InstanceStarted>(&record.what)) {
      instances_.erase(record.instance);
      instances_.emplace(record.instance, Balancer(started->settings));
      return;
    }
    auto it = instances_.find(record.instance);
    if (it == instances_.end()) {
      throw wire::Error("instance " + std::to_string(record.instance) + " has an event before its BORN");
    }
    if (std::holds_alternative<wire::InstanceStopped>(record.what)) {
      instances_.erase(it);
    } else if (const auto* event = std::get_if<Event>(&record.what)) {
      actions_.clear();
      it->second.Handle(clock_, *event, &actions_);
      for (const Action& action : actions_) reply->Add(record.instance, action);
    }
  }

  std::map<std::uint16_t, Balancer> instances_;
  std::vector<Action> actions_;
  Micros clock_ = 0;
  std::uint32_t batch_ = 0;
  std::string context_ = "before the first batch";
};

}  // namespace
}  // namespace dappletiller::balancer

int main() {
  dappletiller::balancer::Adapter adapter;
  try {
    while (adapter.ProcessBatch()) {
    }
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "dappletiller_simulator_adapter: %s: %s\n", adapter.context().c_str(), e.what());
    return 1;
  }
}
