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

// A response without a stated length is held for so long, since it can be replaced by another attempt's until
// its first byte is passed on; then it is streamed.
constexpr Micros kMaxHoldTime = 50'000;
constexpr int kHoldTimeDivisor = 2;  // of the time left to the client
// A server that has sent nothing for this long has paused.
constexpr Micros kPause = 100'000;
// A streamed response is given up if its server sends nothing for so long. One that is known to be short
// should have been complete by the client's deadline; the client may be waiting for its end.
constexpr Micros kMaxSilence = 10'000'000;
constexpr Micros kMaxSilenceOfShort = 1'500'000;
constexpr Micros kAfterDeadline = 300'000;

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
      parser_(http::Parser::Kind::kResponse),
      memory_(pool.response_memory_) {
  parser_.EnableStreaming();
}

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
  if (stream_ != nullptr) return StreamBuffer();
  if (ReserveMemory()) return parser_.ReceiveBuffer();
  if (!waits_for_memory_) pool_.WaitForMemory(key);
  waits_for_memory_ = true;
  return {};
}

bool UpstreamPool::Connection::ReserveMemory() {
  if (!memory_.has_budget() || stream_ != nullptr) return true;
  const std::size_t needed = parser_.in_body() ? parser_.allocated() : parser_.AllocatedToReceive();
  memory_.GrowUnconditionallyTo(std::max(kGuaranteedBytes, needed));
  return memory_.GrowTo(parser_.expected_size());
}

void UpstreamPool::Connection::ResumeReading() {
  waits_for_memory_ = false;
  socket.ResumeReading();
}

void UpstreamPool::Connection::OnReceived(std::size_t count) {
  if (busy && !parser_.begun()) response_was_early_ = socket.UnacknowledgedBytes() > 0;
  last_byte_at_ = pool_.loop_.Now();
  if (response_bytes_ == 0) first_byte_at_ = last_byte_at_;
  response_bytes_ += count;
  parser_.Commit(count);
  ProcessInput();
}

void UpstreamPool::Connection::OnClosed(StreamEnd how) {
  if (how == StreamEnd::kOrderly) parser_.OnStreamEnd();
  if (stream_ != nullptr) {
    ForwardBody();
    if (stream_ != nullptr) EndStream(false, "the connection ended");
    return;
  }
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
  if (stream_ != nullptr) return ForwardBody();
  if (parser_.bad()) return OnMalformed();
  if (parser_.done()) return OnResponse();
  if (parser_.must_stream()) return StartStreaming();
  const bool has_no_length = parser_.in_body() && !parser_.message().content_length();
  if (!has_no_length || timer.set()) return;
  const Micros time_left = std::max<Micros>(0, deadline_ - pool_.loop_.Now());
  timer.Set(std::min(kMaxHoldTime, time_left / kHoldTimeDivisor), [this] { StartStreaming(); });
}

void UpstreamPool::Connection::OnMalformed() {
  pool_.LogPartialResponse(*this, MalformedReason());
  socket.Close();
  pool_.Finish(*this, BrokenOutcome(), nullptr);
}

const char* UpstreamPool::Connection::MalformedReason() const {
  return parser_.error_status() == kContentTooLarge ? "its body is too long" : "it is malformed";
}

