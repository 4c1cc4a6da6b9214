// What a request or a response carries through the dispatcher unread.
#ifndef DAPPLETILLER_BASE_PAYLOAD_HPP_
#define DAPPLETILLER_BASE_PAYLOAD_HPP_

#include <memory>

namespace dappletiller {

// Each protocol derives its own.
class Payload {
 public:
  virtual ~Payload() = default;
};
using PayloadRef = std::shared_ptr<const Payload>;

}  // namespace dappletiller

#endif  // DAPPLETILLER_BASE_PAYLOAD_HPP_
