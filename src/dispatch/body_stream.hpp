// The body of a response that is passed on to the client while the server still sends it.
//
// Connects the connection that receives the body with the one that sends it on; either may end first. At most
// one part is on its way: the source gives the next one when the sink is ready. Lives on the event loop.
#ifndef DAPPLETILLER_DISPATCH_BODY_STREAM_HPP_
#define DAPPLETILLER_DISPATCH_BODY_STREAM_HPP_

#include <string>
#include <utility>

#include "base/memory_budget.hpp"

namespace dappletiller {

// Where the body comes from.
class BodySource {
 public:
  // The sink is ready for the next part.
  virtual void ResumeBody() = 0;
  // The client has gone. Nothing more may be given to the stream.
  virtual void AbandonBody() = 0;

 protected:
  ~BodySource() = default;
};

// Where the body goes to.
class BodySink {
 public:
  virtual bool ReadyForBody() const = 0;
  // A part of the body, at least one byte; `memory` is reserved for it.
  virtual void OnBody(std::string part, MemoryBudget::Reservation memory) = 0;
  // The body has ended. Not complete: the client must be able to tell.
  virtual void OnBodyEnd(bool complete) = 0;

 protected:
  ~BodySink() = default;
};

class BodyStream {
 public:
  // `source` must live until it has called End or its AbandonBody has been called.
  explicit BodyStream(BodySource& source) : source_(&source) {}

  // For the sink, which must live until OnBodyEnd or until it calls Abandon.
  void Attach(BodySink& sink) { sink_ = &sink; }
  void Resume() {
    if (source_ != nullptr) source_->ResumeBody();
  }
  void Abandon() {
    sink_ = nullptr;
    if (BodySource* source = std::exchange(source_, nullptr)) source->AbandonBody();
  }

  // For the source.
  bool ready() const { return sink_ != nullptr && sink_->ReadyForBody(); }
  void Write(std::string part, MemoryBudget::Reservation memory) {
    if (sink_ != nullptr) sink_->OnBody(std::move(part), std::move(memory));
  }
  void End(bool complete) {
    source_ = nullptr;
    if (BodySink* sink = std::exchange(sink_, nullptr)) sink->OnBodyEnd(complete);
  }

 private:
  BodySource* source_;
  BodySink* sink_ = nullptr;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DISPATCH_BODY_STREAM_HPP_
