#include "downstream/incoming_request.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "http/text.hpp"

namespace dappletiller {
namespace {

constexpr int kBadRequest = 400;
constexpr int kMethodNotAllowed = 405;
constexpr int kMaxHintToTimeout = 16;  // hints above this multiple of the class's timeout are ignored

// Headers that may occur only once: proxy and server might interpret repeated ones differently.
constexpr std::array<std::string_view, 9> kSingletonHeaders = {
    "Request-Id",   "Request-Class", "Request-Timeout", "Idempotency-Key", "Work-Hint",
    "Client-Retry", "Host",          "Request-Info",    "Tenant"};

bool HasRepeatedHeader(const http::Message& message) {
  return std::any_of(kSingletonHeaders.begin(), kSingletonHeaders.end(),
                     [&](std::string_view name) { return message.Count(name) > 1; });
}

bool FitsClass(const http::Message& message, balancer::Effect effect) {
  const bool safe = effect == balancer::Effect::kSafe;
  const bool keyed = !message.Find("Idempotency-Key").value_or("").empty();
  if ((message.method() == "GET") != safe) return false;
  if (keyed != (effect == balancer::Effect::kKeyed)) return false;
  return !safe || message.body().empty();
}

// Nothing: there is none, or it is beyond all measure.
std::optional<Micros> ParseWorkHint(const http::Message& message, Micros client_timeout) {
  const std::string_view text = message.Find("Work-Hint").value_or("");
  Micros work = 0;
  const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), work);
  const bool is_number = failed == std::errc() && end == text.data() + text.size();
  if (!is_number || work <= 0 || work > kMaxHintToTimeout * client_timeout) return std::nullopt;
  return work;
}

}  // namespace

Result<ParsedRequest, RequestError> ParseIncomingRequest(const http::MessageRef& message, Micros received_at,
                                                         const RequestClasses& classes) {
  const auto refuse = [](int status, std::string_view text) { return Failure(RequestError{status, text}); };
  if (message->method() != "GET" && message->method() != "POST")
    return refuse(kMethodNotAllowed, "only GET and POST are served");
  if (message->target().front() != '/') return refuse(kBadRequest, "the request target is not a path");
  if (HasRepeatedHeader(*message))
    return refuse(kBadRequest, "a header that may appear only once is repeated");
  const RequestClasses::Entry* request_class = classes.Find(message->Find("Request-Class").value_or(""));
  if (request_class == nullptr) return refuse(kBadRequest, "Request-Class is missing or unknown");
  ParsedRequest parsed;
  parsed.incoming.id = HashRequestId(message->Find("Request-Id").value_or(""));
  if (parsed.incoming.id == 0) return refuse(kBadRequest, "Request-Id is missing");
  if (!FitsClass(*message, request_class->settings.effect))
    return refuse(kBadRequest, "the class does not allow this method, key or body");

  Micros request_timeout = request_class->settings.client_timeout;
  parsed.incoming.work_hint = ParseWorkHint(*message, request_timeout);
  if (const auto stated = message->Find("Request-Timeout")) {
    const auto span = http::ParseTimeout(*stated);
    if (!span) return refuse(kBadRequest, "Request-Timeout is malformed");
    request_timeout = std::min(request_timeout, *span);
  }
  parsed.tenant = message->Find("Tenant").value_or("");
  parsed.incoming.request_class = request_class->index;
  parsed.incoming.deadline = received_at + request_timeout;
  parsed.incoming.client_retry = message->Find("Client-Retry") == "1";
  parsed.incoming.payload = message;
  return parsed;
}

}  // namespace dappletiller
