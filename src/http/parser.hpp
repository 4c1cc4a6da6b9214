// HTTP/1.1 (RFC 9112) as a state machine that is fed bytes: it knows no socket. One class parses both
// directions.
//
// What always holds: a head has at most kMaxHeadSize bytes and kMaxHeaders headers, a body at most what its
// limits allow, and what is buffered stays within both. A message whose framing is ambiguous is refused,
// since two readers that frame a message differently are how requests are smuggled.
#ifndef DAPPLETILLER_HTTP_PARSER_HPP_
#define DAPPLETILLER_HTTP_PARSER_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

#include "http/body_memory.hpp"
#include "http/message.hpp"

namespace dappletiller::http {

constexpr std::size_t kMaxHeadSize = std::size_t{16} * 1024;
constexpr std::size_t kMaxHeaders = 100;
constexpr std::size_t kMaxBodySize = std::size_t{64} * 1024;  // of any message that is forwarded
// Of a message that is forwarded, while there is memory for what it has beyond kMaxBodySize.
constexpr std::size_t kMaxLongBodySize = std::size_t{1024} * 1024;
// Of an endpoint list: some 170 bytes a server.
constexpr std::size_t kMaxEndpointListSize = std::size_t{32} * 1024 * 1024;

class Parser {
 public:
  enum class Kind { kRequest, kResponse };

  // Bodies are bounded by `max_body_size`, or by kMaxLongBodySize while `long_bodies` has room for the rest.
  explicit Parser(Kind kind, std::size_t max_body_size = kMaxBodySize,
                  std::shared_ptr<BodyMemory> long_bodies = nullptr);

  // Where the next bytes are to be put. Empty: there is a message to be taken first, or the message is
  // malformed.
  std::span<char> ReceiveBuffer();
  // `count` bytes have been put there.
  void Commit(std::size_t count);
  // Both in one, for callers that have the bytes already. Bytes behind a complete message wait behind it.
  void Feed(std::string_view bytes);
  // The stream ended in order, which completes a message without a length. Not to be called after a reset.
  void OnStreamEnd();

  bool done() const { return state_ == State::kDone; }
  bool bad() const { return state_ == State::kBad; }
  // The status to refuse a bad message with: 400, 413, 431, or 503 if no memory for a long body is left now.
  int error_status() const { return error_status_; }
  bool begun() const { return received_ > 0; }    // part of a message is here
  std::size_t held() const { return received_; }  // bytes of a message, and of what waits behind it
  // The client waits for "100 Continue" before it sends the body.
  bool wants_continue() const { return wants_continue_; }
  void continued() { wants_continue_ = false; }
  // Hands over the message, which has to be done(), and goes on with the bytes behind it.
  MessageRef TakeMessage();

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
  // What the headers say about the body.
  struct Framing;

  void Run();
  // Each of these returns whether there is another step to take now.
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
  bool ReserveBody(std::uint64_t size);
  void DropChunkLines();

  Kind kind_;
  std::size_t max_body_size_;
  std::shared_ptr<BodyMemory> long_bodies_;
  State state_ = State::kHead;
  int error_status_ = 0;
  std::unique_ptr<Message> message_;
  // Places in the message's bytes.
  std::size_t received_ = 0;   // so many have come
  std::size_t scanned_ = 0;    // no end of the head before this
  std::size_t next_ = 0;       // the first that is not parsed yet
  std::size_t body_end_ = 0;   // the body is decoded up to here
  std::size_t remaining_ = 0;  // bytes to come of the body, or of the chunk
  std::size_t trailer_size_ = 0;
  bool http10_ = false;
  bool wants_continue_ = false;
};

}  // namespace dappletiller::http

#endif  // DAPPLETILLER_HTTP_PARSER_HPP_
