// A TCP connection on the event loop: reads into its user's buffers, writes from an OutputBuffer.
//
// Whoever speaks a protocol on it implements StreamSocket::Callbacks and owns the socket.
#ifndef DAPPLETILLER_IO_STREAM_SOCKET_HPP_
#define DAPPLETILLER_IO_STREAM_SOCKET_HPP_

#include <cstddef>
#include <cstdint>
#include <span>

#include "base/endpoint.hpp"
#include "io/event_loop.hpp"
#include "io/output_buffer.hpp"

namespace dappletiller {

// How a stream ended. A reset, or any other error that was met by the end, is no orderly end, whoever met it
// and however much could still be read: a message that lasts until the end of its stream is complete only
// after kOrderly (RFC 9112, sections 6.3 and 8).
enum class StreamEnd { kOrderly, kBroken };

class StreamSocket final : private EventHandler {
 public:
  // Any of these may close the socket, but must leave freeing it to EventLoop::DeferDelete.
  class Callbacks {
   public:
    // Where the next bytes go. Empty: nothing is read until ResumeReading.
    virtual std::span<char> ReceiveBuffer() = 0;
    // So many bytes are in that buffer.
    virtual void OnReceived(std::size_t count) = 0;
    virtual void OnConnected() {}
    // All of the output has been handed to the kernel.
    virtual void OnFlushed() {}
    // Asked each time before bytes go to the kernel. False: none do; the callee has closed the socket, or
    // flushes again once they may.
    virtual bool MayWrite() { return true; }
    // Nothing more will come. Not called after Close.
    virtual void OnClosed(StreamEnd how) = 0;

   protected:
    ~Callbacks() = default;
  };

  // Both must outlive it.
  StreamSocket(EventLoop& loop, Callbacks& callbacks) : loop_(loop), callbacks_(callbacks) {}
  ~StreamSocket() { Close(); }
  StreamSocket(const StreamSocket&) = delete;
  StreamSocket& operator=(const StreamSocket&) = delete;

  // Takes over an accepted connection. False: it failed at once.
  bool Adopt(FileDescriptor connection);
  // Begins to connect. False: it failed at once.
  bool Connect(const Endpoint& where);
  bool open() const { return static_cast<bool>(fd_); }
  std::uint16_t local_port() const;  // 0: not open

  OutputBuffer& output() { return output_; }
  // Writes the output as far as the kernel takes it now; the rest follows by itself.
  void Flush();
  void ResumeReading();

  // Whether the peer has closed, or sent something, without a callback having said so yet.
  bool IsStale();
  // Whether the peer has ended or broken the stream, also where that lies behind unread bytes.
  bool PeerHasClosed() const;
  // Of the output, the bytes that the peer's machine has not acknowledged: ours and the kernel's. What the
  // peer sends once it has the last byte acknowledges that byte too, so bytes that are read while some are
  // unacknowledged were sent before.
  std::size_t UnacknowledgedBytes() const;

  void ShutdownWrite();  // half-close
  void Close();
  void Abort();  // closes so that the peer meets a reset, not an end

 private:
  void OnReady(std::uint32_t events) override;
  void OnConnectResult(std::uint32_t events);
  void Read();
  // False: reading is over for now.
  bool ReadOnce();
  void OnWriteError();
  void NotifyClosed(StreamEnd how);
  int TakeError();
  bool Register();

  EventLoop& loop_;
  Callbacks& callbacks_;
  FileDescriptor fd_;
  EventLoop::WatchId watch_ = 0;
  OutputBuffer output_;
  bool connecting_ = false;
  bool reading_ = false;  // within Read: a callback's ResumeReading must not nest
  bool readable_ = false;
  // The kernel reports an error once, to whichever call comes first; after that the stream looks ended.
  bool broken_ = false;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_STREAM_SOCKET_HPP_
