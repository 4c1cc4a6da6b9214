#include "http/client/http_client.hpp"

#include <utility>

namespace dappletiller::http {

const char* ToString(RequestError error) {
  switch (error) {
    case RequestError::kCannotConnect:
      return "cannot connect";
    case RequestError::kConnectionLost:
      return "connection lost";
    case RequestError::kMalformedResponse:
      return "malformed answer";
    case RequestError::kTimedOut:
      break;
  }
  return "no answer";
}

Client::Client(EventLoop& loop, Owner& owner, std::size_t max_body_size, UnsizedResponses unsized)
    : owner_(owner),
      max_body_size_(max_body_size),
      unsized_(unsized),
      socket_(loop, *this),
      parser_(Parser::Kind::kResponse, max_body_size),
      timeout_(loop) {}

void Client::Get(const Endpoint& where, const std::string& host, const std::string& target, Micros timeout) {
  is_busy_ = true;
  response_size_ = 0;
  const bool unusable = socket_.open() && (!(connected_to_ == where) || socket_.IsStale());
  if (unusable) socket_.Close();
  if (!socket_.open() && !Connect(where)) {
    // Not called back from within Get.
    timeout_.Set(0, [this] { Fail(RequestError::kCannotConnect); });
    return;
  }
  std::string request = "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
  bytes_sent_ += request.size();
  socket_.output().AppendOwned(std::move(request));
  timeout_.Set(timeout, [this] { Fail(RequestError::kTimedOut); });
  socket_.Flush();
}

bool Client::Connect(const Endpoint& where) {
  parser_ = Parser(Parser::Kind::kResponse, max_body_size_);
  socket_.output() = OutputBuffer();
  connected_to_ = where;
  return socket_.Connect(where) == ConnectStart::kStarted;
}

void Client::Close() {
  is_busy_ = false;
  timeout_.Clear();
  socket_.Close();
}

void Client::OnReceived(std::size_t count) {
  bytes_received_ += count;
  response_size_ += count;
  parser_.Commit(count);
  HandleResponse();
}

void Client::OnClosed(StreamEnd how) {
  if (!is_busy_) return;
  if (unsized_ == UnsizedResponses::kAccept && how == StreamEnd::kOrderly) parser_.OnStreamEnd();
  if (parser_.done()) {
    HandleResponse();
  } else {
    Fail(RequestError::kConnectionLost);
  }
}

void Client::HandleResponse() {
  if (!is_busy_) {
    socket_.Close();  // unsolicited data
    return;
  }
  if (parser_.bad()) {
    Fail(RequestError::kMalformedResponse);
    return;
  }
  if (!parser_.done()) return;
  const MessageRef response = parser_.TakeMessage();
  is_busy_ = false;
  timeout_.Clear();
  if (!response->keep_alive()) socket_.Close();
  owner_.OnResponse(*response);
}

void Client::Fail(RequestError error) {
  Close();
  owner_.OnRequestFailed(error);
}

}  // namespace dappletiller::http
