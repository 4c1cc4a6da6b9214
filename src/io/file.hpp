// Whole files: reading them, replacing them so that a reader finds the old or the new contents and nothing
// between, and a lock between processes.
#ifndef DAPPLETILLER_IO_FILE_HPP_
#define DAPPLETILLER_IO_FILE_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "io/file_descriptor.hpp"

namespace dappletiller {

// Throws std::system_error; its text does not name the file.
std::string ReadFile(const std::string& path);

// Differs after each ReplaceFile.
struct FileVersion {
  std::uint64_t inode = 0;
  std::int64_t changed_seconds = 0;
  std::int64_t changed_nanoseconds = 0;
  std::int64_t size = 0;

  bool operator==(const FileVersion&) const = default;
};
// Nothing if there is no file, or it cannot be looked at for now.
std::optional<FileVersion> ReadFileVersion(const std::string& path);

// Excludes other processes from the same lock as long as it exists.
class FileLock {
 public:
  // Does not wait: `error` is operation_would_block while another process has the lock, or says why the file
  // `path` cannot be created.
  FileLock(const std::string& path, std::error_code* error);

 private:
  FileDescriptor file_;
};

// Writes to `path`.PID, syncs that and renames it. After an error `path` is as it was.
std::error_code ReplaceFile(const std::string& path, std::string_view text);

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_FILE_HPP_
