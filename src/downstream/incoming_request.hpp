// Turns a client's HTTP request into a request for the dispatcher, or says why it is refused.
//
// Servers refuse inconsistent requests, which would look like failures of the servers, so those are found
// here. Pure: no I/O, no clock.
#ifndef DAPPLETILLER_DOWNSTREAM_INCOMING_REQUEST_HPP_
#define DAPPLETILLER_DOWNSTREAM_INCOMING_REQUEST_HPP_

#include <string_view>

#include "base/result.hpp"
#include "base/time.hpp"
#include "dispatch/request_classes.hpp"
#include "dispatch/types.hpp"
#include "http/message.hpp"

namespace dappletiller {

// An error response of the proxy itself.
struct RequestError {
  int status = 0;
  std::string_view text;  // a literal
};

struct ParsedRequest {
  std::string_view tenant;
  // The deadline counts from `received_at`. Tenant and `answer_by` are the caller's to fill in.
  IncomingRequest incoming;
};

// `received_at`: when the request's last byte was received. The result refers to `message`.
Result<ParsedRequest, RequestError> ParseIncomingRequest(const http::MessageRef& message, Micros received_at,
                                                         const RequestClasses& classes);

}  // namespace dappletiller

#endif  // DAPPLETILLER_DOWNSTREAM_INCOMING_REQUEST_HPP_
