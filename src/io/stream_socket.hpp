// The thin driver between a socket and whoever speaks a protocol on it.
#ifndef DAPPLETILLER_IO_STREAM_SOCKET_HPP_
#define DAPPLETILLER_IO_STREAM_SOCKET_HPP_

#include <span>

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "http/http.hpp"
#include "io/event_loop.hpp"

namespace dappletiller {

// How a stream ended. A reset, or any other error that was met by the end, is no orderly end, whoever met it
// and however much could still be read: what lasts until the end of its stream is whole only after kOrderly
// (RFC 9112, 6.3 and 8).
enum class StreamEnd { kOrderly, kBroken };

class Channel final : private EventSink {
 public:
  // Callbacks may close the channel, but must leave freeing it to Loop::Dispose.
  class Owner {
   public:
    virtual std::span<char> Room() = 0;  // empty: read no further for now
    virtual void OnBytes(std::size_t n) = 0;
    virtual void OnConnected() {}
    virtual void OnWritten() {}  // all that was to be written is
    // Asked each time before bytes go to the kernel. False: none do; the owner has closed the channel, or
    // flushes again once they may.
    virtual bool MayWrite() { return true; }
    virtual void OnGone(StreamEnd how) = 0;  // nothing more will come; not called after Close

   protected:
    ~Owner() = default;
  };

  Channel(Loop& loop, Owner& owner) : loop_(loop), owner_(owner) {}
  ~Channel() { Close(); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  bool Adopt(Fd fd);                    // an accepted connection
  bool Connect(const Endpoint& where);  // false: it failed at once
  bool open() const { return static_cast<bool>(fd_); }
  std::uint16_t local_port() const;  // 0: not open
  http::Outbox& out() { return out_; }
  void Flush();   // writes what is in out() as far as it goes now
  void Resume();  // there is room again
  // Whether the other side has closed, or sent something, without our having been told yet.
  bool Stale();
  // Whether the other side has ended or broken the stream, also where that lies behind unread bytes.
  bool PeerEnded() const;
  // Of what was to be written, the bytes that the other side's machine has not acknowledged: ours and the
  // kernel's. What the other side sends once it has the last byte acknowledges that byte too: bytes that are
  // read while some are undelivered were sent before.
  std::size_t Undelivered() const;
  void EndSending();  // half-close
  void Close();
  void Break();  // closes so that the other side meets a reset, not an end

 private:
  void OnReady(std::uint32_t events) override;
  void Read();
  void Gone(StreamEnd how);
  int TakeError();
  bool Register();

  Loop& loop_;
  Owner& owner_;
  Fd fd_;
  Loop::Token token_ = 0;
  http::Outbox out_;
  bool connecting_ = false;
  bool reading_ = false;  // within Read: a callback's Resume must not nest
  bool readable_ = false;
  // The kernel tells of an error once, to whichever call comes first; after that the stream looks ended.
  bool broken_ = false;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_STREAM_SOCKET_HPP_
