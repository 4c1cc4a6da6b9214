#include "membership/transport/state_exchange_stream.hpp"

#include <utility>

namespace dappletiller {

StateExchangeStream::StateExchangeStream(EventLoop& loop, Owner& owner)
    : socket_(loop, *this), owner_(owner), time_limit_(loop) {
  time_limit_.Set(kTimeLimit, [this] { owner_.OnFinished(*this); });
}

bool StateExchangeStream::Connect(const Endpoint& where, const std::string& request) {
  Queue(request);
  request_sent_ = true;
  return socket_.Connect(where) == ConnectStart::kStarted;
}

void StateExchangeStream::Queue(const std::string& frame) {
  const auto size = static_cast<std::uint32_t>(frame.size());
  std::string bytes;
  for (std::size_t i = 0; i < kLengthSize; ++i) bytes.push_back(static_cast<char>(size >> (8 * i)));
  socket_.output().AppendOwned(bytes + frame);
}

std::size_t StateExchangeStream::AnnouncedSize() const {
  std::uint32_t size = 0;
  for (std::size_t i = 0; i < kLengthSize; ++i) {
    size |= static_cast<std::uint32_t>(static_cast<unsigned char>(received_[i])) << (8 * i);
  }
  return size;
}

void StateExchangeStream::OnReceived(std::size_t count) {
  received_.append(buffer_.data(), count);
  owner_.OnBytesReceived(count);
  if (received_.size() < kLengthSize) return;
  const std::size_t size = AnnouncedSize();
  if (size > kMaxFrameSize || received_.size() > kLengthSize + size) {
    owner_.OnFinished(*this);
    return;
  }
  if (received_.size() < kLengthSize + size) return;
  OnWholeFrame(std::exchange(received_, {}).substr(kLengthSize));
}

void StateExchangeStream::OnWholeFrame(std::string_view frame) {
  if (request_sent_) {
    owner_.OnResponse(frame);
    owner_.OnFinished(*this);
    return;
  }
  const auto response = response_sent_ ? std::nullopt : owner_.OnRequest(frame);
  if (!response) {
    owner_.OnFinished(*this);
    return;
  }
  Queue(*response);
  response_sent_ = true;
  socket_.Flush();
}

}  // namespace dappletiller
