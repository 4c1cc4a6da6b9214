// HTTP/1.1 as a state machine that is fed bytes: it knows no socket. One parser serves both directions.
#ifndef DAPPLETILLER_HTTP_HTTP_HPP_
#define DAPPLETILLER_HTTP_HTTP_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/payload.hpp"
#include "base/time.hpp"
#include "http/body_memory.hpp"

struct iovec;

namespace dappletiller::http {

constexpr std::size_t kHeadLimit = 16 * 1024;
constexpr std::size_t kBodyLimit = 64 * 1024;  // of any request or answer that passes through
// Of one that passes through while there is memory for what it has beyond kBodyLimit.
constexpr std::size_t kLongBodyLimit = 1024 * 1024;
constexpr std::size_t kListLimit =
    32 * 1024 * 1024;  // of discovery's: a whole list is some 170 bytes a server
constexpr std::size_t kHeaderLimit = 100;

// One message, in the bytes in which it came: the head is parsed in place and the body decoded in place.
class Message : public Payload {
 public:
  std::string_view method() const { return View(method_); }
  std::string_view target() const { return View(target_); }
  std::string_view path() const { return target().substr(0, target().find('?')); }
  int status() const { return status_; }
  std::string_view body() const { return View(body_); }
  bool keep_alive() const { return keep_alive_; }
  // The first header of that name, in any case.
  std::optional<std::string_view> Find(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
  // The lines, line ends included, of the headers that concern more than this connection and this framing.
  std::vector<std::string_view> EndToEnd() const;

 private:
  friend class Parser;
  struct Part {
    std::uint32_t at = 0;
    std::uint32_t size = 0;
  };
  struct Header {
    Part name;
    Part value;
    Part line;
  };
  std::string_view View(Part p) const { return std::string_view(bytes_).substr(p.at, p.size); }

  std::string bytes_;
  Part method_, target_, body_;
  int status_ = 0;
  bool keep_alive_ = true;
  std::vector<Header> headers_;
  BodyMemory::Share long_body_;  // for what the body has beyond the parser's limit
};
using MessageRef = std::shared_ptr<const Message>;

class Parser {
 public:
  enum class Kind { kRequest, kResponse };
  // Bodies are bounded by `body_limit`, or by kLongBodyLimit while `long_bodies` has room for the rest.
  explicit Parser(Kind kind, std::size_t body_limit = kBodyLimit,
                  std::shared_ptr<BodyMemory> long_bodies = nullptr);

  // Where the next bytes go, and how many came. Empty: there is a message to be taken first.
  std::span<char> Room();
  void Got(std::size_t n);
  void Feed(std::string_view bytes);  // the two in one, for callers that have the bytes already
  void Ended();                       // the stream ended in order; after a reset nothing more is whole

  bool done() const { return state_ == State::kDone; }
  bool bad() const { return state_ == State::kBad; }
  // 400, 413, 431, or 503: no memory for a long body is left now.
  int error_status() const { return error_; }
  bool begun() const { return used_ > 0; }    // part of a message is here
  std::size_t held() const { return used_; }  // bytes of a message, and of what waits behind it
  bool wants_continue() const { return wants_continue_; }
  void continued() { wants_continue_ = false; }
  // Hands over the message and goes on with the bytes that follow it.
  MessageRef Take();

 private:
  enum class State { kHead, kSized, kChunkSize, kChunkData, kChunkEnd, kTrailer, kUntilEnd, kDone, kBad };

  void Run();
  bool Step();
  bool StepHead();
  bool StepChunkLine();
  bool StepData();
  bool ParseHead(std::size_t head_end);
  bool ParseStartLine(std::string_view line, std::uint32_t at);
  bool ParseHeader(std::string_view line, std::uint32_t at);
  bool Frame(std::size_t head_end);
  bool BodyMayBe(std::uint64_t size);
  void Bad(int status);
  void Finish();

  Kind kind_;
  std::size_t body_limit_;
  std::shared_ptr<BodyMemory> long_bodies_;
  State state_ = State::kHead;
  int error_ = 0;
  std::unique_ptr<Message> message_;
  std::size_t used_ = 0;  // bytes in message_->bytes_ that came in
  std::size_t scanned_ = 0;
  std::size_t next_ = 0;       // first byte not yet consumed
  std::size_t body_end_ = 0;   // decoded so far up to here
  std::size_t remaining_ = 0;  // of the body or of the chunk
  std::size_t trailer_ = 0;
  bool http10_ = false;
  bool wants_continue_ = false;
};

// Bytes to be written, gathered from where they lie; the owners keep them there.
class Outbox {
 public:
  void Add(std::string_view literal) { AddView(literal, nullptr); }
  void AddOwned(std::string text);
  void AddView(std::string_view view, std::shared_ptr<const void> owner);
  bool empty() const { return pieces_.empty(); }
  std::size_t size() const;  // in bytes
  int Gather(iovec* to, int most) const;
  void Consume(std::size_t n);
  std::string Text() const;  // all that is left, for tests

 private:
  struct Piece {
    std::string_view view;
    std::shared_ptr<const void> owner;
  };
  std::deque<Piece> pieces_;
};

// A request as it goes to a worker: the client's own head less what concerns its connection.
void WriteRequest(const MessageRef& request, Micros wait, Outbox* out);
// A worker's answer as it goes to the client.
void WriteAnswer(const MessageRef& answer, bool keep_alive, Outbox* out);
// An answer of our own, with a line of text as its body.
void WriteStatus(int status, std::string_view text, Micros retry_after, bool keep_alive, Outbox* out,
                 std::string_view type = "text/plain");

// "480m" or "250000u"; nothing else.
std::optional<Micros> ParseTimeout(std::string_view text);
std::string FormatTimeout(Micros span);
// Whether a comma-separated header value names a token, in any case.
bool HasToken(std::string_view list, std::string_view token);

}  // namespace dappletiller::http

#endif  // DAPPLETILLER_HTTP_HTTP_HPP_
