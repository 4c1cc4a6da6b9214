#include "http/http.hpp"

#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <utility>

namespace dappletiller::http {
namespace {

constexpr std::size_t kLeastRoom = 2048;
constexpr std::size_t kMostRoom = 16 * 1024;
constexpr std::size_t kChunkLineLimit = 256;

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

bool Same(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

std::string_view Trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

bool IsToken(std::string_view s) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !s.empty() && std::all_of(s.begin(), s.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (Lower(c) >= 'a' && Lower(c) <= 'z') ||
           kMarks.find(c) != std::string_view::npos;
  });
}

bool HasControl(std::string_view s, bool allow_tab) {
  return std::any_of(s.begin(), s.end(), [=](char c) {
    auto u = static_cast<unsigned char>(c);
    return (u < 0x20 && !(allow_tab && c == '\t')) || u == 0x7f;
  });
}

std::optional<std::uint64_t> ParseNumber(std::string_view s, int base) {
  std::uint64_t value = 0;
  auto [end, failed] = std::from_chars(s.data(), s.data() + s.size(), value, base);
  if (s.empty() || failed != std::errc() || end != s.data() + s.size()) return std::nullopt;
  return value;
}

std::string_view Reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    default:
      return "Error";
  }
}

}  // namespace

bool HasToken(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    std::size_t comma = std::min(list.find(','), list.size());
    if (Same(Trim(list.substr(0, comma)), token)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

std::optional<Micros> ParseTimeout(std::string_view text) {
  if (text.size() < 2 || text.size() > 15) return std::nullopt;
  char unit = text.back();
  auto value = ParseNumber(text.substr(0, text.size() - 1), 10);
  if (!value || (unit != 'm' && unit != 'u')) return std::nullopt;
  auto span = static_cast<Micros>(*value);
  return unit == 'm' ? span * 1000 : span;
}

std::string FormatTimeout(Micros span) { return std::to_string(std::max<Micros>(span, 1)) + "u"; }

// ---- Message ----

std::optional<std::string_view> Message::Find(std::string_view name) const {
  for (const Header& h : headers_) {
    if (Same(View(h.name), name)) return View(h.value);
  }
  return std::nullopt;
}

std::size_t Message::Count(std::string_view name) const {
  auto same = [&](const Header& h) { return Same(View(h.name), name); };
  return static_cast<std::size_t>(std::count_if(headers_.begin(), headers_.end(), same));
}

std::vector<std::string_view> Message::EndToEnd() const {
  static constexpr std::array<std::string_view, 12> kOurs = {"Connection",
                                                             "Keep-Alive",
                                                             "Proxy-Connection",
                                                             "Proxy-Authenticate",
                                                             "TE",
                                                             "Trailer",
                                                             "Transfer-Encoding",
                                                             "Upgrade",
                                                             "Expect",
                                                             "Proxy-Authorization",
                                                             "Content-Length",
                                                             "Request-Timeout"};
  std::string_view named = Find("Connection").value_or("");
  std::vector<std::string_view> lines;
  for (const Header& h : headers_) {
    std::string_view name = View(h.name);
    if (HasToken(named, name) ||
        std::any_of(kOurs.begin(), kOurs.end(), [&](std::string_view ours) { return Same(ours, name); })) {
      continue;
    }
    std::string_view line = View(h.line);
    // Neighbours are written as one piece.
    if (!lines.empty() && lines.back().data() + lines.back().size() == line.data()) {
      lines.back() = {lines.back().data(), lines.back().size() + line.size()};
    } else {
      lines.push_back(line);
    }
  }
  return lines;
}

// ---- Parser ----

Parser::Parser(Kind kind, std::size_t body_limit, std::shared_ptr<BodyMemory> long_bodies)
    : kind_(kind),
      body_limit_(body_limit),
      long_bodies_(std::move(long_bodies)),
      message_(std::make_unique<Message>()) {}

std::span<char> Parser::Room() {
  if (done() || bad()) return {};
  std::string& bytes = message_->bytes_;
  std::size_t want = kLeastRoom;
  if (state_ == State::kSized) want = std::clamp(remaining_, std::size_t{1}, kMostRoom);
  if (bytes.size() - used_ < want / 2 || bytes.size() == used_) bytes.resize(used_ + want);
  return {bytes.data() + used_, bytes.size() - used_};
}

void Parser::Got(std::size_t n) {
  used_ += n;
  Run();
}

void Parser::Feed(std::string_view bytes) {
  while (!bytes.empty()) {
    std::span<char> room = Room();
    if (room.empty()) {  // what comes after a whole message waits behind it
      message_->bytes_.resize(used_);
      message_->bytes_.append(bytes);
      used_ += bytes.size();
      return;
    }
    std::size_t n = std::min(room.size(), bytes.size());
    std::memcpy(room.data(), bytes.data(), n);
    bytes.remove_prefix(n);
    Got(n);
  }
}

void Parser::Ended() {
  if (state_ == State::kUntilEnd) Finish();
}

void Parser::Run() {
  while (Step()) {
  }
}

bool Parser::Step() {
  switch (state_) {
    case State::kHead:
      return StepHead();
    case State::kSized:
    case State::kUntilEnd:
    case State::kChunkData:
      return StepData();
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

void Parser::Bad(int status) {
  error_ = status;
  state_ = State::kBad;
}

bool Parser::StepHead() {
  std::string_view bytes(message_->bytes_.data(), used_);
  // Empty lines before a message are skipped, as the standard advises.
  while (next_ + 2 <= used_ && bytes.substr(next_, 2) == "\r\n") next_ += 2;
  scanned_ = std::max(scanned_, next_);
  std::size_t end = bytes.find("\r\n\r\n", scanned_);
  if (end == std::string_view::npos) {
    scanned_ = std::max(next_, used_ < 3 ? 0 : used_ - 3);
    if (used_ > kHeadLimit) Bad(431);
    return false;
  }
  if (end + 4 > kHeadLimit) {
    Bad(431);
    return false;
  }
  return ParseHead(end + 4);
}

bool Parser::ParseHead(std::size_t head_end) {
  std::string_view bytes(message_->bytes_.data(), head_end - 2);  // each line with its end
  std::size_t at = next_;
  bool first = true;
  while (at < bytes.size()) {
    std::size_t end = bytes.find("\r\n", at);
    std::string_view line = bytes.substr(at, end - at);
    auto place = static_cast<std::uint32_t>(at);
    bool fine = first ? ParseStartLine(line, place) : ParseHeader(line, place);
    if (!fine) {
      if (!bad()) Bad(400);
      return false;
    }
    first = false;
    at = end + 2;
  }
  return Frame(head_end);
}

bool Parser::ParseStartLine(std::string_view line, std::uint32_t at) {
  if (HasControl(line, false)) return false;
  std::size_t one = line.find(' ');
  if (one == std::string_view::npos) return false;
  std::size_t two = line.find(' ', one + 1);
  std::string_view version = kind_ == Kind::kResponse        ? line.substr(0, one)
                             : two == std::string_view::npos ? std::string_view()
                                                             : line.substr(two + 1);
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
  http10_ = version == "HTTP/1.0";
  if (kind_ == Kind::kResponse) {
    std::string_view code = line.substr(one + 1, std::min(two, line.size()) - one - 1);
    auto status = ParseNumber(code, 10);
    if (code.size() != 3 || !status || *status < 100) return false;
    message_->status_ = static_cast<int>(*status);
    return true;
  }
  if (!IsToken(line.substr(0, one)) || two == one + 1) return false;
  message_->method_ = {at, static_cast<std::uint32_t>(one)};
  message_->target_ = {static_cast<std::uint32_t>(at + one + 1), static_cast<std::uint32_t>(two - one - 1)};
  return true;
}

bool Parser::ParseHeader(std::string_view line, std::uint32_t at) {
  if (message_->headers_.size() >= kHeaderLimit) {
    Bad(431);
    return false;
  }
  std::size_t colon = line.find(':');
  // A space before the colon and a folded line fail here too: both have been used to smuggle requests.
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) return false;
  std::string_view value = Trim(line.substr(colon + 1));
  if (HasControl(value, true)) return false;
  auto size = [](std::size_t n) { return static_cast<std::uint32_t>(n); };
  message_->headers_.push_back({{at, size(colon)},
                                {size(value.data() - message_->bytes_.data()), size(value.size())},
                                {at, size(line.size() + 2)}});
  return true;
}

// Reads from the headers how the body is framed.
bool Parser::Frame(std::size_t head_end) {
  Message& m = *message_;
  next_ = body_end_ = head_end;
  m.body_ = {static_cast<std::uint32_t>(head_end), 0};
  std::optional<std::uint64_t> length;
  bool chunked = false;
  bool close = false;
  bool keep = false;
  for (const Message::Header& h : m.headers_) {
    std::string_view name = m.View(h.name);
    std::string_view value = m.View(h.value);
    if (Same(name, "Content-Length")) {
      auto n = ParseNumber(value, 10);
      if (!n || (length && *length != *n)) return Bad(400), false;
      length = n;
    } else if (Same(name, "Transfer-Encoding")) {
      if (chunked || !Same(value, "chunked")) return Bad(400), false;
      chunked = true;
    } else if (Same(name, "Connection")) {
      close = close || HasToken(value, "close");
      keep = keep || HasToken(value, "keep-alive");
    } else if (Same(name, "Expect") && kind_ == Kind::kRequest) {
      wants_continue_ = HasToken(value, "100-continue") && !http10_;
    }
  }
  // Guards against request smuggling: two framings in one message are one too many.
  if (chunked && (length || http10_)) return Bad(400), false;
  m.keep_alive_ = http10_ ? keep && !close : !close;
  if (kind_ == Kind::kResponse) {
    if (m.status_ < 200 && m.status_ != 101) {  // an interim answer: the real one follows
      m.headers_.clear();
      state_ = State::kHead;
      return true;
    }
    if (m.status_ == 204 || m.status_ == 304) return Finish(), false;
  }
  if (length && !BodyMayBe(*length)) return false;
  if (chunked) {
    state_ = State::kChunkSize;
  } else if (length) {
    remaining_ = static_cast<std::size_t>(*length);
    state_ = State::kSized;
  } else if (kind_ == Kind::kResponse) {
    m.keep_alive_ = false;
    state_ = State::kUntilEnd;
  } else {
    return Finish(), false;
  }
  return true;
}

// Whether the message at hand may have a body of `size` bytes. If not, it is bad.
bool Parser::BodyMayBe(std::uint64_t size) {
  if (size <= body_limit_) return true;
  std::uint64_t beyond = size - body_limit_;
  bool may_ever = long_bodies_ != nullptr && size <= kLongBodyLimit && beyond <= long_bodies_->limit();
  if (!may_ever) return Bad(413), false;
  Message& message = *message_;
  if (!message.long_body_.shares()) message.long_body_ = BodyMemory::Share(long_bodies_);
  if (!message.long_body_.GrowTo(static_cast<std::size_t>(beyond))) return Bad(503), false;
  return true;
}

// Moves what has come of the body to the end of what is decoded; without chunks both are the same place.
bool Parser::StepData() {
  std::size_t n = used_ - next_;
  if (state_ != State::kUntilEnd) n = std::min(n, remaining_);
  if (state_ == State::kUntilEnd && !BodyMayBe(body_end_ - message_->body_.at + n)) return false;
  char* bytes = message_->bytes_.data();
  if (next_ != body_end_) std::memmove(bytes + body_end_, bytes + next_, n);
  next_ += n;
  body_end_ += n;
  if (state_ == State::kUntilEnd) return false;
  remaining_ -= n;
  if (remaining_ > 0) return false;
  if (state_ == State::kSized) return Finish(), false;
  state_ = State::kChunkEnd;
  return true;
}

bool Parser::StepChunkLine() {
  std::string_view bytes(message_->bytes_.data(), used_);
  std::size_t end = bytes.find("\r\n", next_);
  if (end == std::string_view::npos) {
    if (used_ - next_ > kChunkLineLimit) return Bad(400), false;
    // What the chunks' own lines took is given back, so that tiny chunks can't swell the buffer.
    if (next_ != body_end_) {
      std::memmove(message_->bytes_.data() + body_end_, bytes.data() + next_, used_ - next_);
      used_ -= next_ - body_end_;
      next_ = body_end_;
    }
    return false;
  }
  std::string_view line = bytes.substr(next_, end - next_);
  next_ = end + 2;
  if (state_ == State::kChunkEnd) {
    if (!line.empty()) return Bad(400), false;
    state_ = State::kChunkSize;
  } else if (state_ == State::kChunkSize) {
    auto size = ParseNumber(Trim(line.substr(0, line.find(';'))), 16);
    if (!size || HasControl(line, true)) return Bad(400), false;
    std::size_t before = body_end_ - message_->body_.at;
    // A size near the greatest number would wrap round.
    if (*size > kListLimit) return Bad(413), false;
    if (!BodyMayBe(before + *size)) return false;
    remaining_ = static_cast<std::size_t>(*size);
    state_ = remaining_ > 0 ? State::kChunkData : State::kTrailer;
  } else {
    if (line.empty()) return Finish(), false;
    trailer_ += line.size();
    if (trailer_ > kHeadLimit) return Bad(431), false;
  }
  return true;
}

void Parser::Finish() {
  message_->body_.size = static_cast<std::uint32_t>(body_end_ - message_->body_.at);
  wants_continue_ = false;
  state_ = State::kDone;
}

MessageRef Parser::Take() {
  auto fresh = std::make_unique<Message>();
  fresh->bytes_.assign(message_->bytes_, next_, used_ - next_);
  MessageRef taken = std::move(message_);
  message_ = std::move(fresh);
  used_ = message_->bytes_.size();
  state_ = State::kHead;
  scanned_ = next_ = body_end_ = remaining_ = trailer_ = 0;
  http10_ = wants_continue_ = false;
  Run();
  return taken;
}

// ---- Writing ----

void Outbox::AddOwned(std::string text) {
  auto owner = std::make_shared<const std::string>(std::move(text));
  std::string_view view = *owner;
  AddView(view, std::move(owner));
}

void Outbox::AddView(std::string_view view, std::shared_ptr<const void> owner) {
  if (!view.empty()) pieces_.push_back({view, std::move(owner)});
}

int Outbox::Gather(iovec* to, int most) const {
  int n = 0;
  for (const Piece& p : pieces_) {
    if (n == most) break;
    to[n].iov_base = const_cast<char*>(p.view.data());
    to[n++].iov_len = p.view.size();
  }
  return n;
}

void Outbox::Consume(std::size_t n) {
  while (n > 0) {
    Piece& p = pieces_.front();
    if (n < p.view.size()) {
      p.view.remove_prefix(n);
      return;
    }
    n -= p.view.size();
    pieces_.pop_front();
  }
}

std::size_t Outbox::size() const {
  std::size_t bytes = 0;
  for (const Piece& p : pieces_) bytes += p.view.size();
  return bytes;
}

std::string Outbox::Text() const {
  std::string text;
  for (const Piece& p : pieces_) text += p.view;
  return text;
}

void WriteRequest(const MessageRef& request, Micros wait, Outbox* out) {
  out->AddView(request->method(), request);
  out->Add(" ");
  out->AddView(request->target(), request);
  out->Add(" HTTP/1.1\r\n");
  for (std::string_view line : request->EndToEnd()) out->AddView(line, request);
  std::string ours = "Request-Timeout: " + FormatTimeout(wait) + "\r\n";
  if (!request->body().empty() || request->method() != "GET") {
    ours += "Content-Length: " + std::to_string(request->body().size()) + "\r\n";
  }
  out->AddOwned(ours + "\r\n");
  out->AddView(request->body(), request);
}

void WriteAnswer(const MessageRef& answer, bool keep_alive, Outbox* out) {
  out->Add("HTTP/1.1 200 OK\r\n");
  for (std::string_view line : answer->EndToEnd()) out->AddView(line, answer);
  out->AddOwned("Content-Length: " + std::to_string(answer->body().size()) +
                (keep_alive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n"));
  out->AddView(answer->body(), answer);
}

void WriteStatus(int status, std::string_view text, Micros retry_after, bool keep_alive, Outbox* out,
                 std::string_view type) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head.append(Reason(status));
  head += "\r\nContent-Type: ";
  head.append(type);
  head += "\r\nContent-Length: " + std::to_string(text.size() + 1) + "\r\n";
  if (retry_after > 0) {
    // Rounded up to a millisecond: coming back too soon is what the advice is there to prevent.
    std::string millis = std::to_string((retry_after + 999) / 1000 % 1000);
    head += "Retry-After: " + std::to_string((retry_after + 999) / 1'000'000) + "." +
            std::string(3 - millis.size(), '0') + millis + "\r\n";
  }
  if (!keep_alive) head += "Connection: close\r\n";
  head += "\r\n";
  head.append(text);
  out->AddOwned(head + "\n");
}

}  // namespace dappletiller::http
