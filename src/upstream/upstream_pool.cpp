#include "upstream/upstream_pool.hpp"

#include <algorithm>
#include <utility>

#include "base/payload.hpp"
#include "http/body_memory.hpp"
#include "http/parser.hpp"
#include "http/writer.hpp"

namespace dappletiller {
namespace {

// Part of the workers' idle time after which we close an unused connection ourselves. Guards against a
// request that crosses the worker's own close: it would end as a reset and count as one that may have run.
constexpr int kIdlePartNumerator = 3;
constexpr int kIdlePartDenominator = 5;

constexpr Micros kFadeEvery = 10'000'000;
constexpr int kLooks = 8;  // idle connections of a worker that are looked at
// A worker that has sent more than one answer to a request may do so again, some milliseconds late: for a
// while its connections rest this long before they are used again, so that what belongs to nobody has
// arrived.
constexpr Micros kWaryFor = 60'000'000;
constexpr Micros kWaryRest = 50'000;

AttemptOutcome Judge(const http::Message& answer) {
  if (answer.status() == 200) return AttemptOutcome::kAnswered;
  bool refused = answer.status() == 503 || answer.status() == 504;
  if (refused && answer.Find("Not-Started") == "1") return AttemptOutcome::kRejected;
  return AttemptOutcome::kError;
}

}  // namespace

// One connection.
class UpstreamPool::Link final : public StreamSocket::Callbacks {
 public:
  Link(UpstreamPool& links, ServerId worker, const Endpoint& endpoint)
      : worker(worker),
        endpoint(endpoint),
        timer(links.loop_),
        socket(links.loop_, *this),
        links_(links),
        parser_(http::Parser::Kind::kResponse, http::kMaxBodySize, links.long_bodies_) {}

  void Send(const Attempt& attempt) {
    key = attempt.key;
    busy = true;
    written_ = false;
    crossed_ = false;
    // The payload is ours: this is the only protocol whose calls reach these links.
    request_ = std::static_pointer_cast<const http::Message>(attempt.payload);
    wait_until_ = links_.loop_.Now() + attempt.timeout;
    if (!up) return;
    Write();
    socket.Flush();
  }

  std::span<char> ReceiveBuffer() override { return parser_.ReceiveBuffer(); }

  void OnConnected() override {
    up = true;
    timer.Clear();
    Write();
  }
  bool MayWrite() override { return links_.dispatcher_.MayWrite(key); }
  void OnFlushed() override { written_ = true; }

  void OnReceived(std::size_t n) override {
    if (busy && !parser_.begun()) crossed_ = socket.UnacknowledgedBytes() > 0;
    parser_.Commit(n);
    Look();
  }

  void OnClosed(StreamEnd how) override {
    if (how == StreamEnd::kOrderly) parser_.OnStreamEnd();
    if (busy && parser_.done()) return Look();
    if (!busy) return links_.DropIdle(*this);
    if (written_ && !parser_.begun()) links_.NoteRest(rest, false);
    // What was never written whole can't have run.
    links_.Finish(*this, written_ ? AttemptOutcome::kReset : AttemptOutcome::kUnreachable, nullptr);
  }

  bool reusable() const { return reusable_ && socket.open(); }
  bool written() const { return written_; }

  ServerId worker;
  Endpoint endpoint;
  AttemptKey key;
  bool busy = false;
  bool up = false;  // connected: bytes may have been sent
  Timer timer;      // dialling, or idle
  StreamSocket socket;
  LinkList::iterator place;  // while idle
  Micros parked_at = 0;
  Micros rest = -1;  // before the attempt at hand; none on a new connection

 private:
  // Once the connection is up, not before: guards against telling more time than the client still has, by as
  // much as the dialling took.
  void Write() {
    http::WriteRequest(request_, wait_until_ - links_.loop_.Now(), &socket.output());
    request_ = nullptr;
  }

