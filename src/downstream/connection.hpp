// One client connection of a DownstreamListener: receives requests, one at a time, and writes their
// responses. Private to the listener, in a file of its own.
#ifndef DAPPLETILLER_DOWNSTREAM_CONNECTION_HPP_
#define DAPPLETILLER_DOWNSTREAM_CONNECTION_HPP_

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "base/memory_budget.hpp"
#include "dispatch/types.hpp"
#include "downstream/listener.hpp"
#include "downstream/receive_times.hpp"
#include "http/message.hpp"
#include "http/parser.hpp"
#include "http/writer.hpp"
#include "io/event_loop.hpp"
#include "io/stream_socket.hpp"
#include "limits/connection_admission.hpp"

namespace dappletiller {

class DownstreamListener::Connection final : public StreamSocket::Callbacks,
                                             public ResponseSink,
                                             private BodySink {
 public:
  Connection(DownstreamListener& listener, limits::ConnectionAdmission::Id id);

  // Starts the timeout for the next request. Only its first byte restarts the timeout, and on a new
  // connection not even that one, so clients cannot hold a connection by sending nothing, or a little at a
  // time.
  void StartReceiveTimeout();

  // A response is passed on as it is received.
  bool streaming() const { return body_ != nullptr; }
  bool idle() const { return state_ == State::kReading && !parser_.begun(); }

  // Closes the connection if it is unused and no request is being received. Reads nothing: a request found
  // here could open an upstream connection, which may close idle clients and reenter this function.
  bool CloseIfUnused();
  // The same, for a listener that closes idle connections, but waits until the client has received its last
  // response, and for the first request of a new connection, which may be on its way.
  void CloseIfUnusedAfterGrace();
  // Closes the socket; an open request counts as abandoned by its client.
  void Disconnect();

  // StreamSocket::Callbacks
  std::span<char> ReceiveBuffer() override;
  void OnReceived(std::size_t count) override;
  void OnFlushed() override;
  void OnClosed(StreamEnd how) override;

  // ResponseSink
  void OnResponse(PayloadRef response) override;
  void OnResponseStarted(PayloadRef head, std::shared_ptr<BodyStream> body) override;
  void OnRejected(Micros retry_after) override;
  void OnFailed() override;
  bool ClientHasDisconnected() const override { return socket.PeerHasClosed(); }

  StreamSocket socket;
  const limits::ConnectionAdmission::Id id;

 private:
  enum class State { kReading, kWaiting, kWriting, kClosing };

  void CloseWhenDelivered(Micros give_up_at);
  Micros ReceiveDeadline() const;
  void CheckReceiveTime();
  void BufferPipelined(std::size_t count);
  Micros ReceivedAt() const;
  bool ReserveMemory(std::size_t bytes);
  void UpdateReservation();
  void OnMemoryExhausted();

  void ProcessInput();
  bool ProcessNextRequest();
  void RejectMalformed();
  void AnswerHealthCheck();
  void DispatchRequest(const http::MessageRef& request);

  // BodySink
  bool ReadyForBody() const override { return socket.output().empty(); }
  void OnBody(std::string part, MemoryBudget::Reservation memory) override;
  void OnBodyEnd(bool complete) override;

  void BeginResponse();
  http::BodyFraming ChooseFraming(const http::Message& head) const;
  bool NextRequestStarted();
  void StartWriting();
  void FinishResponse();
  void CloseUnlessProgress(Micros span);
  void SendStatus(int status, std::string_view text, Micros retry_after);
  void Reject(int status, std::string_view text, ClientClose why = ClientClose::kMalformed);

  DownstreamListener& listener_;
  http::Parser parser_;
  Timer timer_;
  Timer continue_;  // while more requests are buffered than one round may process
  State state_ = State::kReading;
  RequestId dispatched_id_ = 0;
  Micros connected_at_;
  ReceiveTimes received_;
  Micros receiving_since_ = 0;   // first byte of the request in progress, or when the client connected
  Micros last_received_at_ = 0;  // last bytes of it
  Micros last_byte_at_ = 0;      // of the request taken last
  MemoryBudget::Reservation reservation_;  // for what the parser has allocated
  bool memory_available_ = true;           // for the data that is received next
  bool awaiting_first_request_ = true;     // no complete request yet
  bool keep_alive_ = true;
  bool client_is_http10_ = false;                           // according to the request taken last
  std::shared_ptr<BodyStream> body_;                        // the rest of the response that is being written
  http::BodyFraming framing_ = http::BodyFraming::kLength;  // of that response
  bool processing_ = false;                                 // within ProcessInput
  bool pipeline_overflow_ = false;                          // pipelined data exceeded the limit
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DOWNSTREAM_CONNECTION_HPP_
