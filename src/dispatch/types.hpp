// The neutral words between protocols, gateway and discovery. Nothing here knows a wire format, so a second
// protocol can bring its own acceptor and worker links and go through the same decisions and rules.
#ifndef DAPPLETILLER_DISPATCH_TYPES_HPP_
#define DAPPLETILLER_DISPATCH_TYPES_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.hpp"
#include "base/payload.hpp"
#include "base/time.hpp"

namespace dappletiller {

using CallId = std::uint64_t;
using WorkerId = std::uint32_t;

struct Arrival {
  int call_class = 0;
  int tenant = -1;      // its place in the settings; -1: none that they name
  Micros deadline = 0;  // when the client gives up
  std::optional<Micros> work_hint;
  bool client_retry = false;
  PayloadRef payload;
  // When this process must have answered, since it may be gone after that; 0: no such limit. Told apart from
  // the client's deadline, which says how long the client has been trying.
  Micros answer_by = 0;
};

// The side that waits for a call's one final answer. Exactly one of these is called, once.
class Caller {
 public:
  virtual void Served(PayloadRef answer) = 0;
  virtual void Rejected(Micros retry_after) = 0;  // 0: no advice
  virtual void Failed() = 0;
  // Whether the client has gone, as the kernel knows it now: its end may not have been read yet.
  virtual bool Gone() const = 0;

 protected:
  ~Caller() = default;
};

struct AttemptKey {
  CallId call = 0;
  int number = 0;
  bool operator==(const AttemptKey&) const = default;
};
struct AttemptKeyHash {
  std::size_t operator()(const AttemptKey& k) const {
    return std::hash<std::uint64_t>()(k.call * 64 + static_cast<std::uint64_t>(k.number));
  }
};

enum class AttemptEnd {
  kAnswered,
  kError,        // the worker answered with an error; it may have run
  kTurnedAway,   // the worker says that it never ran
  kTimedOut,     // no answer in time
  kUnreachable,  // the request was never written whole
  kReset,        // the connection broke after that; it may have run
  kGivenUp,      // called off by us
  kNotSent       // never left this process
};

struct Attempt {
  AttemptKey key;
  WorkerId worker = 0;
  Micros wait = 0;  // how long the answer is waited for
  PayloadRef payload;
};

// The side that carries attempts to workers. After GiveUp nothing more is reported of that attempt.
class Workers {
 public:
  virtual void Start(const Attempt& attempt) = 0;
  virtual void GiveUp(AttemptKey key) = 0;
  // Gives up an attempt whose last byte is not written yet, so that it never runs. False: it is written, or
  // unknown; it goes on.
  virtual bool Withdraw(AttemptKey key) = 0;
  virtual void Locate(WorkerId worker, const Endpoint& endpoint) = 0;
  // Takes no new work: its unused connections can go, and what has not begun to be sent ends unreachable.
  virtual void Release(WorkerId worker) = 0;
  virtual void Forget(WorkerId worker) = 0;  // gone for good: nothing is sent there again

 protected:
  ~Workers() = default;
};

enum class WorkerState { kGone, kReady, kDraining };

struct WorkerEntry {
  std::string uid;
  Endpoint endpoint;
  int zone = -1;
  int kind = 0;
  int cell = 0;
  WorkerState state = WorkerState::kReady;
  double size = 1;
  Micros boot_unix = 0;  // Unix time of its start in microseconds; 0: long ago
};

struct WorkerList {
  enum class Kind { kChanges, kFull, kCached, kFailed };
  Kind kind = Kind::kFailed;
  std::uint64_t version = 0;
  std::vector<WorkerEntry> entries;
};

// Where the list of workers comes from.
class ListSource {
 public:
  virtual void Watch() = 0;
  virtual void Fetch() = 0;

 protected:
  ~ListSource() = default;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DISPATCH_TYPES_HPP_
