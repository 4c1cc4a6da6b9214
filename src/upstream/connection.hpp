// One connection of an UpstreamPool: carries one attempt at a time. Private to the pool, in a file of its
// own.
#ifndef DAPPLETILLER_UPSTREAM_CONNECTION_HPP_
#define DAPPLETILLER_UPSTREAM_CONNECTION_HPP_

#include <cstddef>
#include <memory>
#include <span>
#include <string>

#include "base/memory_budget.hpp"
#include "dispatch/types.hpp"
#include "http/message.hpp"
#include "http/parser.hpp"
#include "io/event_loop.hpp"
#include "io/stream_socket.hpp"
#include "upstream/upstream_pool.hpp"

namespace dappletiller {

class UpstreamPool::Connection final : public StreamSocket::Callbacks, public BodySource {
 public:
  Connection(UpstreamPool& pool, ServerId server, const Endpoint& endpoint);

  void Send(const Attempt& attempt);

  // Reserves memory for the whole response as soon as its size is known, so that each one that has begun can
  // be completed. False: not available now.
  bool ReserveMemory();
  // Memory may be available again.
  void ResumeReading();
  // Passes the response on from now on if it has begun and the server still sends it.
  bool StartResponse();

  // StreamSocket::Callbacks
  std::span<char> ReceiveBuffer() override;
  void OnReceived(std::size_t count) override;
  void OnConnected() override;
  void OnFlushed() override { written_ = true; }
  bool MayWrite() override { return pool_.dispatcher_.MayWrite(key); }
  void OnClosed(StreamEnd how) override;

  bool reusable() const { return reusable_ && socket.open(); }
  bool written() const { return written_; }  // the request, completely
  // Of the response to the current request.
  std::size_t response_bytes() const { return response_bytes_; }
  Micros first_byte_at() const { return first_byte_at_; }
  const std::string& request_id() const { return request_id_; }

  ServerId server;
  Endpoint endpoint;
  AttemptKey key;
  bool busy = false;
  bool connected = false;  // bytes may have been sent
  Timer timer;             // connect or idle timeout; while busy, the next step of a slow response
  StreamSocket socket;
  ConnectionList::iterator position;  // while idle
  Micros idle_since = 0;
  Micros idle_time = -1;  // before the current attempt; -1 on a new connection

 private:
  void Write();
  void ProcessInput();
  void OnMalformed();
  const char* MalformedReason() const;
  void OnResponse();

  void StartStreaming();
  std::span<char> StreamBuffer();
  void ForwardBody();
  void EndStream(bool complete, const char* reason);
  Micros MaxSilenceEnd() const;
  void CheckSilence();
  // BodySource
  void ResumeBody() override;
  void AbandonBody() override;

  // How an attempt ends without a response: a request that was not completely written cannot have run.
  AttemptOutcome BrokenOutcome() const {
    return written_ ? AttemptOutcome::kReset : AttemptOutcome::kUnreachable;
  }

  UpstreamPool& pool_;
  http::Parser parser_;
  MemoryBudget::Reservation memory_;  // for what the parser has buffered, and the rest of the response
  bool waits_for_memory_ = false;     // nothing is read meanwhile
  http::MessageRef request_;          // until it is written
  std::string request_id_;            // of the current or last request
  std::size_t response_bytes_ = 0;    // received for it
  Micros first_byte_at_ = 0;          // of these
  Micros last_byte_at_ = 0;           // of these, or when the client was ready for more
  Micros deadline_ = 0;
  bool written_ = false;
  // The current response began before the server's kernel had the whole request, so it belongs to an earlier
  // request, possibly of another client.
  bool response_was_early_ = false;
  bool reusable_ = false;
  std::shared_ptr<BodyStream> stream_;  // while the response is passed on as it is received
  bool keep_alive_ = false;             // after that response
  bool is_short_ = false;               // its stated length is up to the usual size
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_UPSTREAM_CONNECTION_HPP_
