#include "http/writer.hpp"

#include <array>
#include <charconv>
#include <memory>
#include <string>
#include <utility>

#include "http/text.hpp"

namespace dappletiller::http {
namespace {

std::string_view ReasonPhrase(int status) {
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

// Seconds with three decimals.
std::string FormatRetryAfter(Micros retry_after) {
  constexpr Micros kMicrosPerMilli = 1000;
  constexpr Micros kMicrosPerSecond = 1'000'000;
  constexpr std::size_t kDecimals = 3;
  const Micros rounded_up = retry_after + kMicrosPerMilli - 1;
  const std::string milliseconds = std::to_string(rounded_up / kMicrosPerMilli % 1000);
  const std::string seconds = std::to_string(rounded_up / kMicrosPerSecond);
  return seconds + "." + std::string(kDecimals - milliseconds.size(), '0') + milliseconds;
}

std::string FormatHex(std::size_t number) {
  constexpr int kHexadecimal = 16;
  std::array<char, 2 * sizeof number> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, kHexadecimal).ptr;
  return {digits.data(), end};
}

}  // namespace

void WriteRequest(const MessageRef& request, Micros timeout, OutputBuffer* out) {
  out->AppendView(request->method(), request);
  out->Append(" ");
  out->AppendView(request->target(), request);
  out->Append(" HTTP/1.1\r\n");
  for (std::string_view line : request->EndToEndHeaders()) out->AppendView(line, request);
  std::string own_headers = "Request-Timeout: " + FormatTimeout(timeout) + "\r\n";
  if (!request->body().empty() || request->method() != "GET") {
    own_headers += "Content-Length: " + std::to_string(request->body().size()) + "\r\n";
  }
  out->AppendOwned(own_headers + "\r\n");
  out->AppendView(request->body(), request);
}

void WriteResponse(const MessageRef& response, bool keep_alive, OutputBuffer* out) {
  out->Append("HTTP/1.1 200 OK\r\n");
  for (std::string_view line : response->EndToEndHeaders()) out->AppendView(line, response);
  out->AppendOwned("Content-Length: " + std::to_string(response->body().size()) +
                   (keep_alive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n"));
  out->AppendView(response->body(), response);
}

void WriteResponseHead(const MessageRef& head, BodyFraming framing, bool keep_alive, OutputBuffer* out) {
  out->Append("HTTP/1.1 200 OK\r\n");
  for (std::string_view line : head->EndToEndHeaders()) out->AppendView(line, head);
  std::string own_headers;
  if (framing == BodyFraming::kLength)
    own_headers = "Content-Length: " + std::to_string(head->content_length().value_or(0)) + "\r\n";
  if (framing == BodyFraming::kChunked) own_headers = "Transfer-Encoding: chunked\r\n";
  if (!keep_alive) own_headers += "Connection: close\r\n";
  out->AppendOwned(own_headers + "\r\n");
}

void WriteBodyPart(std::string part, MemoryBudget::Reservation memory, BodyFraming framing,
                   OutputBuffer* out) {
  struct Part {
    std::string bytes;
    MemoryBudget::Reservation memory;
  };
  const auto owner = std::make_shared<const Part>(Part{std::move(part), std::move(memory)});
  const bool is_chunk = framing == BodyFraming::kChunked;
  if (is_chunk) out->AppendOwned(FormatHex(owner->bytes.size()) + "\r\n");
  out->AppendView(owner->bytes, owner);
  if (is_chunk) out->Append("\r\n");
}

void WriteBodyEnd(BodyFraming framing, OutputBuffer* out) {
  if (framing == BodyFraming::kChunked) out->Append("0\r\n\r\n");
}

void WriteStatusResponse(int status, std::string_view text, Micros retry_after, bool keep_alive,
                         OutputBuffer* out, std::string_view content_type) {
  std::string response = "HTTP/1.1 " + std::to_string(status) + " ";
  response.append(ReasonPhrase(status));
  response += "\r\nContent-Type: ";
  response.append(content_type);
  response += "\r\nContent-Length: " + std::to_string(text.size() + 1) + "\r\n";
  if (retry_after > 0) response += "Retry-After: " + FormatRetryAfter(retry_after) + "\r\n";
  if (!keep_alive) response += "Connection: close\r\n";
  response += "\r\n";
  response.append(text);
  out->AppendOwned(response + "\n");
}

}  // namespace dappletiller::http
