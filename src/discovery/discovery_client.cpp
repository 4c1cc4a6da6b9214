#include "discovery/discovery_client.hpp"

#include <utility>

#include "discovery/retry_schedule.hpp"
#include "http/parser.hpp"
#include "io/output_buffer.hpp"

namespace dappletiller {
namespace {

// Lists that are pushed: an agent that was silent has its news taken within wait and answer time of being
// back. Its calls cost nothing, and what it has counts as told.
constexpr Micros kPushedWait = 1'000'000;
constexpr Micros kPushedAnswerTime = 500'000;
constexpr Micros kPushedRetry = 100'000;

}  // namespace

// One connection to discovery with at most one question out on it.
class Discovery::Asker final : public StreamSocket::Callbacks {
 public:
  Asker(Discovery& discovery, bool watch)
      : watch(watch), socket(discovery.loop_, *this), timer(discovery.loop_), discovery_(discovery) {}

  void Ask(const std::string& target, Micros wait, Micros within) {
    asking = true;
    waits = wait > 0;
    asked_at = discovery_.loop_.Now();
    if (socket.open() && socket.IsStale()) socket.Close();
    if (!socket.open()) {
      parser_ = http::Parser(http::Parser::Kind::kResponse, http::kMaxEndpointListSize);
      socket.output() = OutputBuffer();
      if (!socket.Connect(discovery_.options_.where)) {
        // Not from within the module's own call: it is told in the next round.
        timer.Set(0, [this] { discovery_.Failed(*this, "cannot connect"); });
        return;
      }
    }
    socket.output().AppendOwned("GET " + target + " HTTP/1.1\r\nHost: " + discovery_.options_.host +
                                "\r\n\r\n");
    socket.Flush();
    if (!asking) return;
    timer.Set(within, [this] {
      socket.Close();
      discovery_.Silent(*this);
    });
  }

  std::span<char> ReceiveBuffer() override { return parser_.ReceiveBuffer(); }
  void OnReceived(std::size_t n) override {
    parser_.Commit(n);
    Look();
  }
  void OnClosed(StreamEnd how) override {
    if (how == StreamEnd::kOrderly) parser_.OnStreamEnd();
    if (asking && parser_.done()) return Look();
    if (asking) discovery_.Failed(*this, "connection lost");
  }

  const bool watch;
  bool asking = false;
  bool waits = false;   // the question out is one that may wait at discovery
  Micros asked_at = 0;  // on the loop's clock
  StreamSocket socket;
  Timer timer;

 private:
  void Look() {
    if (parser_.bad() || !asking) {
      socket.Close();
      if (asking) discovery_.Failed(*this, "malformed answer");
      return;
    }
    if (!parser_.done()) return;
    http::MessageRef answer = parser_.TakeMessage();
    asking = false;
    timer.Clear();
    if (!answer->keep_alive()) socket.Close();
    discovery_.Answered(*this, *answer);
  }

  Discovery& discovery_;
  http::Parser parser_{http::Parser::Kind::kResponse, http::kMaxEndpointListSize};
};

Discovery::Discovery(EventLoop& loop, Log& log, Gateway& gateway, DiscoveryOptions options)
    : loop_(loop),
      log_(log),
      gateway_(gateway),
      options_(std::move(options)),
      version_(options_.version),
      random_(options_.seed),
      again_(loop) {}

Discovery::~Discovery() = default;

void Discovery::Start() {
  if (options_.pushed) Watch();
}

Micros Discovery::WatchWait() const {
  return options_.pushed ? kPushedWait : limits::WatchTimes::Wait(options_.ask_within);
}

// The first call of a watch doesn't wait, so that the module soon knows that it is subscribed and what it
// missed. A call already out will bring that news as well.
void Discovery::Watch() {
  if (!again_.set()) Ask(watch_, true, 0);
}
void Discovery::Fetch() { Ask(fetch_, false, 0); }

// The watch goes on by itself at the new address, at once and whatever pause the old one had earned.
void Discovery::Move(const Endpoint& where, std::string host) {
  options_.where = where;
  options_.host = std::move(host);
  whole_ = true;
  failures_ = 0;
  again_.Clear();
  // Guards against an answer of the old address that is still on its way.
  for (auto* asker : {&watch_, &fetch_}) {
    if (*asker == nullptr) continue;
    (*asker)->socket.Close();
    (*asker)->timer.Clear();
    loop_.DeferDelete(std::move(*asker));
  }
  Watch();
}

void Discovery::Ask(std::unique_ptr<Asker>& asker, bool watch, Micros wait) {
  if (asker == nullptr) asker = std::make_unique<Asker>(*this, watch);
  if (asker->asking) return;
  std::string target = "/discovery/hosts";
  if (watch && !whole_) {
    target += "?after=" + std::to_string(version_) + "&wait_ms=" + std::to_string(wait / 1000);
  }
  ++gateway_.tally().list_calls;
  asker->Ask(target, wait,
             options_.pushed ? wait + kPushedAnswerTime : limits::WatchTimes::AnswerWithin(wait));
}

void Discovery::Answered(Asker& asker, const http::Message& answer) {
  std::optional<WorkerList> list;
  if (answer.status() == 200) list = ParseList(answer.body(), options_.names);
  if (!list) return Failed(asker, answer.status() == 200 ? "malformed list" : "turned down");
  // A late answer to a fetch must not undo what the watch has told since.
  bool old = !asker.watch && !whole_ && list->version < version_;
  if (!old) version_ = list->version;
  if (list->kind == WorkerList::Kind::kFull) whole_ = false;
  if (asker.watch) failures_ = 0;
  // The next call of the watch leaves first: it has to come within 200 ms, whatever the list sets off.
  if (asker.watch) Ask(watch_, true, WatchWait());
  if (!old) gateway_.Learn(*list);
}

// A watch that has fallen silent is opened anew at once: the clock of what it missed is running, and pauses
// are there to spare a discovery that said no, which this one did not.
void Discovery::Silent(Asker& asker) {
  if (!asker.watch || !asker.waits || options_.pushed) return Failed(asker, "no answer");
  asker.asking = false;
  ++gateway_.tally().list_failures;
  log_.Info("discovery: a watch failed: silent, opened anew");
  Ask(watch_, true, 0);
}

void Discovery::Failed(Asker& asker, const char* why) {
  asker.asking = false;
  asker.timer.Clear();
  ++gateway_.tally().list_failures;
  log_.Info("discovery: a %s failed: %s", asker.watch ? "watch" : "fetch", why);
  if (asker.watch) return again_.Set(Pause(asker), [this] { Watch(); });
  // What can fail of a watch is mended here, by a clock that the module does not see; a fetch is the
  // module's.
  WorkerList failed;
  failed.kind = WorkerList::Kind::kFailed;
  gateway_.Learn(failed);
}

Micros Discovery::Pause(const Asker& asker) {
  if (options_.pushed) return kPushedRetry;
  Micros took = asker.waits ? 0 : loop_.Now() - asker.asked_at;
  double draw = static_cast<double>(random_() >> 11) * 0x1.0p-53;
  return limits::WatchTimes::Pause(options_.ask_within, failures_++, took, draw);
}

}  // namespace dappletiller
