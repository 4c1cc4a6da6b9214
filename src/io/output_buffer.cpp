#include "io/output_buffer.hpp"

#include <sys/uio.h>

#include <utility>

namespace dappletiller {

void OutputBuffer::AppendOwned(std::string text) {
  auto owner = std::make_shared<const std::string>(std::move(text));
  const std::string_view view = *owner;
  AppendView(view, std::move(owner));
}

void OutputBuffer::AppendView(std::string_view view, std::shared_ptr<const void> owner) {
  if (!view.empty()) pieces_.push_back({view, std::move(owner)});
}

int OutputBuffer::Gather(iovec* to, int max_pieces) const {
  int count = 0;
  for (const Piece& piece : pieces_) {
    if (count == max_pieces) break;
    to[count].iov_base =
        const_cast<char*>(piece.view.data());  // NOLINT(*-const-cast): iovec is not const-correct
    to[count].iov_len = piece.view.size();
    ++count;
  }
  return count;
}

void OutputBuffer::Consume(std::size_t count) {
  while (count > 0) {
    Piece& piece = pieces_.front();
    if (count < piece.view.size()) {
      piece.view.remove_prefix(count);
      return;
    }
    count -= piece.view.size();
    pieces_.pop_front();
  }
}

std::size_t OutputBuffer::size() const {
  std::size_t bytes = 0;
  for (const Piece& piece : pieces_) bytes += piece.view.size();
  return bytes;
}

std::string OutputBuffer::Text() const {
  std::string text;
  for (const Piece& piece : pieces_) text += piece.view;
  return text;
}

}  // namespace dappletiller
