// An HTTP/1.1 parser (RFC 9112) as a state machine that is fed bytes, without sockets. One class parses
// requests and responses.
//
// Invariants: a head has at most kMaxHeadSize bytes and kMaxHeaders headers, a body is within its limits, and
// the buffered data is within both. A message with ambiguous framing is rejected, since differing
// interpretations permit request smuggling.
//
// Memory: the owner reserves it, by what is allocated and before it is allocated. The buffer of a message in
// progress is doubled when it is full, as far as the message may need it; a body of stated length gets a
// receive buffer at first and then the whole. Bytes behind a complete message are kept in a ByteQueue.
#ifndef DAPPLETILLER_HTTP_PARSER_HPP_
#define DAPPLETILLER_HTTP_PARSER_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "base/byte_queue.hpp"
#include "base/memory_budget.hpp"
#include "http/message.hpp"

namespace dappletiller::http {

constexpr std::size_t kMaxHeadSize = std::size_t{16} * 1024;
constexpr std::size_t kMaxHeaders = 100;
constexpr std::size_t kMinReceiveBuffer = std::size_t{2} * 1024;
constexpr std::size_t kMaxReceiveBuffer = std::size_t{16} * 1024;
constexpr std::size_t kMaxBodySize = std::size_t{64} * 1024;  // of a message that is held whole
// Of a request, while memory for the part above kMaxBodySize is available.
constexpr std::size_t kMaxLongBodySize = std::size_t{1024} * 1024;
// Of a response, which is passed on in parts if it is above kMaxBodySize.
constexpr std::size_t kMaxStreamedBodySize = std::size_t{32} * 1024 * 1024;
// Of an endpoint list: about 170 bytes per server.
constexpr std::size_t kMaxEndpointListSize = std::size_t{32} * 1024 * 1024;

class Parser {
 public:
  enum class Kind { kRequest, kResponse };

  // Bodies are limited to `max_body_size`, or to kMaxLongBodySize while `long_bodies` has memory available.
  explicit Parser(Kind kind, std::size_t max_body_size = kMaxBodySize,
                  std::shared_ptr<MemoryBudget> long_bodies = nullptr);
  // Bodies above `max_body_size`, up to kMaxStreamedBodySize, are to be streamed (see TakeHead).
  void EnableStreaming() { streaming_enabled_ = true; }

  // The buffer for the next bytes, of at most `max_size`. Empty: a complete message or the head of a streamed
  // one has to be taken first, or the message is malformed.
  std::span<char> ReceiveBuffer(std::size_t max_size = kMaxReceiveBuffer);
  // `count` bytes have been written into that buffer.
  void Commit(std::size_t count);
  // Both in one step, for existing bytes. Bytes behind a complete message are kept for the next one.
  void Feed(std::string_view bytes);
  // The stream has ended in order, which completes a message without a length. Must not be called after a
  // reset.
  void OnStreamEnd();

  bool done() const { return state_ == State::kDone; }
  bool bad() const { return state_ == State::kBad; }
  // The status for a malformed message: 400, 413, 431, or 503 if no memory for a long body is available.
  int error_status() const { return error_status_; }
  bool begun() const { return buffered() > 0; }  // part of a message has been received
  // The head is complete and valid, the body is not complete.
  bool in_body() const { return state_ != State::kHead && !done() && !bad(); }
  // The message in progress; its headers are valid once in_body() or done().
  const Message& message() const { return *message_; }
  // The body is too large to be held: nothing more is received before TakeHead. Only with EnableStreaming.
  bool must_stream() const { return must_stream_; }
  // Buffered bytes, including those of later messages.
  std::size_t buffered() const { return received_ + pending_.size(); }
  // Memory for the message in progress and the bytes behind it, in bytes, without what is reserved in
  // `long_bodies`.
  std::size_t allocated() const { return MessageMemory() + pending_.allocated(); }
  // What allocated() will be after ReceiveBuffer.
  std::size_t AllocatedToReceive(std::size_t max_size = kMaxReceiveBuffer) const;
  // What allocated() will be at most after Feed of `count` bytes behind a complete message.
  std::size_t AllocatedToFeed(std::size_t count) const;
  // Whether the client waits for "100 Continue" before it sends the body.
  bool wants_continue() const { return wants_continue_; }
  void continued() { wants_continue_ = false; }
  // Bytes that the message in progress may come to allocate, not counting the part of its body above the
  // usual limit; 0 while its head is incomplete.
  std::size_t expected_size() const;
  // Returns the message, which must be done(), and continues with the bytes behind it. What the message has
  // allocated is taken from `memory`, if given, and stays reserved as long as the message exists.
  MessageRef TakeMessage(MemoryBudget::Reservation* memory = nullptr);

