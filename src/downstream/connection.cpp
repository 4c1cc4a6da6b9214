#include "downstream/connection.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "base/payload.hpp"
#include "downstream/incoming_request.hpp"

namespace dappletiller {
namespace {

constexpr int kMaxRequestsPerRound = 8;  // of one client
// Maximum time to receive a request, from its first byte or from connecting, and maximum time without any of
// its bytes. A client that sends no complete request must get an error or a close within 3 s of connecting.
constexpr Micros kReceiveTimeout = 2'400'000;
// A body may take more time, as long as it comes at this rate: half of what clients may be as slow as.
constexpr std::uint64_t kMinBodyBytesPerSecond = 32'000;
constexpr Micros kMicrosPerSecond = 1'000'000;
constexpr Micros kIdleTimeout = 2'100'000;  // without any request; clients must be allowed 2 s
// Minimum time after connecting before an idle connection is closed.
constexpr Micros kFirstRequestGrace = 100'000;
// Between checks for whether a client has received all of its response.
constexpr Micros kDeliveryCheckInterval = 10'000;
// Maximum pipelined data kept per client: one request of maximum size, or many small ones.
constexpr std::size_t kMaxPipelinedBytes = http::kMaxHeadSize + http::kMaxBodySize;
// Memory of each client for received data even if the memory for requests is used up: the smallest buffer,
// and the table of some headers.
constexpr std::size_t kGuaranteedBytes = http::kMinReceiveBuffer + 512;

constexpr int kOk = 200;
constexpr int kRequestTimeout = 408;
constexpr int kConflict = 409;
constexpr int kContentTooLarge = 413;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;

}  // namespace

DownstreamListener::Connection::Connection(DownstreamListener& listener,
                                           limits::ConnectionAdmission::Id connection_id)
    : socket(listener.loop_, *this),
      id(connection_id),
      listener_(listener),
      parser_(http::Parser::Kind::kRequest, http::kMaxBodySize, listener.options_.long_bodies),
      timer_(listener.loop_),
      continue_(listener.loop_),
      connected_at_(listener.loop_.Now()) {}

// ---- Idle connections ----

void DownstreamListener::Connection::StartReceiveTimeout() {
  if (!parser_.begun()) {
    CloseUnlessProgress(kIdleTimeout);
    return;
  }
  receiving_since_ = awaiting_first_request_ ? connected_at_ : listener_.loop_.Now();
  last_received_at_ = std::max(last_received_at_, receiving_since_);
  timer_.Set(ReceiveDeadline() - listener_.loop_.Now(), [this] { CheckReceiveTime(); });
}

Micros DownstreamListener::Connection::ReceiveDeadline() const {
  const std::uint64_t body_bytes = parser_.in_body() ? parser_.body_size() : 0;
  const auto body_time = static_cast<Micros>(body_bytes * kMicrosPerSecond / kMinBodyBytesPerSecond);
  return kReceiveTimeout + std::min(receiving_since_ + body_time, last_received_at_);
}

void DownstreamListener::Connection::CheckReceiveTime() {
  const Micros remaining = ReceiveDeadline() - listener_.loop_.Now();
  if (remaining <= 0)
    return Reject(kRequestTimeout, "the request took too long to arrive", ClientClose::kLateRequest);
  timer_.Set(remaining, [this] { CheckReceiveTime(); });
}

bool DownstreamListener::Connection::CloseIfUnused() {
  if (!socket.open() || !(idle() || state_ == State::kClosing)) return false;
  if (state_ != State::kClosing && socket.IsStale()) return false;
  listener_.Remove(*this);
  return true;
}

void DownstreamListener::Connection::CloseIfUnusedAfterGrace() {
  const Micros now = listener_.loop_.Now();
  const Micros remaining = awaiting_first_request_ ? connected_at_ + kFirstRequestGrace - now : 0;
  if (remaining <= 0) return CloseWhenDelivered(now + listener_.options_.linger_timeout);
  timer_.Set(remaining, [this] { CloseIfUnusedAfterGrace(); });
}

// A close while the kernel still holds part of the last response would lose that part if the client sends
// more.
void DownstreamListener::Connection::CloseWhenDelivered(Micros give_up_at) {
  if (!listener_.closes_idle()) return StartReceiveTimeout();
  if (socket.UnacknowledgedBytes() == 0 || listener_.loop_.Now() >= give_up_at) {
    CloseIfUnused();
    return;
  }
  timer_.Set(kDeliveryCheckInterval, [this, give_up_at] { CloseWhenDelivered(give_up_at); });
}

void DownstreamListener::Connection::Disconnect() {
  timer_.Clear();
  continue_.Clear();
  socket.Close();
  if (const auto body = std::exchange(body_, nullptr)) body->Abandon();
  if (std::exchange(state_, State::kClosing) != State::kWaiting) return;
  listener_.dispatcher_.OnClientDisconnected(dispatched_id_);
}

// ---- Receiving ----

// Always reads, since the client's end of stream follows all data it sent, and requests of disconnected
// clients must not be forwarded. Data that the parser cannot hold goes to a shared buffer.
std::span<char> DownstreamListener::Connection::ReceiveBuffer() {
  const bool parser_receives =
      state_ != State::kClosing && !pipeline_overflow_ && !parser_.done() && !parser_.bad();
  memory_available_ = !parser_receives || ReserveMemory(parser_.AllocatedToReceive());
  if (!parser_receives || !memory_available_) return listener_.discard_buffer_;
  return parser_.ReceiveBuffer();
}

void DownstreamListener::Connection::OnReceived(std::size_t count) {
  if (state_ == State::kClosing) return;
  last_received_at_ = listener_.loop_.Now();
  if (!memory_available_) return OnMemoryExhausted();
  if (parser_.done() || parser_.bad() || pipeline_overflow_) return BufferPipelined(count);
  const bool is_first_byte = !parser_.begun();
  parser_.Commit(count);
  const Micros received_at = ReceivedAt();
  if (state_ != State::kReading) return received_.Add(count, parser_.buffered(), received_at);
  received_.Restart(parser_.buffered(), received_at);
  if (is_first_byte) {
    listener_.admission_.OnBytesReceived(id);
    StartReceiveTimeout();
  }
  ProcessInput();
}

// Buffers pipelined data behind a complete request. Beyond the limit no further request can be complete, so
// the data is discarded and answered with an error in its turn.
void DownstreamListener::Connection::BufferPipelined(std::size_t count) {
  if (parser_.bad() || pipeline_overflow_) return;
  pipeline_overflow_ =
      parser_.buffered() + count > kMaxPipelinedBytes || !ReserveMemory(parser_.AllocatedToFeed(count));
  if (pipeline_overflow_) return;
  parser_.Feed({listener_.discard_buffer_.data(), count});
  received_.Add(count, parser_.buffered(), listener_.loop_.EventsSince());
}

// When the data at hand was received, at the latest: it may have waited in the accept queue, or while this
// process was busy or not scheduled.
Micros DownstreamListener::Connection::ReceivedAt() const {
  return std::min(listener_.loop_.EventsSince(), listener_.loop_.Now() - socket.TimeSinceLastData());
}

// Reserves `bytes` of memory for what the parser allocates; false: not available now.
bool DownstreamListener::Connection::ReserveMemory(std::size_t bytes) {
  const std::shared_ptr<MemoryBudget>& memory = listener_.options_.request_memory;
  if (memory == nullptr) return true;
  if (!reservation_.has_budget()) reservation_ = MemoryBudget::Reservation(memory);
  reservation_.GrowUnconditionallyTo(std::min(bytes, kGuaranteedBytes));
  return reservation_.GrowTo(bytes);
}

// The parser has freed memory, or has moved data to another buffer, which takes little more.
void DownstreamListener::Connection::UpdateReservation() {
  reservation_.ShrinkTo(parser_.allocated());
  reservation_.GrowUnconditionallyTo(parser_.allocated());
}

// What has been received of the next request is dropped: it can no longer be completed.
void DownstreamListener::Connection::OnMemoryExhausted() {
  parser_ = http::Parser(http::Parser::Kind::kRequest, http::kMaxBodySize, listener_.options_.long_bodies);
  reservation_ = MemoryBudget::Reservation();
  if (state_ == State::kReading) {
    Reject(kServiceUnavailable, "no memory for a request is left now", ClientClose::kNoMemory);
  } else {
    pipeline_overflow_ = true;
  }
}

void DownstreamListener::Connection::OnClosed(StreamEnd) { listener_.Remove(*this); }

// ---- Requests ----

// A response may be written at once, and then the next request is processed: in this loop, since a client
// can pipeline thousands. After some of them other clients have their turn.
void DownstreamListener::Connection::ProcessInput() {
  if (processing_) return;
  processing_ = true;
  int requests = 0;
  while (socket.open() && state_ == State::kReading && requests < kMaxRequestsPerRound &&
         ProcessNextRequest()) {
    ++requests;
  }
  processing_ = false;
  if (requests == kMaxRequestsPerRound && parser_.done()) continue_.Set(0, [this] { ProcessInput(); });
}

// Returns whether a request was taken.
bool DownstreamListener::Connection::ProcessNextRequest() {
  if (parser_.bad()) {
    RejectMalformed();
    return false;
  }
  if (parser_.wants_continue()) {
    parser_.continued();
    socket.output().Append("HTTP/1.1 100 Continue\r\n\r\n");
    socket.Flush();
  }
  if (!parser_.done() && pipeline_overflow_)
    Reject(kContentTooLarge, "too much data was sent before the response", ClientClose::kPipelined);
  if (!parser_.done() || !socket.open()) return false;
  const std::size_t buffered = parser_.buffered();
  const http::MessageRef request = parser_.TakeMessage(&reservation_);
  UpdateReservation();
  last_byte_at_ = received_.Take(buffered - parser_.buffered());
  keep_alive_ = request->keep_alive();
  client_is_http10_ = request->http10();
  awaiting_first_request_ = false;
  if (request->path() == "/up") {
    AnswerHealthCheck();
  } else {
    DispatchRequest(request);
  }
  return true;
}

void DownstreamListener::Connection::RejectMalformed() {
  const bool out_of_memory = parser_.error_status() == kServiceUnavailable;
  Reject(parser_.error_status(),
         out_of_memory ? "no memory for a long body is left now" : "the request is malformed or too large",
         out_of_memory ? ClientClose::kNoMemory : ClientClose::kMalformed);
}

void DownstreamListener::Connection::AnswerHealthCheck() {
  listener_.admission_.OnHealthCheck(id);
  // With a socket inherited from the platform, a successor process serves the clients, so the proxy is
  // still up.
  const bool leaves = listener_.draining_ && !listener_.inherited_;
  const bool up = !listener_.lame_duck_ && !leaves;
  SendStatus(up ? kOk : kServiceUnavailable, up ? "up" : "leaving", 0);
}

void DownstreamListener::Connection::DispatchRequest(const http::MessageRef& request) {
  auto parsed = ParseIncomingRequest(request, last_byte_at_, listener_.dispatcher_.classes());
  if (!parsed) return Reject(parsed.error().status, parsed.error().text);
  IncomingRequest& incoming = parsed->incoming;
  // A second request with the same id would be the same request to a server.
  switch (listener_.dispatcher_.CheckId(incoming.id, incoming.request_class)) {
    case RequestDispatcher::IdStatus::kOpen:
      return Reject(kConflict, "a request with this Request-Id is still open");
    case RequestDispatcher::IdStatus::kMayHaveRun:
      return Reject(kConflict, "a request with this Request-Id may have run", ClientClose::kRepeatedId);
    case RequestDispatcher::IdStatus::kNew:
      break;
  }
  incoming.tenant = listener_.FindTenant(parsed->tenant);
  incoming.answer_by = listener_.answer_by_;
  state_ = State::kWaiting;
  timer_.Clear();
  dispatched_id_ = listener_.dispatcher_.NewRequestId();
  listener_.admission_.OnRequest(id);
  listener_.CloseExcessIdle();
  listener_.dispatcher_.OnRequest(dispatched_id_, std::move(incoming), *this);
}

// ---- Responses ----

void DownstreamListener::Connection::OnResponse(PayloadRef response) {
  const auto message = std::static_pointer_cast<const http::Message>(std::move(response));
  BeginResponse();
  http::WriteResponse(message, keep_alive_, &socket.output());
  StartWriting();
}

void DownstreamListener::Connection::OnResponseStarted(PayloadRef head, std::shared_ptr<BodyStream> body) {
  const auto message = std::static_pointer_cast<const http::Message>(std::move(head));
  BeginResponse();
  framing_ = ChooseFraming(*message);
  if (framing_ == http::BodyFraming::kUntilEnd) keep_alive_ = false;
  http::WriteResponseHead(message, framing_, keep_alive_, &socket.output());
  body_ = std::move(body);
  body_->Attach(*this);
  StartWriting();
}

http::BodyFraming DownstreamListener::Connection::ChooseFraming(const http::Message& head) const {
  if (head.content_length()) return http::BodyFraming::kLength;
  return client_is_http10_ ? http::BodyFraming::kUntilEnd : http::BodyFraming::kChunked;
}

void DownstreamListener::Connection::OnBody(std::string part, MemoryBudget::Reservation memory) {
  http::WriteBodyPart(std::move(part), std::move(memory), framing_, &socket.output());
  socket.Flush();
}

void DownstreamListener::Connection::OnBodyEnd(bool complete) {
  body_ = nullptr;
  if (!complete) {
    listener_.CountClose(ClientClose::kResponseCut);
    // An orderly end would make the body look complete.
    if (framing_ == http::BodyFraming::kUntilEnd) socket.Abort();
    return listener_.Remove(*this);
  }
  http::WriteBodyEnd(framing_, &socket.output());
  if (socket.output().empty()) return FinishResponse();
  socket.Flush();
}

void DownstreamListener::Connection::OnRejected(Micros retry_after) {
  SendStatus(kServiceUnavailable, "overloaded, try again later", retry_after);
}

void DownstreamListener::Connection::OnFailed() { SendStatus(kBadGateway, "no server responded", 0); }

void DownstreamListener::Connection::BeginResponse() {
  state_ = State::kWriting;
  const bool is_last =
      listener_.draining_ || listener_.lame_duck_ || listener_.admission_.ShouldCloseAfterResponse(id);
  if (is_last && !NextRequestStarted()) keep_alive_ = false;
}

// Whether data of a further request has been received. Closing the connection now would leave that request
// without a response.
bool DownstreamListener::Connection::NextRequestStarted() {
  return pipeline_overflow_ || parser_.begun() || socket.IsStale();
}

void DownstreamListener::Connection::StartWriting() {
  CloseUnlessProgress(listener_.options_.write_timeout);
  socket.Flush();
}

void DownstreamListener::Connection::OnFlushed() {
  if (state_ != State::kWriting) return;
  if (body_ != nullptr) return body_->Resume();
  FinishResponse();
}

void DownstreamListener::Connection::FinishResponse() {
  if (!keep_alive_) {
    state_ = State::kClosing;
    socket.ShutdownWrite();
    listener_.admission_.OnLastResponse(id);
    CloseUnlessProgress(listener_.options_.linger_timeout);
    socket.ResumeReading();
    return;
  }
  state_ = State::kReading;
  StartReceiveTimeout();
  ProcessInput();
  socket.ResumeReading();
  if (!socket.open() || !idle()) return;
  listener_.admission_.OnIdle(id);
  if (listener_.closes_idle()) {
    CloseIfUnusedAfterGrace();
  } else {
    listener_.CloseExcessIdle();
  }
}

// Closes the connection when the client has accepted no data for `span`, or has all of it and is silent.
// Counts progress rather than total time, so that slow but steady readers are not disconnected. A close
// while the kernel still holds part of a response would lose that part: the client's next byte resets the
// connection.
void DownstreamListener::Connection::CloseUnlessProgress(Micros span) {
  const std::uint64_t before = socket.AcknowledgedBytes();
  timer_.Set(span, [this, span, before] {
    const bool has_all = socket.UnacknowledgedBytes() == 0;
    const bool waits_for_server = has_all && body_ != nullptr;
    const bool progresses = !has_all && socket.AcknowledgedBytes() > before;
    if (waits_for_server || progresses) return CloseUnlessProgress(span);
    if (state_ == State::kWriting) {
      listener_.CountClose(ClientClose::kNotReading);
      return listener_.Remove(*this);
    }
    if (CloseIfUnused()) listener_.CountClose(ClientClose::kIdle);
  });
}

void DownstreamListener::Connection::SendStatus(int status, std::string_view text, Micros retry_after) {
  BeginResponse();
  http::WriteStatusResponse(status, text, retry_after, keep_alive_, &socket.output());
  StartWriting();
}

void DownstreamListener::Connection::Reject(int status, std::string_view text, ClientClose why) {
  keep_alive_ = false;
  listener_.CountClose(why);
  listener_.log_.Info("listener: responding with status %d and closing the connection: %.*s", status,
                      static_cast<int>(text.size()), text.data());
  SendStatus(status, text, 0);
}

}  // namespace dappletiller
