// One full state exchange over a connection: one frame in each direction, prefixed with its length (four
// bytes, little endian). The connecting side sends its request and closes after the response.
#ifndef DAPPLETILLER_MEMBERSHIP_TRANSPORT_STATE_EXCHANGE_STREAM_HPP_
#define DAPPLETILLER_MEMBERSHIP_TRANSPORT_STATE_EXCHANGE_STREAM_HPP_

#include <array>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "io/event_loop.hpp"
#include "io/stream_socket.hpp"

namespace dappletiller {

class StateExchangeStream final : public StreamSocket::Callbacks {
 public:
  static constexpr std::size_t kMaxFrameSize = std::size_t{2} * 1024 * 1024;
  static constexpr Micros kTimeLimit = 3'000'000;  // of the whole exchange

  // Called from within the stream's callbacks. May close the stream, but must free it only through
  // EventLoop::DeferDelete.
  class Owner {
   public:
    // A complete request was received on an accepted connection. Returns the response; nothing ends the
    // exchange.
    virtual std::optional<std::string> OnRequest(std::string_view frame) = 0;
    // The complete response to the request of Connect was received. The exchange is over after it.
    virtual void OnResponse(std::string_view frame) = 0;
    virtual void OnBytesReceived(std::size_t count) = 0;
    // The exchange is over, has failed or has timed out.
    virtual void OnFinished(StateExchangeStream& stream) = 0;

   protected:
    ~Owner() = default;
  };

  // Both must outlive the stream.
  StateExchangeStream(EventLoop& loop, Owner& owner);

  // Takes ownership of an accepted connection. False: it failed immediately.
  bool Adopt(FileDescriptor& connection) { return socket_.Adopt(connection); }
  // Connects and sends `request`. False: it failed immediately.
  bool Connect(const Endpoint& where, const std::string& request);
  void Close() { socket_.Close(); }

 private:
  static constexpr std::size_t kLengthSize = 4;

  std::span<char> ReceiveBuffer() override { return buffer_; }
  void OnReceived(std::size_t count) override;
  void OnWholeFrame(std::string_view frame);
  void OnClosed(StreamEnd) override { owner_.OnFinished(*this); }
  void Queue(const std::string& frame);
  std::size_t AnnouncedSize() const;

  StreamSocket socket_;
  Owner& owner_;
  Timer time_limit_;
  bool request_sent_ = false;
  bool response_sent_ = false;
  std::array<char, 16384> buffer_;
  std::string received_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_MEMBERSHIP_TRANSPORT_STATE_EXCHANGE_STREAM_HPP_