  void Look() {
    if (!busy) {  // bytes that nobody asked for: the next answer could be mistaken
      links_.NoteSurplus(worker);
      socket.Close();
      return links_.DropIdle(*this);
    }
    if (parser_.bad()) {
      socket.Close();
      return links_.Finish(*this, written_ ? AttemptOutcome::kReset : AttemptOutcome::kUnreachable, nullptr);
    }
    if (!parser_.done()) return;
    http::MessageRef answer = parser_.TakeMessage();
    // An answer before the request was written whole leaves a connection with half a request on it.
    reusable_ = answer->keep_alive() && written_ && !parser_.begun();
    if (parser_.begun()) links_.NoteSurplus(worker);
    AttemptOutcome end = Judge(*answer);
    // The request may run there, so it is not sent elsewhere for this: its own answer follows, or is here.
    if (crossed_ && written_ && end == AttemptOutcome::kAnswered) {
      links_.NoteSurplus(worker);
      crossed_ = false;
      if (socket.open()) return Look();
      end = AttemptOutcome::kReset;
    }
    // A worker begins a request once its last byte has arrived. Guards against serving what was made for an
    // earlier one: before that byte only a refusal can be meant for this.
    if (!written_ && end != AttemptOutcome::kRejected) end = AttemptOutcome::kUnreachable;
    links_.NoteRest(rest, true);
    links_.Finish(*this, end, std::move(answer));
  }

