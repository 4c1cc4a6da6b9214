// Owns a file descriptor and closes it.
#ifndef DAPPLETILLER_IO_FILE_DESCRIPTOR_HPP_
#define DAPPLETILLER_IO_FILE_DESCRIPTOR_HPP_

#include <utility>

namespace dappletiller {

class FileDescriptor {
 public:
  FileDescriptor() = default;
  // Takes ownership of `fd`; negative: none.
  explicit FileDescriptor(int fd) : fd_(fd) {}
  ~FileDescriptor() { Reset(); }
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  // Gives up ownership without closing.
  int Release() { return std::exchange(fd_, -1); }
  // Closes the descriptor.
  void Reset();

 private:
  int fd_ = -1;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_FILE_DESCRIPTOR_HPP_
