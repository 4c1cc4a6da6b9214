// Whole files: reading them, and replacing them so that a reader finds the old or the new contents and
// nothing between.
#ifndef DAPPLETILLER_IO_FILE_HPP_
#define DAPPLETILLER_IO_FILE_HPP_

#include <string>
#include <string_view>
#include <system_error>

namespace dappletiller {

// Throws std::system_error; its text does not name the file.
std::string ReadFile(const std::string& path);

// Writes to `path`.PID, syncs that and renames it. After an error `path` is as it was.
std::error_code ReplaceFile(const std::string& path, std::string_view text);

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_FILE_HPP_
