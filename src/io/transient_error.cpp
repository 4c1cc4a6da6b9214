#include "io/transient_error.hpp"

#include <algorithm>
#include <array>
#include <cerrno>

namespace dappletiller {
namespace {

constexpr std::array kShortages = {EAGAIN, EINTR,  EIO,           EMFILE,      ENFILE,   ENOBUFS,
                                   ENOMEM, ENOSPC, EADDRNOTAVAIL, ENETUNREACH, ENETDOWN, ENOSR};

constexpr std::array kOfOneConnection = {EINTR,       ECONNABORTED, EPROTO,    ENETDOWN,
                                         ENOPROTOOPT, EHOSTDOWN,    ENONET,    EHOSTUNREACH,
                                         EOPNOTSUPP,  ENETUNREACH,  ETIMEDOUT, ECONNRESET};

template <std::size_t Size>
bool Contains(const std::array<int, Size>& errors, int error) {
  return std::find(errors.begin(), errors.end(), error) != errors.end();
}

}  // namespace

bool IsShortage(int error) { return Contains(kShortages, error); }

bool ConcernsOneConnection(int error) { return Contains(kOfOneConnection, error); }

}  // namespace dappletiller