void UpstreamPool::Connection::OnResponse() {
  timer.Clear();
  http::MessageRef response = parser_.TakeMessage(&memory_);
  memory_.ShrinkTo(parser_.allocated());
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

// ---- A response that is passed on while it is received ----

bool UpstreamPool::Connection::StartResponse() {
  const bool has_begun = stream_ == nullptr && written_ && !response_was_early_ && parser_.in_body();
  const bool has_paused = pool_.loop_.Now() - last_byte_at_ > kPause;
  if (!has_begun || has_paused || OutcomeOf(parser_.message()) != AttemptOutcome::kAnswered) return false;
  StartStreaming();
  return true;
}

void UpstreamPool::Connection::StartStreaming() {
  timer.Clear();
  AttemptOutcome outcome = OutcomeOf(parser_.message());
  // Of an earlier request, as in OnResponse. The rest of it is still on the connection.
  if (!written_ && outcome != AttemptOutcome::kRejected) outcome = AttemptOutcome::kUnreachable;
  if (response_was_early_ && outcome == AttemptOutcome::kAnswered) outcome = AttemptOutcome::kReset;
  if (outcome != AttemptOutcome::kAnswered) {
    socket.Close();
    return pool_.Finish(*this, outcome, nullptr);
  }
  pool_.RecordReuse(idle_time, true);
  http::MessageRef head = parser_.TakeHead(memory_.Split(parser_.head_size()));
  keep_alive_ = head->keep_alive();
  is_short_ = head->content_length() && *head->content_length() <= http::kMaxBodySize;
  stream_ = std::make_shared<BodyStream>(*this);
  timer.Set(MaxSilenceEnd() - pool_.loop_.Now(), [this] { CheckSilence(); });
  const bool is_wanted = pool_.dispatcher_.OnResponseStarted(key, std::move(head), stream_);
  if (!is_wanted) return AbandonBody();
  if (stream_ != nullptr) ForwardBody();
}

// Reads only as fast as the client takes the body. Small parts need no memory to be available, so that no
// stream waits for another.
std::span<char> UpstreamPool::Connection::StreamBuffer() {
  if (!stream_->ready()) return {};
  if (memory_.GrowTo(http::kMaxReceiveBuffer)) return parser_.ReceiveBuffer(http::kMaxReceiveBuffer);
  memory_.GrowUnconditionallyTo(kGuaranteedBytes);
  return parser_.ReceiveBuffer(kGuaranteedBytes);
}

void UpstreamPool::Connection::ForwardBody() {
  const std::shared_ptr<BodyStream> stream = stream_;
  if (std::string part = parser_.TakeBody(); !part.empty()) {
    memory_.ShrinkTo(part.size());
    stream->Write(std::move(part), std::exchange(memory_, MemoryBudget::Reservation(pool_.long_bodies_)));
  }
  if (stream_ == nullptr) return;  // the client has gone
  if (parser_.bad()) return EndStream(false, MalformedReason());
  if (parser_.done()) EndStream(true, "");
}

void UpstreamPool::Connection::EndStream(bool complete, const char* reason) {
  const std::shared_ptr<BodyStream> stream = std::exchange(stream_, nullptr);
  memory_ = MemoryBudget::Reservation(pool_.response_memory_);
  if (complete) {
    parser_.TakeMessage();
    reusable_ = keep_alive_ && !parser_.begun();
    if (parser_.begun()) pool_.RecordExtraData(server);
  } else {
    ++pool_.dispatcher_.counters().responses_cut;
    pool_.LogPartialResponse(*this, reason);
    socket.Close();
  }
  pool_.Release(*this);
  stream->End(complete);
}

Micros UpstreamPool::Connection::MaxSilenceEnd() const {
  if (!is_short_) return last_byte_at_ + kMaxSilence;
  return std::max(last_byte_at_ + kMaxSilenceOfShort, deadline_ + kAfterDeadline);
}

void UpstreamPool::Connection::CheckSilence() {
  const Micros now = pool_.loop_.Now();
  if (!stream_->ready()) last_byte_at_ = now;  // the server waits for the client
  const Micros end = MaxSilenceEnd();
  if (now >= end) return EndStream(false, "the server is silent");
  timer.Set(end - now, [this] { CheckSilence(); });
}

void UpstreamPool::Connection::ResumeBody() {
  last_byte_at_ = pool_.loop_.Now();
  socket.ResumeReading();
}

void UpstreamPool::Connection::AbandonBody() {
  stream_ = nullptr;
  pool_.Stop(key);
}

}  // namespace dappletiller
