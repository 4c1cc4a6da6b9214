// A queue of bytes to be written, which refers to its parts without copying them.
#ifndef DAPPLETILLER_IO_OUTPUT_BUFFER_HPP_
#define DAPPLETILLER_IO_OUTPUT_BUFFER_HPP_

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

struct iovec;

namespace dappletiller {

class OutputBuffer {
 public:
  // `literal` must outlive the buffer.
  void Append(std::string_view literal) { AppendView(literal, nullptr); }
  void AppendOwned(std::string text);
  // `owner` keeps the bytes of `view` alive until they are written.
  void AppendView(std::string_view view, std::shared_ptr<const void> owner);

  bool empty() const { return pieces_.empty(); }
  std::size_t size() const;  // bytes
  // Fills in at most `max_pieces` elements of `to` for sendmsg; returns their number.
  int Gather(iovec* to, int max_pieces) const;
  // Removes the first `count` bytes after they have been written.
  void Consume(std::size_t count);
  // The remaining bytes, for tests.
  std::string Text() const;

 private:
  struct Piece {
    std::string_view view;
    std::shared_ptr<const void> owner;
  };
  std::deque<Piece> pieces_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_OUTPUT_BUFFER_HPP_