  UpstreamPool& links_;
  http::Parser parser_;
  http::MessageRef request_;  // until it is in the channel's hands
  Micros wait_until_ = 0;
  bool written_ = false;
  // The answer at hand began before the worker's kernel had all of the request: it was made for an earlier
  // one, and the client would get what belongs to somebody else.
  bool crossed_ = false;
  bool reusable_ = false;
};

UpstreamPool::UpstreamPool(EventLoop& loop, Log& log, RequestDispatcher& dispatcher,
                           DescriptorLimit& descriptors, const UpstreamLimits& limits,
                           std::shared_ptr<BodyMemory> long_bodies)
    : loop_(loop),
      log_(log),
      dispatcher_(dispatcher),
      descriptors_(descriptors),
      limits_(limits),
      long_bodies_(std::move(long_bodies)),
      fade_(loop) {
  descriptors_.SetCloseUnused(DescriptorLimit::Side::kUpstream, [this] { return DropOneIdle(); });
}

UpstreamPool::~UpstreamPool() { descriptors_.SetCloseUnused(DescriptorLimit::Side::kUpstream, nullptr); }

void UpstreamPool::SetEndpoint(ServerId worker, const Endpoint& endpoint) {
  Pool& pool = pools_[worker];
  // What is called off here may be sent again at once, and by then to the new address.
  if (!(std::exchange(pool.endpoint, endpoint) == endpoint)) StopUsing(worker);
}

void UpstreamPool::StopUsing(ServerId worker) {
  auto it = pools_.find(worker);
  if (it == pools_.end()) return;
  while (!it->second.idle.empty()) DropIdle(*it->second.idle.back());
  // Guards against a connection that comes up long after the drain was told, and would only then send.
  std::vector<AttemptKey> dialling;
  for (const auto& [key, link] : busy_) {
    if (link->worker == worker && !link->up) dialling.push_back(key);
  }
  for (const AttemptKey& key : dialling) {
    auto found = busy_.find(key);
    if (found == busy_.end()) continue;
    found->second->socket.Close();
    Finish(*found->second, AttemptOutcome::kUnreachable, nullptr);
  }
}

// What is still out there goes on; its connection finds no pool to return to.
void UpstreamPool::Remove(ServerId worker) {
  StopUsing(worker);
  pools_.erase(worker);
}

void UpstreamPool::Start(const Attempt& attempt) {
  auto it = pools_.find(attempt.server);
  if (it == pools_.end()) return dispatcher_.OnAttemptEnded(attempt.key, AttemptOutcome::kNotSent, nullptr);
  std::unique_ptr<Link> link = TakeIdle(it->second);
  if (link == nullptr) {
    if (!descriptors_.MakeRoom(DescriptorLimit::Side::kUpstream)) {
      log_.Info("worker: all %zu connections in use, a call is not sent", descriptors_.limit());
      return dispatcher_.OnAttemptEnded(attempt.key, AttemptOutcome::kNotSent, nullptr);
    }
    link = std::make_unique<Link>(*this, attempt.server, it->second.endpoint);
    if (!link->socket.Connect(it->second.endpoint)) {
      return dispatcher_.OnAttemptEnded(attempt.key, AttemptOutcome::kUnreachable, nullptr);
    }
    ++count_;
    ++dispatcher_.counters().dialled;
    descriptors_.Acquire();
    Link* dialled = link.get();
    link->timer.Set(limits_.dial, [this, dialled] {
      dialled->socket.Close();
      Finish(*dialled, AttemptOutcome::kUnreachable, nullptr);
    });
  }
  Link& started = *link;
  busy_[attempt.key] = std::move(link);
  started.Send(attempt);
}

// Of the idle connections that still stand the one whose rest broke the fewest requests so far, and of equals
// the most recently used. Guards against requests that cross a worker's close, be it right after its answer
// or after long.
std::unique_ptr<UpstreamPool::Link> UpstreamPool::TakeIdle(Pool& pool) {
  Micros now = loop_.Now();
  // The most recently used lie last.
  auto end = pool.idle.end();
  while (now < pool.wary_until && end != pool.idle.begin() &&
         now - (*std::prev(end))->parked_at < kWaryRest) {
    --end;
  }
  while (end != pool.idle.begin()) {
    auto taken = std::prev(end);
    double least = rests_.FailureRate(now - (*taken)->parked_at);
    int looks = kLooks;
    for (auto it = taken; least > 0 && it != pool.idle.begin() && looks > 0; --looks) {
      double risk = rests_.FailureRate(now - (*--it)->parked_at);
      if (risk >= least) continue;
      least = risk;
      taken = it;
    }
    std::unique_ptr<Link> link = std::move(*taken);
    pool.idle.erase(taken);
    link->timer.Clear();
    link->rest = now - link->parked_at;
    // Guards against writing into a connection whose end is known to the kernel but not yet to us, or that a
    // worker has most likely left by now without our being told.
    if (!link->socket.IsStale() && rests_.IsReusable(link->rest)) return link;
    Discard(std::move(link));
  }
  return nullptr;
}

void UpstreamPool::NoteRest(Micros rest, bool kept) {
  rests_.Record(rest, kept);
  if (!kept && !fade_.set()) fade_.Set(kFadeEvery, [this] { Fade(); });
}

void UpstreamPool::Fade() {
  if (rests_.Decay()) fade_.Set(kFadeEvery, [this] { Fade(); });
}

bool UpstreamPool::DropOneIdle() {
  for (auto& [id, pool] : pools_) {
    if (pool.idle.empty()) continue;
    DropIdle(*pool.idle.front());
    return true;
  }
  return false;
}

// Giving up means closing: the worker stops its work when the connection goes.
void UpstreamPool::Cancel(AttemptKey key) {
  auto it = busy_.find(key);
  if (it == busy_.end()) return;
  std::unique_ptr<Link> link = std::move(it->second);
  busy_.erase(it);
  Discard(std::move(link));
}

bool UpstreamPool::RevokeUnsent(AttemptKey key) {
  auto it = busy_.find(key);
  if (it == busy_.end() || it->second->written()) return false;
  Cancel(key);
  return true;
}

void UpstreamPool::NoteSurplus(ServerId worker) {
  auto it = pools_.find(worker);
  if (it != pools_.end()) it->second.wary_until = loop_.Now() + kWaryFor;
}

void UpstreamPool::Finish(Link& link, AttemptOutcome end, PayloadRef answer) {
  auto it = busy_.find(link.key);
  if (it == busy_.end()) return;
  std::unique_ptr<Link> owned = std::move(it->second);
  busy_.erase(it);
  owned->busy = false;
  AttemptKey key = owned->key;
  // Parked first: the outcome may have the module send to this worker again at once.
  if (owned->reusable()) {
    Park(std::move(owned));
  } else {
    Discard(std::move(owned));
  }
  dispatcher_.OnAttemptEnded(key, end, std::move(answer));
}

void UpstreamPool::Park(std::unique_ptr<Link> link) {
  auto it = pools_.find(link->worker);
  if (it == pools_.end() || !(it->second.endpoint == link->endpoint)) return Discard(std::move(link));
  Link& parked = *link;
  parked.parked_at = loop_.Now();
  it->second.idle.push_back(std::move(link));
  parked.place = std::prev(it->second.idle.end());
  parked.timer.Set(limits_.idle * kIdlePartNumerator / kIdlePartDenominator,
                   [this, &parked] { DropIdle(parked); });
}

void UpstreamPool::DropIdle(Link& link) {
  auto it = pools_.find(link.worker);
  if (it == pools_.end()) return;
  std::unique_ptr<Link> owned = std::move(*link.place);
  it->second.idle.erase(link.place);
  Discard(std::move(owned));
}

void UpstreamPool::Discard(std::unique_ptr<Link> link) {
  link->socket.Close();
  link->timer.Clear();
  --count_;
  descriptors_.Release();
  loop_.DeferDelete(std::move(link));
}

}  // namespace dappletiller
