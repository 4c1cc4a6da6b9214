// A TCP connection on the event loop. Reads into buffers of its owner and writes from an OutputBuffer.
//
// The owner implements StreamSocket::Callbacks for its protocol.
#ifndef DAPPLETILLER_IO_STREAM_SOCKET_HPP_
#define DAPPLETILLER_IO_STREAM_SOCKET_HPP_

#include <cstddef>
#include <cstdint>
#include <span>

#include "base/endpoint.hpp"
#include "io/event_loop.hpp"
#include "io/output_buffer.hpp"

namespace dappletiller {

// How a stream ended. A reset or another error is not an orderly end, whichever system call reported it and
// however much data could still be read. A message that ends with its stream is complete only after kOrderly
// (RFC 9112, sections 6.3 and 8).
enum class StreamEnd { kOrderly, kBroken };

// kShortage: this machine lacks descriptors, memory, ports or a route for now, which says nothing about the
// peer. kFailed: the peer cannot be reached.
enum class ConnectStart { kStarted, kShortage, kFailed };

class StreamSocket final : private EventHandler {
 public:
  // Each of these may close the socket, but must free it only through EventLoop::DeferDelete.
  class Callbacks {
   public:
    // The buffer for the next bytes. Empty: nothing is read until ResumeReading.
    virtual std::span<char> ReceiveBuffer() = 0;
    // `count` bytes have been read into that buffer.
    virtual void OnReceived(std::size_t count) = 0;
    virtual void OnConnected() {}
    // The whole output has been passed to the kernel.
    virtual void OnFlushed() {}
    // Called each time before bytes are passed to the kernel. False: nothing is written; the owner has closed
    // the socket, or flushes again later.
    virtual bool MayWrite() { return true; }
    // The stream has ended. Not called after Close.
    virtual void OnClosed(StreamEnd how) = 0;

   protected:
    ~Callbacks() = default;
  };

  // Both must outlive the socket.
  StreamSocket(EventLoop& loop, Callbacks& callbacks) : loop_(loop), callbacks_(callbacks) {}
  ~StreamSocket() { Close(); }
  StreamSocket(const StreamSocket&) = delete;
  StreamSocket& operator=(const StreamSocket&) = delete;

  // Takes ownership of an accepted connection. False: the machine is short of memory, and the caller keeps
  // it.
  bool Adopt(FileDescriptor& connection);
  ConnectStart Connect(const Endpoint& where);
  bool open() const { return static_cast<bool>(fd_); }
  std::uint16_t local_port() const;  // 0: not open

  OutputBuffer& output() { return output_; }
  const OutputBuffer& output() const { return output_; }
  // Writes as much output as the kernel accepts; the rest is written when the socket becomes writable.
  void Flush();
  void ResumeReading();

  // Whether the peer has closed the connection or sent data that no callback has reported yet.
  bool IsStale();
  // Whether the peer has closed or reset the stream, even behind unread bytes.
  bool PeerHasClosed() const;
  // Bytes of the output that the peer's kernel has not acknowledged, including those still in this buffer.
  // Data that the peer sends after it has the last byte acknowledges that byte, so data that is read while
  // some are unacknowledged was sent before.
  std::size_t UnacknowledgedBytes() const;
  // Bytes that the peer's kernel has acknowledged since the connection was opened.
  std::uint64_t AcknowledgedBytes() const { return written_ - BytesInKernel(); }

  // How long ago the kernel received the last data, in steps of some milliseconds; 0: not known.
  Micros TimeSinceLastData() const;

  void ShutdownWrite();  // half-close
  void Close();
  void Abort();  // closes with a reset instead of an orderly end

 private:
  void OnReady(std::uint32_t events) override;
  void OnConnectResult(std::uint32_t events);
  void Read();
  // False: nothing more to read for now.
  bool ReadOnce();
  void OnWriteError();
  // After a read or write that the kernel had no memory for: tries it again in the next round.
  void TryAgain(std::uint32_t events) { loop_.NotifyAgain(watch_, events); }
  void NotifyClosed(StreamEnd how);
  int TakeError();
  std::size_t BytesInKernel() const;
  bool Register();

  EventLoop& loop_;
  Callbacks& callbacks_;
  FileDescriptor fd_;
  EventLoop::WatchId watch_ = 0;
  OutputBuffer output_;
  std::uint64_t written_ = 0;  // bytes passed to the kernel
  bool connecting_ = false;
  bool reading_ = false;  // within Read: ResumeReading from a callback must not recurse
  bool readable_ = false;
  // The kernel reports an error only once, to the first system call; after that the stream looks ended.
  bool broken_ = false;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_STREAM_SOCKET_HPP_
