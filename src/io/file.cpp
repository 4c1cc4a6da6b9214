#include "io/file.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <filesystem>

#include "io/file_descriptor.hpp"

namespace dappletiller {
namespace {

constexpr std::size_t kReadSize = std::size_t{64} * 1024;
constexpr mode_t kOwnerOnly = 0600;

std::error_code LastError() { return {errno, std::generic_category()}; }

FileDescriptor Open(const std::string& path, int flags) {
  int fd = -1;
  do {
    fd = ::open(path.c_str(), flags | O_CLOEXEC, kOwnerOnly);
  } while (fd < 0 && errno == EINTR);
  return FileDescriptor(fd);
}

std::error_code WriteAll(int fd, std::string_view text) {
  while (!text.empty()) {
    const ssize_t count = ::write(fd, text.data(), text.size());
    if (count >= 0) {
      text.remove_prefix(static_cast<std::size_t>(count));
    } else if (errno != EINTR) {
      return LastError();
    }
  }
  return {};
}

std::error_code Sync(int fd) {
  while (::fsync(fd) != 0) {
    if (errno != EINTR) return LastError();
  }
  return {};
}

std::error_code WriteAndSync(const std::string& path, std::string_view text) {
  const FileDescriptor file = Open(path, O_WRONLY | O_CREAT | O_TRUNC);
  if (!file) return LastError();
  if (const std::error_code error = WriteAll(file.get(), text)) return error;
  return Sync(file.get());
}

// Makes a rename in the folder durable.
std::error_code SyncFolder(const std::string& path) {
  const std::string folder = std::filesystem::path(path).parent_path().string();
  const FileDescriptor descriptor = Open(folder.empty() ? "." : folder, O_RDONLY | O_DIRECTORY);
  return descriptor ? Sync(descriptor.get()) : LastError();
}

}  // namespace

std::string ReadFile(const std::string& path) {
  const FileDescriptor file = Open(path, O_RDONLY);
  if (!file) throw std::system_error(LastError());
  std::string text;
  std::array<char, kReadSize> buffer;
  for (;;) {
    const ssize_t count = ::read(file.get(), buffer.data(), buffer.size());
    if (count == 0) return text;
    if (count > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(count));
    } else if (errno != EINTR) {
      throw std::system_error(LastError());
    }
  }
}

std::optional<FileVersion> ReadFileVersion(const std::string& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) return std::nullopt;
  return FileVersion{status.st_ino, status.st_ctim.tv_sec, status.st_ctim.tv_nsec, status.st_size};
}

FileLock::FileLock(const std::string& path, std::error_code* error) : file_(Open(path, O_RDWR | O_CREAT)) {
  if (!file_) {
    *error = LastError();
    return;
  }
  while (::flock(file_.get(), LOCK_EX | LOCK_NB) != 0) {
    if (errno == EINTR) continue;
    *error = LastError();
    return;
  }
}

std::error_code ReplaceFile(const std::string& path, std::string_view text) {
  const std::string temporary = path + "." + std::to_string(::getpid());
  if (const std::error_code error = WriteAndSync(temporary, text)) {
    ::unlink(temporary.c_str());
    return error;
  }
  if (std::rename(temporary.c_str(), path.c_str()) != 0) return LastError();
  return SyncFolder(path);
}

}  // namespace dappletiller
