// The content of a request or response, which the dispatcher passes on without reading it.
#ifndef DAPPLETILLER_BASE_PAYLOAD_HPP_
#define DAPPLETILLER_BASE_PAYLOAD_HPP_

#include <memory>

namespace dappletiller {

// Base class; each protocol derives its own.
class Payload {
 public:
  virtual ~Payload() = default;
};
using PayloadRef = std::shared_ptr<const Payload>;

}  // namespace dappletiller

#endif  // DAPPLETILLER_BASE_PAYLOAD_HPP_
