// An HTTP/1.1 request or response in its received bytes. Head and body are parsed in place, so views into
// them are valid as long as the message exists.
#ifndef DAPPLETILLER_HTTP_MESSAGE_HPP_
#define DAPPLETILLER_HTTP_MESSAGE_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/memory_budget.hpp"
#include "base/payload.hpp"

namespace dappletiller::http {

class Message : public Payload {
 public:
  std::string_view method() const { return View(method_); }
  std::string_view target() const { return View(target_); }
  // The target without its query.
  std::string_view path() const { return target().substr(0, target().find('?')); }
  int status() const { return status_; }
  std::string_view body() const { return View(body_); }
  // Whether the connection may carry another message after this one.
  bool keep_alive() const { return keep_alive_; }
  // Of the body; nothing if it is chunked or ends with the stream.
  std::optional<std::uint64_t> content_length() const { return content_length_; }
  // The sender speaks HTTP/1.0, which has no chunks.
  bool http10() const { return http10_; }

  // The value of the first header with that name, ignoring case.
  std::optional<std::string_view> Find(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
  // The lines, with line ends, of the end-to-end headers (RFC 9110, section 7.6.1) except those on the body's
  // framing. Adjacent lines are merged into one view.
  std::vector<std::string_view> EndToEndHeaders() const;

 private:
  friend class Parser;

  // A range of `bytes_`.
  struct Part {
    std::uint32_t at = 0;
    std::uint32_t size = 0;
  };
  struct Header {
    Part name;
    Part value;
    Part line;
  };
  std::string_view View(Part part) const {
    return std::string_view(bytes_.data(), bytes_.size()).substr(part.at, part.size);
  }
  std::size_t allocated() const { return bytes_.capacity() + headers_.capacity() * sizeof(Header); }

  std::vector<char> bytes_;  // grows by exactly what is asked for
  Part method_;
  Part target_;
  Part body_;
  int status_ = 0;
  bool keep_alive_ = true;
  bool http10_ = false;
  std::optional<std::uint64_t> content_length_;
  std::vector<Header> headers_;
  MemoryBudget::Reservation memory_;     // for the message up to the parser's limit
  MemoryBudget::Reservation long_body_;  // for the part of the body above the parser's limit
};
using MessageRef = std::shared_ptr<const Message>;

}  // namespace dappletiller::http

#endif  // DAPPLETILLER_HTTP_MESSAGE_HPP_
