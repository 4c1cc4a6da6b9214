// Writes HTTP/1.1 messages. Parts of a forwarded message are not copied: the buffer keeps the message alive.
#ifndef DAPPLETILLER_HTTP_WRITER_HPP_
#define DAPPLETILLER_HTTP_WRITER_HPP_

#include <string>
#include <string_view>

#include "base/memory_budget.hpp"
#include "base/time.hpp"
#include "http/message.hpp"
#include "io/output_buffer.hpp"

namespace dappletiller::http {

// Writes a client's request for an upstream server, with the time that is left for it.
void WriteRequest(const MessageRef& request, Micros timeout, OutputBuffer* out);
// Writes an upstream server's response for the client.
void WriteResponse(const MessageRef& response, bool keep_alive, OutputBuffer* out);

// How a client can tell where a body ends that is written in parts.
enum class BodyFraming { kLength, kChunked, kUntilEnd };
// Writes the head of a response whose body follows in parts. kLength: the head tells the length.
void WriteResponseHead(const MessageRef& head, BodyFraming framing, bool keep_alive, OutputBuffer* out);
// `part` has at least one byte; `memory`, reserved for it, ends when it is written.
void WriteBodyPart(std::string part, MemoryBudget::Reservation memory, BodyFraming framing,
                   OutputBuffer* out);
// After the last part.
void WriteBodyEnd(BodyFraming framing, OutputBuffer* out);
// Writes a response of the proxy itself, with a line of text as its body. `retry_after`: 0 for no header;
// otherwise rounded up to a millisecond, so that clients do not retry too early.
void WriteStatusResponse(int status, std::string_view text, Micros retry_after, bool keep_alive,
                         OutputBuffer* out, std::string_view content_type = "text/plain");

}  // namespace dappletiller::http

#endif  // DAPPLETILLER_HTTP_WRITER_HPP_