  // Streaming: returns the head of the message that is in_body(), and from now on holds only what TakeBody
  // has not returned. Once done(), after the last TakeBody, TakeMessage returns an empty message and goes on
  // to the next. `memory`, reserved for the head, ends with it.
  MessageRef TakeHead(MemoryBudget::Reservation memory = {});
  std::size_t head_size() const { return message_->body_.at; }
  // The next part of the body, perhaps empty.
  std::string TakeBody();
  std::uint64_t body_size() const { return streamed_ + body_end_ - message_->body_.at; }  // so far

 private:
  enum class State {
    kHead,
    kSizedBody,
    kChunkSize,
    kChunkData,
    kChunkEnd,
    kTrailer,
    kBodyUntilEnd,
    kDone,
    kBad
  };
  // The body's framing according to the headers.
  struct Framing;

  bool CanReceive() const { return !done() && !bad() && !must_stream_; }
  // Of the message in progress when its buffer has grown by so many bytes, without what is reserved
  // elsewhere.
  std::size_t MessageMemory(std::size_t growth = 0) const;
  std::size_t BufferGrowth(std::size_t max_size) const;
  std::size_t CapacityToReceive(std::size_t max_size) const;
  void ReturnToPending();
  void ParsePending();
  void Run();
  // Each returns whether another step is possible now.
  bool Step();
  bool StepHead();
  bool StepBody();
  bool StepChunkLine();
  bool OnChunkSize(std::string_view line);
  bool OnTrailerLine(std::string_view line);
  bool OnHead(std::size_t head_end);
  bool BeginBody(const Framing& framing);
  bool Finish();
  bool Fail(int status);

  bool ParseHeadLines(std::size_t head_end);
  bool ParseStartLine(std::string_view line, std::uint32_t at);
  bool ParseStatusLine(std::string_view code);
  bool ParseHeader(std::string_view line, std::uint32_t at);
  bool ReadFraming(Framing* framing);
  bool AdmitBody(std::uint64_t size);
  bool ReserveBody(std::uint64_t size);
  void DropChunkLines();

  Kind kind_;
  std::size_t max_body_size_;
  std::shared_ptr<MemoryBudget> long_bodies_;
  State state_ = State::kHead;
  int error_status_ = 0;
  std::unique_ptr<Message> message_;
  ByteQueue pending_;  // bytes behind a complete message
  // Positions in the message's bytes.
  std::size_t received_ = 0;   // number of received bytes
  std::size_t scanned_ = 0;    // searched for the end of the head up to here
  std::size_t next_ = 0;       // first byte that is not parsed yet
  std::size_t body_end_ = 0;   // the body is decoded up to here
  std::size_t remaining_ = 0;  // missing bytes of the body or chunk
  std::size_t trailer_size_ = 0;
  std::uint64_t streamed_ = 0;  // bytes of the body that TakeBody has returned
  bool wants_continue_ = false;
  bool streaming_enabled_ = false;
  bool must_stream_ = false;  // until TakeHead
  bool streaming_ = false;    // since TakeHead
};

}  // namespace dappletiller::http

#endif  // DAPPLETILLER_HTTP_PARSER_HPP_
