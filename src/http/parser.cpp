#include "http/parser.hpp"

#include <algorithm>
#include <cstring>
#include <optional>
#include <utility>

#include "http/text.hpp"

namespace dappletiller::http {
namespace {

constexpr std::size_t kMaxChunkLineSize = 256;
// What a message without a length may allocate beyond its head and body: the rest of a chunk line, and room
// for the next bytes.
constexpr std::size_t kMaxUnsizedSurplus = 2 * kMinReceiveBuffer;
static_assert(kMaxChunkLineSize <= kMinReceiveBuffer);
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kNoMemory = 503;
constexpr int kSwitchingProtocols = 101;

std::uint32_t ToPlace(std::size_t at) { return static_cast<std::uint32_t>(at); }
std::ptrdiff_t ToOffset(std::size_t at) { return static_cast<std::ptrdiff_t>(at); }

bool HasNoBody(int status) { return status == 204 || status == 304; }
bool IsInterim(int status) { return status < 200 && status != kSwitchingProtocols; }

}  // namespace

struct Parser::Framing {
  std::optional<std::uint64_t> length;
  bool chunked = false;
  bool close = false;
  bool keep_alive = false;
};

Parser::Parser(Kind kind, std::size_t max_body_size, std::shared_ptr<MemoryBudget> long_bodies)
    : kind_(kind),
      max_body_size_(max_body_size),
      long_bodies_(std::move(long_bodies)),
      message_(std::make_unique<Message>()) {}

// ---- Bytes in, messages out ----

// By how many bytes the message's buffer grows when it is full.
std::size_t Parser::BufferGrowth(std::size_t max_size) const {
  if (state_ == State::kSizedBody) {
    // Who has sent a whole receive buffer is expected to send the rest.
    const bool takes_rest = !streaming_ && received_ >= kMaxReceiveBuffer;
    return takes_rest ? remaining_ : std::min(remaining_, max_size);
  }
  if (streaming_) return max_size;
  if (state_ == State::kHead) return std::max(received_, kMinReceiveBuffer);
  const std::size_t expected = expected_size();
  const std::size_t limit = expected > received_ ? expected - received_ : received_;
  return std::max(std::min(std::max(received_, kMaxReceiveBuffer), limit), kMinReceiveBuffer);
}

// The capacity of the message's buffer for the next bytes.
std::size_t Parser::CapacityToReceive(std::size_t max_size) const {
  const std::size_t capacity = message_->bytes_.capacity();
  const std::size_t room = capacity - received_;
  const bool holds_rest = state_ == State::kSizedBody && room >= remaining_;
  return holds_rest || room >= kMinReceiveBuffer / 2 ? capacity : received_ + BufferGrowth(max_size);
}

std::size_t Parser::MessageMemory(std::size_t growth) const {
  const std::size_t total = message_->allocated() + growth;
  return total - std::min(total, message_->long_body_.size());
}

std::size_t Parser::AllocatedToReceive(std::size_t max_size) const {
  if (!CanReceive()) return allocated();
  const std::size_t growth = CapacityToReceive(max_size) - message_->bytes_.capacity();
  return MessageMemory(growth) + pending_.allocated();
}

std::size_t Parser::AllocatedToFeed(std::size_t count) const {
  return MessageMemory() + pending_.AllocatedAfterAppend(count);
}

std::span<char> Parser::ReceiveBuffer(std::size_t max_size) {
  if (!CanReceive()) return {};
  std::vector<char>& bytes = message_->bytes_;
  bytes.reserve(CapacityToReceive(max_size));
  bytes.resize(std::min(bytes.capacity(), received_ + max_size));
  return std::span(bytes).subspan(received_);
}

void Parser::Commit(std::size_t count) {
  received_ += count;
  Run();
}

void Parser::Feed(std::string_view bytes) {
  if (bad()) return;
  pending_.Append(bytes);
  ParsePending();
}

void Parser::OnStreamEnd() {
  if (state_ == State::kBodyUntilEnd) Finish();
}

std::size_t Parser::expected_size() const {
  const std::size_t body_at = message_->body_.at;
  switch (state_) {
    case State::kHead:
    case State::kBad:
      return 0;
    case State::kDone:
      return next_;
    case State::kSizedBody:
      return body_at + std::min(next_ - body_at + remaining_, max_body_size_);
    case State::kChunkSize:
    case State::kChunkData:
    case State::kChunkEnd:
    case State::kTrailer:
    case State::kBodyUntilEnd:
      break;
  }
  return body_at + max_body_size_ + kMaxUnsizedSurplus;
}

MessageRef Parser::TakeMessage(MemoryBudget::Reservation* memory) {
  ReturnToPending();
  message_->bytes_.shrink_to_fit();
  message_->long_body_.ShrinkTo(next_ - std::min(next_, max_body_size_));
  if (memory != nullptr) message_->memory_ = memory->Split(MessageMemory());
  MessageRef taken = std::exchange(message_, std::make_unique<Message>());
  state_ = State::kHead;
  received_ = scanned_ = next_ = body_end_ = remaining_ = trailer_size_ = 0;
  streamed_ = 0;
  wants_continue_ = must_stream_ = streaming_ = false;
  ParsePending();
  return taken;
}

// What follows the head moves to a new message, which holds only bytes of the body.
MessageRef Parser::TakeHead(MemoryBudget::Reservation memory) {
  message_->memory_ = std::move(memory);
  const std::size_t head_end = message_->body_.at;
  std::vector<char>& bytes = message_->bytes_;
  auto rest = std::make_unique<Message>();
  rest->bytes_.assign(bytes.begin() + ToOffset(head_end), bytes.begin() + ToOffset(received_));
  bytes.resize(head_end);
  bytes.shrink_to_fit();
  received_ -= head_end;
  next_ -= head_end;
  body_end_ -= head_end;
  must_stream_ = false;
  streaming_ = true;
  MessageRef head = std::exchange(message_, std::move(rest));
  ParsePending();
  return head;
}

// The buffer is freed, since the stream may wait for its client for long.
std::string Parser::TakeBody() {
  std::vector<char>& bytes = message_->bytes_;
  std::string part(bytes.data(), body_end_);
  bytes = std::vector<char>(bytes.begin() + ToOffset(body_end_), bytes.begin() + ToOffset(received_));
  streamed_ += body_end_;
  received_ -= body_end_;
  next_ -= body_end_;
  body_end_ = 0;
  return part;
}

// Takes the bytes behind a complete message out of it: they belong to the next one, and the message may be
// kept for long.
void Parser::ReturnToPending() {
  std::vector<char>& bytes = message_->bytes_;
  pending_.Prepend({bytes.data() + next_, received_ - next_});
  received_ = next_;
  bytes.resize(next_);
}

// Parses pending bytes up to the end of the next message.
void Parser::ParsePending() {
  while (!pending_.empty()) {
    const std::span<char> buffer = ReceiveBuffer();
    if (buffer.empty()) return;
    Commit(pending_.Read(buffer));
  }
}

void Parser::Run() {
  while (Step()) {
  }
}

bool Parser::Step() {
  switch (state_) {
    case State::kHead:
      return StepHead();
    case State::kSizedBody:
    case State::kBodyUntilEnd:
    case State::kChunkData:
      return StepBody();
    case State::kChunkSize:
    case State::kChunkEnd:
    case State::kTrailer:
      return StepChunkLine();
    case State::kDone:
    case State::kBad:
      return false;
  }
  return false;
}

bool Parser::Fail(int status) {
  error_status_ = status;
  state_ = State::kBad;
  return false;
}

bool Parser::Finish() {
  message_->body_.size = ToPlace(body_end_ - message_->body_.at);
  wants_continue_ = false;
  state_ = State::kDone;
  return false;
}

// ---- Head ----

bool Parser::StepHead() {
  const std::string_view bytes(message_->bytes_.data(), received_);
  // Empty lines before a message are skipped (RFC 9112, section 2.2).
  while (next_ + kLineEnd.size() <= received_ && bytes.substr(next_, kLineEnd.size()) == kLineEnd) {
    next_ += kLineEnd.size();
  }
  scanned_ = std::max(scanned_, next_);
  const std::size_t end = bytes.find(kHeadEnd, scanned_);
  if (end == std::string_view::npos) {
    const std::size_t may_begin_end = received_ < kHeadEnd.size() - 1 ? 0 : received_ - (kHeadEnd.size() - 1);
    scanned_ = std::max(next_, may_begin_end);
    return received_ > kMaxHeadSize ? Fail(kHeadTooLarge) : false;
  }
  const std::size_t head_end = end + kHeadEnd.size();
  if (head_end > kMaxHeadSize) return Fail(kHeadTooLarge);
  return OnHead(head_end);
}

bool Parser::OnHead(std::size_t head_end) {
  if (!ParseHeadLines(head_end)) return bad() ? false : Fail(kBadRequest);
  next_ = body_end_ = head_end;
  message_->body_ = {ToPlace(head_end), 0};
  Framing framing;
  if (!ReadFraming(&framing)) return Fail(kBadRequest);
  return BeginBody(framing);
}

bool Parser::ParseHeadLines(std::size_t head_end) {
  const std::string_view lines(message_->bytes_.data(), head_end - kLineEnd.size());
  bool first = true;
  for (std::size_t at = next_; at < lines.size();) {
    const std::size_t end = lines.find(kLineEnd, at);
    const std::string_view line = lines.substr(at, end - at);
    const bool parsed = first ? ParseStartLine(line, ToPlace(at)) : ParseHeader(line, ToPlace(at));
    if (!parsed) return false;
    first = false;
    at = end + kLineEnd.size();
  }
  return true;
}

bool Parser::ParseStartLine(std::string_view line, std::uint32_t at) {
  if (HasControlCharacter(line, Tab::kIsControl)) return false;
  const std::size_t first_space = line.find(' ');
  if (first_space == std::string_view::npos) return false;
  const std::size_t second_space = line.find(' ', first_space + 1);
  std::string_view version;
  if (kind_ == Kind::kResponse) {
    version = line.substr(0, first_space);
  } else if (second_space != std::string_view::npos) {
    version = line.substr(second_space + 1);
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
  message_->http10_ = version == "HTTP/1.0";

  const std::size_t middle_size = std::min(second_space, line.size()) - first_space - 1;
  if (kind_ == Kind::kResponse) return ParseStatusLine(line.substr(first_space + 1, middle_size));
  if (!IsToken(line.substr(0, first_space)) || middle_size == 0) return false;
  message_->method_ = {at, ToPlace(first_space)};
  message_->target_ = {ToPlace(at + first_space + 1), ToPlace(middle_size)};
  return true;
}

bool Parser::ParseStatusLine(std::string_view code) {
  constexpr std::size_t kCodeLength = 3;
  constexpr std::uint64_t kMinCode = 100;
  const auto status = ParseNumber(code, 10);
  if (code.size() != kCodeLength || !status || *status < kMinCode) return false;
  message_->status_ = static_cast<int>(*status);
  return true;
}

bool Parser::ParseHeader(std::string_view line, std::uint32_t at) {
  if (message_->headers_.size() >= kMaxHeaders) return Fail(kHeadTooLarge);
  const std::size_t colon = line.find(':');
  // A space before the colon and a folded line fail here too: both have been used to smuggle requests.
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) return false;
  const std::string_view value = Trim(line.substr(colon + 1));
  if (HasControlCharacter(value, Tab::kIsAllowed)) return false;
  const auto value_at = static_cast<std::size_t>(value.data() - message_->bytes_.data());
  message_->headers_.push_back({{at, ToPlace(colon)},
                                {ToPlace(value_at), ToPlace(value.size())},
                                {at, ToPlace(line.size() + kLineEnd.size())}});
  return true;
}

// ---- Framing of the body (RFC 9112, section 6) ----

bool Parser::ReadFraming(Framing* framing) {
  for (const Message::Header& header : message_->headers_) {
    const std::string_view name = message_->View(header.name);
    const std::string_view value = message_->View(header.value);
    if (EqualsIgnoringCase(name, "Content-Length")) {
      const auto length = ParseNumber(value, 10);
      if (!length || (framing->length && *framing->length != *length)) return false;
      framing->length = length;
    } else if (EqualsIgnoringCase(name, "Transfer-Encoding")) {
      if (framing->chunked || !EqualsIgnoringCase(value, "chunked")) return false;
      framing->chunked = true;
    } else if (EqualsIgnoringCase(name, "Connection")) {
      framing->close = framing->close || HasToken(value, "close");
      framing->keep_alive = framing->keep_alive || HasToken(value, "keep-alive");
    } else if (EqualsIgnoringCase(name, "Expect") && kind_ == Kind::kRequest) {
      wants_continue_ = HasToken(value, "100-continue") && !message_->http10_;
    }
  }
  return !framing->chunked || (!framing->length && !message_->http10_);
}

bool Parser::BeginBody(const Framing& framing) {
  Message& message = *message_;
  message.keep_alive_ = message.http10_ ? framing.keep_alive && !framing.close : !framing.close;
  message.content_length_ = framing.length;
  if (kind_ == Kind::kResponse) {
    if (IsInterim(message.status_)) {  // the final response follows
      message.headers_.clear();
      state_ = State::kHead;
      return true;
    }
    if (HasNoBody(message.status_)) return Finish();
  }
  if (framing.length && !AdmitBody(*framing.length)) return false;
  if (framing.chunked) {
    state_ = State::kChunkSize;
  } else if (framing.length) {
    remaining_ = static_cast<std::size_t>(*framing.length);
    state_ = State::kSizedBody;
  } else if (kind_ == Kind::kResponse) {
    message.keep_alive_ = false;
    state_ = State::kBodyUntilEnd;
  } else {
    return Finish();
  }
  return true;
}

// Whether a body that has at least `size` bytes can be received; if not, the message fails.
bool Parser::AdmitBody(std::uint64_t size) {
  if (size <= max_body_size_) return true;
  if (!streaming_enabled_) return ReserveBody(size);
  if (size > kMaxStreamedBodySize) return Fail(kContentTooLarge);
  must_stream_ = !streaming_;
  return true;
}

// Reserves memory for a body of `size` bytes; if it is not available, the message fails.
bool Parser::ReserveBody(std::uint64_t size) {
  std::uint64_t beyond = size - max_body_size_;
  if (!message_->content_length_) beyond += size;  // its buffer is doubled when it is full
  const bool may_ever =
      long_bodies_ != nullptr && size <= kMaxLongBodySize && beyond <= long_bodies_->limit();
  if (!may_ever) return Fail(kContentTooLarge);
  MemoryBudget::Reservation& share = message_->long_body_;
  if (!share.has_budget()) share = MemoryBudget::Reservation(long_bodies_);
  return share.GrowTo(static_cast<std::size_t>(beyond)) || Fail(kNoMemory);
}

// ---- Body ----

// Appends received body bytes to the decoded part; without chunks they are already in place.
bool Parser::StepBody() {
  const bool until_end = state_ == State::kBodyUntilEnd;
  const std::size_t available = received_ - next_;
  const std::size_t count = until_end ? available : std::min(available, remaining_);
  if (until_end && !AdmitBody(body_size() + count)) return false;
  char* bytes = message_->bytes_.data();
  if (next_ != body_end_) std::memmove(bytes + body_end_, bytes + next_, count);
  next_ += count;
  body_end_ += count;
  if (until_end) return false;
  remaining_ -= count;
  if (remaining_ > 0) {
    DropChunkLines();
    return false;
  }
  if (state_ == State::kSizedBody) return Finish();
  state_ = State::kChunkEnd;
  return true;
}

bool Parser::StepChunkLine() {
  const std::string_view bytes(message_->bytes_.data(), received_);
  const std::size_t end = bytes.find(kLineEnd, next_);
  if (end == std::string_view::npos) {
    if (received_ - next_ > kMaxChunkLineSize) return Fail(kBadRequest);
    DropChunkLines();
    return false;
  }
  const std::string_view line = bytes.substr(next_, end - next_);
  next_ = end + kLineEnd.size();
  if (state_ == State::kChunkSize) return OnChunkSize(line);
  if (state_ == State::kTrailer) return OnTrailerLine(line);
  if (!line.empty()) return Fail(kBadRequest);
  state_ = State::kChunkSize;
  return true;
}

// Removes the chunk lines, so that tiny chunks cannot inflate the buffer.
void Parser::DropChunkLines() {
  if (next_ == body_end_) return;
  char* bytes = message_->bytes_.data();
  std::memmove(bytes + body_end_, bytes + next_, received_ - next_);
  received_ -= next_ - body_end_;
  next_ = body_end_;
}

bool Parser::OnChunkSize(std::string_view line) {
  const auto size = ParseNumber(Trim(line.substr(0, line.find(';'))), 16);
  if (!size || HasControlCharacter(line, Tab::kIsAllowed)) return Fail(kBadRequest);
  // Checked before the sum below, which could overflow.
  if (*size > kMaxEndpointListSize) return Fail(kContentTooLarge);
  if (!AdmitBody(body_size() + *size)) return false;
  remaining_ = static_cast<std::size_t>(*size);
  state_ = remaining_ > 0 ? State::kChunkData : State::kTrailer;
  return true;
}

bool Parser::OnTrailerLine(std::string_view line) {
  if (line.empty()) return Finish();
  trailer_size_ += line.size();
  return trailer_size_ <= kMaxHeadSize || Fail(kHeadTooLarge);
}

}  // namespace dappletiller::http
