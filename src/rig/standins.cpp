#include "rig/standins.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <random>
#include <system_error>

#include "http/parser.hpp"

namespace dappletiller::rig {
namespace {

std::string Response(int status, const std::string& body, const char* more = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + more + "\r\n" + body;
}

std::int64_t NumberIn(std::string_view text, std::string_view key) {
  std::size_t at = text.find(key);
  if (at == std::string_view::npos) return 0;
  std::int64_t value = 0;
  std::from_chars(text.data() + at + key.size(), text.data() + text.size(), value);
  return value;
}

}  // namespace

// ---- Server ----

class Server::Conn final : public StreamSocket::Callbacks {
 public:
  Conn(Server& server, ConnId id) : socket(server.loop_, *this), server_(server), id_(id) {}
  std::span<char> ReceiveBuffer() override { return parser_.ReceiveBuffer(); }
  void OnReceived(std::size_t n) override {
    parser_.Commit(n);
    if (parser_.bad()) return server_.Drop(id_);
    if (busy || !parser_.done()) return;
    busy = true;
    ++server_.taken_;
    server_.Take(id_, parser_.TakeMessage());
  }
  void OnClosed(StreamEnd) override { server_.Drop(id_); }
  void Next() {
    busy = false;
    if (parser_.done()) {
      busy = true;
      ++server_.taken_;
      server_.Take(id_, parser_.TakeMessage());
    } else {
      socket.ResumeReading();
    }
  }
  StreamSocket socket;
  std::uint16_t from = 0;
  bool busy = false;

