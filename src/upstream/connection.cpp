#include "upstream/connection.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "base/payload.hpp"
#include "http/writer.hpp"

namespace dappletiller {
namespace {

// Received data of each connection that is buffered even if the memory is used up.
constexpr std::size_t kGuaranteedBytes = std::size_t{2} * 1024;

constexpr int kOk = 200;
constexpr int kContentTooLarge = 413;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

AttemptOutcome OutcomeOf(const http::Message& response) {
  if (response.status() == kOk) return AttemptOutcome::kAnswered;
  const bool not_run = response.status() == kServiceUnavailable || response.status() == kGatewayTimeout;
  if (not_run && response.Find("Not-Started") == "1") return AttemptOutcome::kRejected;
  return AttemptOutcome::kError;
}

}  // namespace

UpstreamPool::Connection::Connection(UpstreamPool& pool, ServerId server_id, const Endpoint& server_endpoint)
    : server(server_id),
      endpoint(server_endpoint),
      timer(pool.loop_),
      socket(pool.loop_, *this),
      pool_(pool),
      parser_(http::Parser::Kind::kResponse, http::kMaxBodySize, pool.long_bodies_),
      memory_(pool.response_memory_) {}

// ---- The request ----

void UpstreamPool::Connection::Send(const Attempt& attempt) {
  key = attempt.key;
  busy = true;
  written_ = false;
  response_was_early_ = false;
  response_bytes_ = 0;
  // The payload is an HTTP message: the pool serves no other protocol.
  request_ = std::static_pointer_cast<const http::Message>(attempt.payload);
  request_id_ = request_ == nullptr ? "" : request_->Find("Request-Id").value_or("");
  deadline_ = pool_.loop_.Now() + attempt.timeout;
  if (!connected) return;
  Write();
  socket.Flush();
}

void UpstreamPool::Connection::OnConnected() {
  connected = true;
  timer.Clear();
  Write();
}

// Called once the connection is established: the request states the time left, which the connecting has
// reduced.
void UpstreamPool::Connection::Write() {
  http::WriteRequest(request_, deadline_ - pool_.loop_.Now(), &socket.output());
  request_ = nullptr;
}

// ---- The response ----

std::span<char> UpstreamPool::Connection::ReceiveBuffer() {
  if (ReserveMemory()) return parser_.ReceiveBuffer();
  if (!waits_for_memory_) pool_.WaitForMemory(key);
  waits_for_memory_ = true;
  return {};
}

bool UpstreamPool::Connection::ReserveMemory() {
  if (!memory_.has_budget()) return true;
  const std::size_t expected = parser_.expected_size();
  memory_.GrowUnconditionallyTo(std::max(kGuaranteedBytes, parser_.buffered()));
  return memory_.GrowTo(expected);
}

void UpstreamPool::Connection::ResumeReading() {
  waits_for_memory_ = false;
  socket.ResumeReading();
}

void UpstreamPool::Connection::OnReceived(std::size_t count) {
  if (busy && !parser_.begun()) response_was_early_ = socket.UnacknowledgedBytes() > 0;
  if (response_bytes_ == 0) first_byte_at_ = pool_.loop_.Now();
  response_bytes_ += count;
  parser_.Commit(count);
  ProcessInput();
}

void UpstreamPool::Connection::OnClosed(StreamEnd how) {
  if (how == StreamEnd::kOrderly) parser_.OnStreamEnd();
  if (busy && parser_.done()) return ProcessInput();
  if (!busy) return pool_.CloseIdle(*this);
  if (written_ && !parser_.begun()) pool_.RecordReuse(idle_time, false);
  pool_.LogPartialResponse(*this, "the connection ended");
  pool_.Finish(*this, BrokenOutcome(), nullptr);
}

void UpstreamPool::Connection::ProcessInput() {
  if (!busy) {  // unsolicited data could be mistaken for the next response
    pool_.RecordExtraData(server);
    socket.Close();
    return pool_.CloseIdle(*this);
  }
  if (parser_.bad()) return OnMalformed();
  if (parser_.done()) OnResponse();
}

void UpstreamPool::Connection::OnMalformed() {
  const char* reason = "it is malformed";
  if (parser_.error_status() == kServiceUnavailable) reason = "no memory for a long body";
  if (parser_.error_status() == kContentTooLarge) reason = "its body is too long";
  pool_.LogPartialResponse(*this, reason);
  socket.Close();
  pool_.Finish(*this, BrokenOutcome(), nullptr);
}

void UpstreamPool::Connection::OnResponse() {
  memory_.ShrinkTo(parser_.expected_size());
  http::MessageRef response =
      parser_.TakeMessage(std::exchange(memory_, MemoryBudget::Reservation(pool_.response_memory_)));
  // After a response that precedes the end of the request, part of the request is still on the connection.
  reusable_ = response->keep_alive() && written_ && !parser_.begun();
  if (parser_.begun()) pool_.RecordExtraData(server);
  AttemptOutcome end = OutcomeOf(*response);
  // The response belongs to an earlier request. This one may run, so it is not retried; its response
  // follows or has been received.
  if (response_was_early_ && written_ && end == AttemptOutcome::kAnswered) {
    pool_.RecordExtraData(server);
    response_was_early_ = false;
    if (socket.open()) return ProcessInput();
    end = AttemptOutcome::kReset;
  }
  // A server begins a request after its last byte. Before that, any response but a rejection belongs to an
  // earlier request and must not be forwarded.
  if (!written_ && end != AttemptOutcome::kRejected) end = AttemptOutcome::kUnreachable;
  pool_.RecordReuse(idle_time, true);
  pool_.Finish(*this, end, std::move(response));
}

}  // namespace dappletiller
