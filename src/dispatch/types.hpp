// Types and interfaces between the dispatcher and its drivers: requests, attempts, the endpoint list. They
// are independent of the protocol, so another protocol can provide its own listener and transport.
#ifndef DAPPLETILLER_DISPATCH_TYPES_HPP_
#define DAPPLETILLER_DISPATCH_TYPES_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.hpp"
#include "base/payload.hpp"
#include "base/time.hpp"
#include "dispatch/body_stream.hpp"
#include "dispatch/sent_ids.hpp"

namespace dappletiller {

using RequestId = std::uint64_t;
using ServerId = std::uint32_t;

// A request as received from a client.
struct IncomingRequest {
  int request_class = 0;  // its index in RequestClasses
  int tenant = -1;        // its index in the settings; -1: unknown tenant
  Micros deadline = 0;    // when the client gives up
  std::optional<Micros> work_hint;
  bool client_retry = false;
  PayloadRef payload;
  RequestIdHash id = 0;  // of its Request-Id
  // When this process must have answered because it may terminate afterwards; 0: no limit. Separate from the
  // client's deadline, which also tells how long the client has been trying.
  Micros answer_by = 0;
};

// Receives a request's final outcome. Exactly one of the first four functions is called, once.
class ResponseSink {
 public:
  virtual void OnResponse(PayloadRef response) = 0;
  // The response has begun: its head, and the body as it is received. The sink attaches itself to `body`.
  virtual void OnResponseStarted(PayloadRef head, std::shared_ptr<BodyStream> body) = 0;
  virtual void OnRejected(Micros retry_after) = 0;  // 0: no Retry-After
  virtual void OnFailed() = 0;
  // Whether the client has disconnected according to the kernel, even if the end of stream has not been read
  // yet.
  virtual bool ClientHasDisconnected() const = 0;

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
    constexpr std::uint64_t kTypicalMaxAttempts = 64;
    return std::hash<std::uint64_t>()(key.request * kTypicalMaxAttempts +
                                      static_cast<std::uint64_t>(key.number));
  }
};

// How an attempt ended.
enum class AttemptOutcome {
  kAnswered,
  kError,        // the server answered with an error; the request may have run
  kRejected,     // the server reports that the request was not run
  kTimedOut,     // no response in time
  kUnreachable,  // the request was not written completely
  kReset,        // the connection broke after the request was written; it may have run
  kCancelled,    // by this proxy
  kNotSent       // never written
};

struct Attempt {
  AttemptKey key;
  ServerId server = 0;
  Micros timeout = 0;  // maximum time to wait for the response
  PayloadRef payload;
};

enum class CancelReason {
  kTimedOut,  // no response in time
  kDecided    // by the decision module: the request has ended, or the attempt is taken for lost
};

// Sends attempts to upstream servers. After Cancel, nothing more is reported about that attempt.
class UpstreamTransport {
 public:
  virtual void Start(const Attempt& attempt) = 0;
  virtual void Cancel(AttemptKey key, CancelReason reason) = 0;
  // If the attempt's response has begun, and its server still sends it: passes it on from now on, as after
  // OnResponseStarted. False: it has not, or the server has paused.
  virtual bool StartResponse(AttemptKey key) = 0;
  // Cancels an attempt unless its last byte has been written, so it cannot run. False: it is written or
  // unknown, and is not cancelled.
  virtual bool RevokeUnsent(AttemptKey key) = 0;
  virtual void SetEndpoint(ServerId server, const Endpoint& endpoint) = 0;
  // The server accepts no new requests: closes its idle connections, and ends attempts that are still
  // connecting as unreachable.
  virtual void StopUsing(ServerId server) = 0;
  virtual void Remove(ServerId server) = 0;  // permanently: nothing is sent to the server again

 protected:
  ~UpstreamTransport() = default;
};

enum class EndpointState { kRemoved, kReady, kDraining };

// A server as listed by discovery.
struct EndpointEntry {
  std::string uid;
  Endpoint endpoint;
  int zone = -1;
  int kind = 0;
  int cell = 0;
  EndpointState state = EndpointState::kReady;
  double concurrency = 1;  // nominal number of requests that it runs in parallel
  Micros boot_unix = 0;    // Unix time of its start in microseconds; 0: long ago
};

struct EndpointList {
  enum class Kind { kDelta, kSnapshot, kCached, kFailed };
  Kind kind = Kind::kFailed;
  std::uint64_t version = 0;
  std::vector<EndpointEntry> entries;
};

// Source of the endpoint list.
class EndpointSource {
 public:
  virtual void Watch() = 0;
  virtual void Fetch() = 0;

 protected:
  ~EndpointSource() = default;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DISPATCH_TYPES_HPP_