 private:
  Server& server_;
  ConnId id_;
  http::Parser parser_{http::Parser::Kind::kRequest};
};

Server::Server(EventLoop& loop) : loop_(loop) {}

Server::~Server() {
  if (listener_) loop_.Unwatch(token_, listener_.get());
}

Endpoint Server::Listen(std::uint16_t port) {
  BoundSocket bound = BindTcpListener({0x7f000001, port}, 1024, "stand-in");
  listener_ = std::move(bound.fd);
  port_ = bound.port;
  token_ = loop_.Watch(listener_.get(), this);
  return {0x7f000001, port_};
}

void Server::Shut() {
  if (listener_) loop_.Unwatch(token_, listener_.get());
  listener_.Reset();
  DropAll();
}

void Server::OnReady(std::uint32_t) {
  for (;;) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    FileDescriptor fd(
        ::accept4(listener_.get(), reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) return;
    ConnId id = ++ids_;
    auto conn = std::make_unique<Conn>(*this, id);
    conn->from = ntohs(from.sin_port);
    Conn& begun = *conn;
    conns_[id] = std::move(conn);
    if (!begun.socket.Adopt(fd)) Drop(id);
  }
}

void Server::Drop(ConnId id) {
  auto it = conns_.find(id);
  if (it == conns_.end()) return;
  auto owned = std::move(it->second);
  conns_.erase(it);
  owned->socket.Close();
  loop_.DeferDelete(std::move(owned));
  Gone(id);
}

void Server::DropAll() {
  while (!conns_.empty()) Drop(conns_.begin()->first);
}

std::string Server::From(ConnId conn, const Sender& sender) const {
  auto it = conns_.find(conn);
  return it == conns_.end() ? std::string() : sender(port_, it->second->from);
}

void Server::Answer(ConnId conn, std::string text) {
  auto it = conns_.find(conn);
  if (it == conns_.end()) return;
  bytes_out_ += text.size();
  it->second->socket.output().AppendOwned(std::move(text));
  it->second->socket.Flush();
  it = conns_.find(conn);
  if (it != conns_.end()) it->second->Next();
}

// ---- The worker ----

double StandInWorker::Capacity() const {
  double age = static_cast<double>(loop_.Now() - started_);
  if (started_ == 0 || age >= static_cast<double>(cold_.time)) return size_;
  return size_ * (cold_.share + (1 - cold_.share) * age / static_cast<double>(cold_.time));
}

void StandInWorker::TipIfTooMuch(Micros work) {
  Micros now = loop_.Now();
  if (!Cold()) return;
  given_.emplace_back(now, work);
  while (!given_.empty() && given_.front().first < now - cold_.fall) given_.pop_front();
  double sum = 0;
  for (const auto& [at, one] : given_) sum += static_cast<double>(one);
  double bears = cold_.tip_multiple * Capacity() * static_cast<double>(cold_.fall);
  if (cold_.usual > 0) bears += cold_.usual * (2 * std::sqrt(bears / cold_.usual) + 2);
  if (sum <= bears) return;
  ledger_.tips[name_].push_back(now);
  down_until_ = now + kDown;
  ForgetAll();
  DropAll();
}

void StandInWorker::ForgetAll() {
  given_.clear();
  queue_.clear();
  running_ = 0;
  ++epoch_;
}

void StandInWorker::Die() {
  ForgetAll();
  Shut();
}

bool StandInWorker::Rise(std::uint16_t port) {
  try {
    Listen(port);
  } catch (const std::system_error&) {  // somebody's own connection has the port just now
    return false;
  }
  draining_ = false;
  down_until_ = 0;
  StartCold();
  return true;
}

void StandInWorker::Take(ConnId conn, http::MessageRef request) {
  Taken taken;
  taken.at = loop_.Now();
  taken.id = std::string(request->Find("Request-Id").value_or(""));
  taken.worker = name_;
  taken.sender = From(conn, sender_);
  taken.attempt = ledger_.attempts[taken.id]++;
  auto hint = request->Find("Rig-Work").value_or("5000");
  std::from_chars(hint.data(), hint.data() + hint.size(), taken.work);
  taken.once = request->Find("Request-Class").value_or("") == "pay";
  taken.cold = Cold();
  if (taken.cold) {
    taken.started = started_;
    taken.bears = cold_.tip_multiple * Capacity() * static_cast<double>(cold_.fall);
  }
  ledger_.taken.push_back(taken);
  std::uint64_t epoch = epoch_;
  TipIfTooMuch(taken.work);
  if (epoch != epoch_) return;
  bool full = queue_.size() >= kQueue;
  if (draining_ || full || taken.at < down_until_) {
    return Answer(conn, Response(503, "", "Not-Started: 1\r\n"));
  }
  ledger_.taken.back().ran = true;
  Waiting one{conn, taken.id, taken.work};
  if (running_ >= static_cast<int>(size_)) {
    queue_.push_back(std::move(one));
  } else {
    Run(std::move(one));
  }
}

void StandInWorker::Run(Waiting one) {
  ++running_;
  Micros takes = static_cast<Micros>(static_cast<double>(one.work) * size_ / std::max(1.0, Capacity()));
  loop_.ScheduleAt(loop_.Now() + takes, [this, one = std::move(one), epoch = epoch_] {
    if (epoch != epoch_) return;
    --running_;
    Answer(one.conn, Response(200, one.id));
    if (queue_.empty()) return;
    Waiting next = std::move(queue_.front());
    queue_.pop_front();
    Run(std::move(next));
  });
}

// ---- Discovery ----

void StandInDiscovery::Set(const std::string& who, Mode mode) {
  if (mode == Mode::kStale) stale_[who] = {version_, list_(who)};
  modes_[who] = mode;
  if (mode != Mode::kFine) return;
  // Those who watch hear at once what they missed.
  for (auto it = watchers_.begin(); it != watchers_.end();) {
    auto [conn, watcher] = *it++;
    if (watcher.who == who) Tell(conn, who, watcher.after);
  }
}

void StandInDiscovery::Changed() {
  ++version_;
  for (auto it = watchers_.begin(); it != watchers_.end();) {
    auto [conn, watcher] = *it++;
    if (modes_[watcher.who] == Mode::kFine) Tell(conn, watcher.who, watcher.after);
  }
}

void StandInDiscovery::Tell(ConnId conn, const std::string& who, std::uint64_t after) {
  auto it = watchers_.find(conn);
  if (it != watchers_.end()) {
    loop_.Cancel(it->second.timer);
    watchers_.erase(it);
  }
  bool stale = modes_[who] == Mode::kStale;
  std::uint64_t version = stale ? stale_[who].first : version_;
  if (changes_ && !stale && after != 0) {
    if (auto changes = changes_(after)) {
      return Answer(conn, Response(200, "{\"rev\":" + std::to_string(version) +
                                            ",\"all\":false,\"targets\":[" + *changes + "]}"));
    }
  }
  std::string body = "{\"rev\":" + std::to_string(version) + ",\"all\":true,\"targets\":[" +
                     (stale ? stale_[who].second : list_(who)) + "]}";
  Answer(conn, Response(200, body));
}

void StandInDiscovery::Gone(ConnId conn) {
  auto it = watchers_.find(conn);
  if (it == watchers_.end()) return;
  loop_.Cancel(it->second.timer);
  watchers_.erase(it);
}

void StandInDiscovery::Take(ConnId conn, http::MessageRef request) {
  ++calls_;
  std::string who = From(conn, sender_);
  if (who.empty())
    return Answer(conn, Response(503, ""));  // whose list, nobody knows: better none than an empty one
  Mode mode = modes_[who];
  if (mode == Mode::kSilent) return;
  if (mode == Mode::kDown) return Answer(conn, Response(503, ""));
  std::string_view target = request->target();
  auto after = static_cast<std::uint64_t>(NumberIn(target, "after="));
  Micros wait = std::min<Micros>(NumberIn(target, "wait_ms="), 60'000) * 1000;
  std::uint64_t version = mode == Mode::kStale ? stale_[who].first : version_;
  if (holds_ && after != 0) holds_(after);
  if (after < version || (wait == 0 && (!changes_ || after == 0))) return Tell(conn, who, after);
  if (wait == 0)
    return Answer(conn,
                  Response(200, "{\"rev\":" + std::to_string(version) + ",\"all\":false,\"targets\":[]}"));
  Watcher watcher{who, after, {0, 0}};
  watcher.timer = loop_.ScheduleAt(loop_.Now() + wait, [this, conn, who] {
    watchers_.erase(conn);
    Answer(conn, Response(200, "{\"rev\":" + std::to_string(version_) + ",\"all\":false,\"targets\":[]}"));
  });
  watchers_[conn] = watcher;
}

// ---- Clients ----

struct Clients::Call final : StreamSocket::Callbacks {
  Call(Clients& c, std::uint64_t n, std::size_t e)
      : clients(c), id(n), entry(e), socket(c.loop_, *this), timer(c.loop_) {}
  std::span<char> ReceiveBuffer() override { return parser.ReceiveBuffer(); }
  void OnReceived(std::size_t n) override {
    parser.Commit(n);
    if (parser.bad()) return clients.End(id, Fared::kLost);
    if (!parser.done()) return;
    int status = parser.TakeMessage()->status();
    clients.End(id, status == 200                    ? Fared::kServed
                    : status == 429 || status == 503 ? Fared::kRefused
                                                     : Fared::kFailed);
  }
  void OnConnected() override { connected = true; }
  void OnClosed(StreamEnd) override { clients.End(id, connected ? Fared::kLost : Fared::kUnreachable); }

  Clients& clients;
  std::uint64_t id;
  std::size_t entry;  // in the ledger
  StreamSocket socket;
  Timer timer;
  http::Parser parser{http::Parser::Kind::kResponse};
  bool connected = false;
};

Clients::Clients(EventLoop& loop, Ledger& ledger, std::string to, double per_second, double work_ms,
                 bool hints, std::uint64_t seed)
    : loop_(loop),
      ledger_(ledger),
      to_(std::move(to)),
      per_second_(per_second),
      work_ms_(work_ms),
      hints_(hints),
      random_(seed),
      next_(loop) {}

Clients::~Clients() = default;

void Clients::Start(const Endpoint& where) {
  where_ = where;
  if (running_ || per_second_ <= 0) return;
  running_ = true;
  due_ = loop_.Now();
  Next();
}

void Clients::Stop() {
  running_ = false;
  next_.Clear();
}

void Clients::Next() {
  due_ += static_cast<Micros>(std::exponential_distribution<double>(times_ * per_second_ / 1e6)(random_));
  next_.Set(std::max<Micros>(0, due_ - loop_.Now()), [this] {
    Begin();
    Next();
  });
}

void Clients::Begin() {
  std::uint64_t id = ++ids_;
  char name[24];
  std::snprintf(name, sizeof name, "%016llx", static_cast<unsigned long long>(random_()));
  auto work =
      static_cast<Micros>(1000 * std::clamp(std::exponential_distribution<double>(1 / work_ms_)(random_),
                                            work_ms_ / 10, work_ms_ * 6));
  double kind = std::uniform_real_distribution<double>(0, 1)(random_);
  std::string text = kind < 0.7 ? "GET" : "POST";
  text += " /api?k=1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\nRequest-Id: " + std::string(name) +
          "\r\nRequest-Class: ";
  text += kind < 0.7 ? "check" : kind < 0.85 ? "pay" : "open";
  text += "\r\nRequest-Timeout: 5000m\r\nRig-Work: " + std::to_string(work) + "\r\n";
  if (hints_) text += "Work-Hint: " + std::to_string(work) + "\r\n";
  if (kind >= 0.85) text += "Idempotency-Key: " + std::string(name) + std::string(name) + "\r\n";
  if (kind >= 0.7) text += "Content-Length: 0\r\n";
  ledger_.called.push_back({loop_.Now(), to_, Fared::kOpen, 0});
  auto call = std::make_unique<Call>(*this, id, ledger_.called.size() - 1);
  Call& begun = *call;
  calls_[id] = std::move(call);
  begun.timer.Set(kPatience, [this, id] { End(id, Fared::kLost); });
  if (begun.socket.Connect(where_) != ConnectStart::kStarted) return End(id, Fared::kUnreachable);
  begun.socket.output().AppendOwned(text + "\r\n");
}

void Clients::End(std::uint64_t id, Fared fared) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Called& called = ledger_.called[it->second->entry];
  called.fared = fared;
  called.took = loop_.Now() - called.at;
  auto owned = std::move(it->second);
  calls_.erase(it);
  owned->timer.Clear();
  owned->socket.Close();
  loop_.DeferDelete(std::move(owned));
}

// ---- Asking a console ----

struct Questions::Question final : StreamSocket::Callbacks {
  Question(Questions& q, std::uint64_t i, std::function<void(int, std::string)> d)
      : questions(q), id(i), done(std::move(d)), socket(q.loop_, *this), timer(q.loop_) {}
  std::span<char> ReceiveBuffer() override { return parser.ReceiveBuffer(); }
  void OnReceived(std::size_t n) override {
    parser.Commit(n);
    if (parser.bad()) return questions.End(id, 0, {});
    if (!parser.done()) return;
    auto answer = parser.TakeMessage();
    questions.End(id, answer->status(), std::string(answer->body()));
  }
  void OnClosed(StreamEnd) override { questions.End(id, 0, {}); }
  Questions& questions;
  std::uint64_t id;
  std::function<void(int, std::string)> done;
  StreamSocket socket;
  Timer timer;
  http::Parser parser{http::Parser::Kind::kResponse, http::kMaxEndpointListSize};
};

Questions::Questions(EventLoop& loop) : loop_(loop) {}
Questions::~Questions() = default;

void Questions::Put(const Endpoint& where, const std::string& method, const std::string& target,
                    Micros patience, std::function<void(int, std::string)> done) {
  std::uint64_t id = ++ids_;
  Question& question = *(open_[id] = std::make_unique<Question>(*this, id, std::move(done)));
  question.timer.Set(patience, [this, id] { End(id, 0, {}); });
  if (question.socket.Connect(where) != ConnectStart::kStarted) return End(id, 0, {});
  question.socket.output().AppendOwned(method + " " + target +
                                       " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
}

void Questions::End(std::uint64_t id, int status, std::string body) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  auto owned = std::move(it->second);
  open_.erase(it);
  owned->timer.Clear();
  owned->socket.Close();
  auto done = std::move(owned->done);
  loop_.DeferDelete(std::move(owned));
  done(status, std::move(body));
}

}  // namespace dappletiller::rig
