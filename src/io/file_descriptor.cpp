#include "io/file_descriptor.hpp"

#include <unistd.h>

namespace dappletiller {

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  if (this != &other) {
    Reset();
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}

void FileDescriptor::Reset() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

}  // namespace dappletiller
