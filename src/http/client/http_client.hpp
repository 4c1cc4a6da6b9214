// An HTTP/1.1 client with one connection, which is kept alive between requests, and one GET at a time.
#ifndef DAPPLETILLER_HTTP_CLIENT_HTTP_CLIENT_HPP_
#define DAPPLETILLER_HTTP_CLIENT_HTTP_CLIENT_HPP_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

#include "http/parser.hpp"
#include "io/event_loop.hpp"
#include "io/stream_socket.hpp"

namespace dappletiller::http {

// Why a request got no response.
enum class RequestError { kCannotConnect, kConnectionLost, kMalformedResponse, kTimedOut };
// "cannot connect", "connection lost", "malformed answer" or "no answer".
const char* ToString(RequestError error);

class Client final : private StreamSocket::Callbacks {
 public:
  // A response without a length ends with its connection, so it may be truncated unnoticed.
  enum class UnsizedResponses { kAccept, kRefuse };

  class Owner {
   public:
    // Exactly one of these is called for each Get, unless Close comes first. Both may start the next request,
    // but must free the client only through EventLoop::DeferDelete.
    virtual void OnResponse(const Message& response) = 0;
    // The connection has been closed.
    virtual void OnRequestFailed(RequestError error) = 0;

   protected:
    ~Owner() = default;
  };

  // Both references must outlive the client.
  Client(EventLoop& loop, Owner& owner, std::size_t max_body_size, UnsizedResponses unsized);

  // Sends a request with a timeout. No other request may be in progress. A stale connection, or one to
  // another address, is replaced. Owner::OnRequestFailed may be called before this returns.
  void Get(const Endpoint& where, const std::string& host, const std::string& target, Micros timeout);
  // Abandons the current request and closes the connection.
  void Close();
  bool is_busy() const { return is_busy_; }

  std::uint64_t bytes_received() const { return bytes_received_; }  // since the start
  std::uint64_t bytes_sent() const { return bytes_sent_; }          // since the start
  std::size_t response_size() const { return response_size_; }      // bytes of the last response, so far

 private:
  std::span<char> ReceiveBuffer() override { return parser_.ReceiveBuffer(); }
  void OnReceived(std::size_t count) override;
  void OnClosed(StreamEnd how) override;
  bool Connect(const Endpoint& where);
  void HandleResponse();
  void Fail(RequestError error);

  Owner& owner_;
  std::size_t max_body_size_;
  UnsizedResponses unsized_;
  StreamSocket socket_;
  Parser parser_;
  Timer timeout_;
  Endpoint connected_to_;
  bool is_busy_ = false;
  std::uint64_t bytes_received_ = 0;
  std::uint64_t bytes_sent_ = 0;
  std::size_t response_size_ = 0;
};

}  // namespace dappletiller::http

#endif  // DAPPLETILLER_HTTP_CLIENT_HTTP_CLIENT_HPP_
