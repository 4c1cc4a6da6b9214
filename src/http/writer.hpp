// Writes HTTP/1.1 messages. Parts of a forwarded message are not copied: the buffer keeps the message alive.
#ifndef DAPPLETILLER_HTTP_WRITER_HPP_
#define DAPPLETILLER_HTTP_WRITER_HPP_

#include <string_view>

#include "base/time.hpp"
#include "http/message.hpp"
#include "io/output_buffer.hpp"

namespace dappletiller::http {

// A client's request as it goes to an upstream server, with the time that is left for it.
void WriteRequest(const MessageRef& request, Micros timeout, OutputBuffer* out);
// An upstream server's response as it goes to the client.
void WriteResponse(const MessageRef& response, bool keep_alive, OutputBuffer* out);
// A response of our own, with a line of text as its body. `retry_after`: 0 for no such header; else it is
// rounded up to a millisecond, since coming back too soon is what it is there to prevent.
void WriteStatusResponse(int status, std::string_view text, Micros retry_after, bool keep_alive,
                         OutputBuffer* out, std::string_view content_type = "text/plain");

}  // namespace dappletiller::http

#endif  // DAPPLETILLER_HTTP_WRITER_HPP_
