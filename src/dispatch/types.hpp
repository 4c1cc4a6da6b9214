// What the dispatcher shares with the parts below and beside it: requests, attempts, the endpoint list.
// Nothing here knows a protocol, so a second one can bring its own listener and transport and go through the
// same decisions and rules.
#ifndef DAPPLETILLER_DISPATCH_TYPES_HPP_
#define DAPPLETILLER_DISPATCH_TYPES_HPP_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.hpp"
#include "base/payload.hpp"
#include "base/time.hpp"

namespace dappletiller {

using RequestId = std::uint64_t;
using ServerId = std::uint32_t;

// A client's request as it comes in.
struct IncomingRequest {
  int request_class = 0;  // its index in the settings
  int tenant = -1;        // its index in the settings; -1: none that they name
  Micros deadline = 0;    // when the client gives up
  std::optional<Micros> work_hint;
  bool client_retry = false;
  PayloadRef payload;
  // When this process must have answered, since it may be gone after that; 0: no such limit. Apart from the
  // client's deadline, which says how long the client has been trying.
  Micros answer_by = 0;
};

// The side that waits for a request's final outcome. Exactly one of the first three is called, once.
class ResponseSink {
 public:
  virtual void OnResponse(PayloadRef response) = 0;
  virtual void OnRejected(Micros retry_after) = 0;  // 0: no advice
  virtual void OnFailed() = 0;
  // Whether the client has left, as the kernel knows it now: the end of its connection may not have been read
  // yet.
  virtual bool ClientHasLeft() const = 0;

 protected:
  ~ResponseSink() = default;
};

struct AttemptKey {
  RequestId request = 0;
  int number = 0;
  bool operator==(const AttemptKey&) const = default;
};
struct AttemptKeyHash {
  std::size_t operator()(const AttemptKey& key) const {
    constexpr std::uint64_t kUsualAttempts = 64;
    return std::hash<std::uint64_t>()(key.request * kUsualAttempts + static_cast<std::uint64_t>(key.number));
  }
};

// How an attempt ended.
enum class AttemptOutcome {
  kAnswered,
  kError,        // the server answered with an error; the request may have run
  kRejected,     // the server says that the request never ran
  kTimedOut,     // no answer in time
  kUnreachable,  // the request was never written whole
  kReset,        // the connection broke after that; the request may have run
  kCancelled,    // by us
  kNotSent       // never left this process
};

struct Attempt {
  AttemptKey key;
  ServerId server = 0;
  Micros timeout = 0;  // how long the answer is waited for
  PayloadRef payload;
};

// The side that carries attempts to upstream servers. After Cancel nothing more is reported of that attempt.
class UpstreamTransport {
 public:
  virtual void Start(const Attempt& attempt) = 0;
  virtual void Cancel(AttemptKey key) = 0;
  // Cancels an attempt whose last byte is not written yet, so that it never runs. False: it is written, or
  // unknown; it goes on.
  virtual bool RevokeUnsent(AttemptKey key) = 0;
  virtual void SetEndpoint(ServerId server, const Endpoint& endpoint) = 0;
  // The server takes no new requests: its unused connections can go, and what has not begun to be sent ends
  // unreachable.
  virtual void StopUsing(ServerId server) = 0;
  virtual void Remove(ServerId server) = 0;  // for good: nothing is sent there again

 protected:
  ~UpstreamTransport() = default;
};

enum class EndpointState { kRemoved, kReady, kDraining };

// A server as discovery lists it.
struct EndpointEntry {
  std::string uid;
  Endpoint endpoint;
  int zone = -1;
  int kind = 0;
  int cell = 0;
  EndpointState state = EndpointState::kReady;
  double concurrency = 1;
  Micros boot_unix = 0;  // Unix time of its start in microseconds; 0: long ago
};

struct EndpointList {
  enum class Kind { kDelta, kSnapshot, kCached, kFailed };
  Kind kind = Kind::kFailed;
  std::uint64_t version = 0;
  std::vector<EndpointEntry> entries;
};

// Where the endpoint list comes from.
class EndpointSource {
 public:
  virtual void Watch() = 0;
  virtual void Fetch() = 0;

 protected:
  ~EndpointSource() = default;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DISPATCH_TYPES_HPP_
