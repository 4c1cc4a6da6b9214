#include "simulator_adapter/wire_codec.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace dappletiller::balancer::wire {
namespace {

enum EventCode : std::uint8_t {
  kPeerMessage = 16,
  kArrival = 17,
  kEndpointList = 18,
  kInstanceStarted = 19,
  kProbeResult = 20,
  kStreamStarted = 21,
  kTimerFired = 22,
  kClientDisconnected = 23,
  kSelectInstance = 24,
  kInstanceStopped = 25,
  kAttemptEnded = 26
};

enum ActionCode : std::uint8_t {
  kSend = 16,
  kReject = 17,
  kFail = 18,
  kCancel = 19,
  kWakeAfter = 20,
  kLog = 24,
  kWatch = 26,
  kFetchList = 27,
  kFromInstance = 28
};

constexpr std::size_t kEntrySize = 21;
// Parsing a settings file takes about 0.9 kB of memory per tenant (docs/data/change-cost-before.json), so
// this limit is 240 MB, already more than a proxy may use. Larger numbers of tenants are for the
// configuration feed (docs/feed.md).
constexpr int kMaxTenants = 262'144;
constexpr std::uint64_t kMaxTime = std::uint64_t{1} << 62;  // later times could overflow in additions

// Reads little-endian fields from a buffer; throws Error instead of reading past its end.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : remaining_(bytes) {}

  template <typename T>
  T Get(const char* field) {
    std::string_view raw = Take(sizeof(T), field);
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) {
      value |= static_cast<std::uint64_t>(static_cast<unsigned char>(raw[i])) << (8 * i);
    }
    return static_cast<T>(value);
  }

  float GetFloat(const char* field) {
    auto bits = Get<std::uint32_t>(field);
    float value;
    std::memcpy(&value, &bits, sizeof value);
    return value;
  }

  Micros GetTime(const char* field) {
    auto value = Get<std::uint64_t>(field);
    if (value > kMaxTime) throw Error(std::string(field) + " is out of range");
    return static_cast<Micros>(value);
  }

  std::string_view Take(std::size_t n, const char* field) {
    if (n > remaining_.size()) throw Error(std::string("data ends within ") + field);
    std::string_view taken = remaining_.substr(0, n);
    remaining_.remove_prefix(n);
    return taken;
  }

  std::size_t remaining() const { return remaining_.size(); }

 private:
  std::string_view remaining_;
};

template <typename T>
void Put(std::string* out, T value) {
  auto bits = static_cast<std::uint64_t>(value);
  for (std::size_t i = 0; i < sizeof(T); ++i) out->push_back(static_cast<char>(bits >> (8 * i)));
}

std::uint32_t EncodeSpan(Micros span) {
  return static_cast<std::uint32_t>(std::clamp<Micros>(span, 0, std::numeric_limits<std::int32_t>::max()));
}

Outcome DecodeOutcome(std::uint16_t code) {
  switch (code) {
    case 0:
      return Outcome::kServed;
    case 5:
      return Outcome::kError;
    case 11:
      return Outcome::kRejected;
    case 110:
      return Outcome::kTimeout;
    case 111:
      return Outcome::kConnectFailed;
    case 104:
      return Outcome::kReset;
    case 125:
      return Outcome::kCancelled;
    case 114:
      return Outcome::kNotSent;
    default:
      throw Error("unknown disposition " + std::to_string(code));
  }
}

std::vector<float> DecodeReport(Reader& in) {
  auto n = in.Get<std::uint8_t>("healthInfo");
  std::vector<float> report;
  report.reserve(n);
  for (int i = 0; i < n; ++i) report.push_back(in.GetFloat("healthInfo"));
  return report;
}

Event DecodeList(Reader& in) {
  EndpointListUpdate update;
  auto how = in.Get<std::uint8_t>("how");
  if (how > 3) throw Error("unknown list kind " + std::to_string(how));
  update.kind = static_cast<EndpointListUpdate::Kind>(how);
  in.Get<std::uint64_t>("gen");
  auto n = in.Get<std::uint32_t>("items");
  if (n > in.remaining() / kEntrySize) throw Error("PEERS_KNOWN counts more entries than the batch contains");
  update.entries.reserve(n);
  for (std::uint32_t i = 0; i < n; ++i) {
    ServerEntry e;
    e.id = in.Get<std::uint32_t>("host");
    e.zone = in.Get<std::uint8_t>("zone");
    e.kind = in.Get<std::uint8_t>("sku");
    e.cell = in.Get<std::uint16_t>("unitGroup");
    auto state = in.Get<std::uint8_t>("readiness");
    if (state > 2) throw Error("unknown readiness " + std::to_string(state));
    e.state = static_cast<ServerState>(state);
    e.concurrency = in.GetFloat("nominal");
    if (!std::isfinite(e.concurrency) || e.concurrency < 0) throw Error("nominal is not a size");
    e.started_at = in.GetTime("readyAt");
    update.entries.push_back(e);
  }
  return update;
}

Event DecodeArrival(Reader& in) {
  RequestArrived e;
  e.id = in.Get<std::uint64_t>("ticket");
  e.request_class = in.Get<std::uint16_t>("class");
  e.tenant = in.Get<std::uint16_t>("customer");
  in.Get<std::uint64_t>("affinity");
  e.deadline = in.GetTime("clientDeadline");
  e.work_hint = in.Get<std::uint32_t>("workHint");
  auto bits = in.Get<std::uint8_t>("stateBits");
  e.has_hint = (bits & 1) != 0;
  e.client_retry = (bits & 2) != 0;
  return e;
}

Event DecodeAttemptEnded(Reader& in) {
  AttemptEnded e;
  e.id = in.Get<std::uint64_t>("ticket");
  e.attempt = in.Get<std::uint16_t>("n");
  in.Get<std::uint32_t>("host");
  e.outcome = DecodeOutcome(in.Get<std::uint16_t>("disposition"));
  e.latency = in.Get<std::uint32_t>("delaySeen");
  e.request_finished = in.Get<std::uint8_t>("final") != 0;
  e.report = DecodeReport(in);
  return e;
}

Event DecodeStreamStarted(Reader& in) {
  StreamStarted e;
  e.id = in.Get<std::uint64_t>("ticket");
  in.Get<std::uint32_t>("delaySeen");
  in.Get<std::uint32_t>("host");
  e.attempt = in.Get<std::uint16_t>("n");
  return e;
}

std::variant<InstanceStarted, InstanceStopped, IgnoredEvent, Event> DecodeRecord(std::uint8_t code,
                                                                                 Reader& in) {
  switch (code) {
    case kInstanceStarted: {
      auto seed = in.Get<std::uint64_t>("nonce64");
      auto n = in.Get<std::uint32_t>("bootInfo");
      return InstanceStarted{ParseSettings(in.Take(n, "bootInfo"), seed)};
    }
    case kInstanceStopped:
      return InstanceStopped{};
    case kEndpointList:
      return DecodeList(in);
    case kArrival:
      return DecodeArrival(in);
    case kAttemptEnded:
      return DecodeAttemptEnded(in);
    case kStreamStarted:
      return DecodeStreamStarted(in);
    case kClientDisconnected:
      return Event{ClientDisconnected{in.Get<std::uint64_t>("ticket")}};
    case kTimerFired:
      in.Get<std::uint64_t>("ctx");
      return Event{TimerFired{}};
    case kPeerMessage: {
      in.Get<std::uint16_t>("who");
      auto n = in.Get<std::uint16_t>("msg");
      in.Take(n, "msg");
      return IgnoredEvent{};
    }
    case kProbeResult:
      in.Get<std::uint32_t>("host");
      DecodeOutcome(in.Get<std::uint16_t>("disposition"));
      in.Get<std::uint32_t>("delaySeen");
      DecodeReport(in);
      return IgnoredEvent{};
    default:
      throw Error("unknown event code " + std::to_string(code));
  }
}

// Settings by path.
class SettingsText {
 public:
  explicit SettingsText(std::string_view text) {
    while (!text.empty()) {
      std::size_t end = std::min(text.find('\n'), text.size());
      std::string_view line = text.substr(0, end);
      text.remove_prefix(std::min(end + 1, text.size()));
      if (line.empty()) continue;
      std::size_t split = line.find('=');
      if (split == std::string_view::npos)
        throw Error("setting without '=': " + std::string(line.substr(0, 80)));
      values_[std::string(line.substr(0, split))] = line.substr(split + 1);
    }
  }

  std::optional<std::string_view> Find(const std::string& path) const {
    auto it = values_.find(path);
    if (it == values_.end()) return std::nullopt;
    return it->second;
  }

  std::string_view Text(const std::string& path) const {
    auto found = Find(path);
    if (!found) throw Error("setting " + path + " is missing");
    return *found;
  }

  double Number(const std::string& path, std::optional<double> default_value = std::nullopt) const {
    if (default_value && !Find(path)) return *default_value;
    std::string_view text = Text(path);
    double value = 0;
    auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failed != std::errc() || end != text.data() + text.size() || !std::isfinite(value) || value < 0) {
      throw Error("setting " + path + " is not a number: " + std::string(text.substr(0, 80)));
    }
    return value;
  }

  Micros Time(const std::string& path, std::optional<double> default_value = std::nullopt) const {
    double value = Number(path, default_value);
    if (value > 1e15) throw Error("setting " + path + " is out of range");
    return static_cast<Micros>(value);
  }

  int Count(const std::string& path, int max, std::optional<double> default_value = std::nullopt) const {
    double value = Number(path, default_value);
    if (value > max || value != std::floor(value)) throw Error("setting " + path + " is out of range");
    return static_cast<int>(value);
  }

  bool Flag(const std::string& path, std::optional<bool> default_value = std::nullopt) const {
    if (default_value && !Find(path)) return *default_value;
    std::string_view text = Text(path);
    if (text != "true" && text != "false") throw Error("setting " + path + " is neither true nor false");
    return text == "true";
  }

 private:
  std::map<std::string, std::string_view> values_;
};

ClassSettings ParseClass(const SettingsText& settings, const std::string& at) {
  ClassSettings c;
  c.latency_objective = settings.Time(at + "aim");
  c.objective_per_work = settings.Number(at + "aimStretch", 0);
  c.client_timeout = settings.Time(at + "giveUp");
  c.weight = settings.Number(at + "worth", 1);
  c.late_weight = settings.Number(at + "lateWorth", 0);
  c.streaming = settings.Flag(at + "stream", false);
  std::string_view effect = settings.Text(at + "effect");
  if (effect == "free") {
    c.effect = Effect::kSafe;
  } else if (effect == "guarded") {
    c.effect = Effect::kKeyed;
    c.key_lifetime = settings.Time(at + "window");
    std::string_view group = settings.Text(at + "group");
    if (group == "all") {
      c.key_scope = KeyScope::kAllServers;
    } else if (group == "zone") {
      c.key_scope = KeyScope::kSameZone;
    } else if (group == "cell") {
      c.key_scope = KeyScope::kSameCell;
    } else {
      throw Error("setting " + at + "group is unknown: " + std::string(group.substr(0, 80)));
    }
  } else if (effect == "single_shot") {
    c.effect = Effect::kUnsafe;
  } else {
    throw Error("setting " + at + "effect is unknown: " + std::string(effect.substr(0, 80)));
  }
  return c;
}

int ListLength(std::string_view text) {
  return text.empty() ? 0 : 1 + static_cast<int>(std::count(text.begin(), text.end(), ','));
}

int IndexOf(std::string_view list, std::string_view name) {
  for (int i = 0; !list.empty(); ++i) {
    std::size_t end = std::min(list.find(','), list.size());
    if (list.substr(0, end) == name) return i;
    list.remove_prefix(std::min(end + 1, list.size()));
  }
  return -1;
}

}  // namespace

Header DecodeHeader(std::string_view bytes) {
  Reader in(bytes);
  // The batch number is last, but an error in the clock should include it.
  Header header;
  auto clock = in.Get<std::uint64_t>("the header");
  header.length = in.Get<std::uint32_t>("the header");
  header.records = in.Get<std::uint32_t>("the header");
  header.batch = in.Get<std::uint32_t>("the header");
  if (clock > kMaxTime) throw Error("batch " + std::to_string(header.batch) + ": the clock is out of range");
  header.clock = static_cast<Micros>(clock);
  return header;
}

std::vector<Record> DecodeBody(const Header& header, std::string_view body) {
  if (header.records > body.size()) throw Error("the header counts more records than the batch has bytes");
  Reader in(body);
  std::vector<Record> records;
  int instance = -1;
  for (std::uint32_t i = 0; i < header.records; ++i) {
    auto code = in.Get<std::uint8_t>("a record's code");
    if (code == kSelectInstance) {
      instance = in.Get<std::uint16_t>("ON");
      continue;
    }
    if (instance < 0) throw Error("an event precedes the first ON");
    records.push_back({static_cast<std::uint16_t>(instance), DecodeRecord(code, in)});
  }
  if (in.remaining() > 0) throw Error("the batch has data after its last record");
  return records;
}

Settings ParseSettings(std::string_view text, std::uint64_t seed) {
  SettingsText settings(text);
  Settings s;
  s.seed = seed;
  s.proxies = settings.Count("balancers", 65536);
  if (s.proxies < 1) throw Error("setting balancers is out of range");
  s.zones = ListLength(settings.Text("zones"));
  s.zone = settings.Count("zone", 255);
  if (s.zone >= s.zones) throw Error("setting zone is out of range");
  int classes = settings.Count("classes.count", 65536);
  if (classes < 1) throw Error("setting classes.count is out of range");
  for (int i = 0; i < classes; ++i) {
    s.classes.push_back(ParseClass(settings, "classes." + std::to_string(i) + "."));
    if (s.classes.back().latency_objective <= 0 || s.classes.back().client_timeout <= 0) {
      throw Error("class " + std::to_string(i) + " has no aim or no giveUp");
    }
  }
  int tenants = settings.Count("tenants.count", kMaxTenants, 0);
  for (int i = 0; i < tenants; ++i) {
    std::string at = "tenants." + std::to_string(i) + ".";
    s.tenants.push_back({settings.Number(at + "portion"), settings.Number(at + "quotaRps")});
  }
  s.over_quota_weight = settings.Number("overShareWorth", 1);
  std::string_view counted = settings.Find("countedBy").value_or("request");
  if (counted != "work" && counted != "request") throw Error("setting countedBy is unknown");
  s.weight_per_work = counted == "work";
  std::string_view mode = settings.Text("registryMode");
  if (mode != "ask" && mode != "push") throw Error("setting registryMode is unknown");
  s.endpoints_on_request = mode == "ask";
  s.poll_interval =
      settings.Time("invariants.askEvery", s.endpoints_on_request ? std::nullopt : std::optional<double>(0));
  s.clock_step = settings.Time("tick");
  s.initial_capacity = settings.Number("invariants.startCapacity");
  s.warmup_time = settings.Time("invariants.cold");
  s.overload_factor = settings.Number("invariants.tipMultiple");
  s.overload_window = settings.Time("invariants.fall");
  s.max_attempts = settings.Count("limits.maxAttempts", 65535);
  if (s.max_attempts < 1) throw Error("setting limits.maxAttempts is out of range");
  s.may_cancel = settings.Flag("limits.mayCancel");
  s.send_retry_after = settings.Flag("limits.retryAfter", false);
  s.max_retry_after = settings.Time("limits.maxRetryAfter", 0);
  s.cross_zone_cost = settings.Number("costs.crossZone", 0);
  if (settings.Find("report.source").value_or("off") == "inline") {
    std::string_view columns = settings.Text("report.columns");
    s.report_in_flight = IndexOf(columns, "concurrent");
    s.report_queue = IndexOf(columns, "depth");
    s.report_service_ms = IndexOf(columns, "mean_ms");
  }
  return s;
}

void Reply::Add(std::uint16_t instance, const Action& action) {
  if (instance_ != instance) {
    Put<std::uint8_t>(&body_, kFromInstance);
    Put<std::uint16_t>(&body_, instance);
    instance_ = instance;
  }
  if (const auto* send = std::get_if<Send>(&action)) {
    Put<std::uint8_t>(&body_, kSend);
    Put<std::uint64_t>(&body_, send->id);
    Put<std::uint32_t>(&body_, EncodeSpan(send->timeout));
    Put<std::uint32_t>(&body_, send->server);
  } else if (const auto* reject = std::get_if<Reject>(&action)) {
    Put<std::uint8_t>(&body_, kReject);
    Put<std::uint64_t>(&body_, reject->id);
    Put<std::uint32_t>(&body_, EncodeSpan(reject->retry_after));
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    Put<std::uint8_t>(&body_, kFail);
    Put<std::uint64_t>(&body_, fail->id);
  } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
    Put<std::uint8_t>(&body_, kCancel);
    Put<std::uint64_t>(&body_, cancel->id);
    Put<std::uint16_t>(&body_, static_cast<std::uint16_t>(cancel->attempt));
  } else if (const auto* wake = std::get_if<WakeAfter>(&action)) {
    Put<std::uint8_t>(&body_, kWakeAfter);
    Put<std::uint32_t>(&body_, EncodeSpan(wake->delay));
    Put<std::uint64_t>(&body_, 0);
  } else if (std::holds_alternative<Watch>(action)) {
    Put<std::uint8_t>(&body_, kWatch);
    Put<std::uint8_t>(&body_, 1);
  } else if (std::holds_alternative<FetchList>(action)) {
    Put<std::uint8_t>(&body_, kFetchList);
  } else if (const auto* log = std::get_if<Log>(&action)) {
    std::string_view text = std::string_view(log->text).substr(0, 65535);
    Put<std::uint8_t>(&body_, kLog);
    Put<std::uint16_t>(&body_, static_cast<std::uint16_t>(text.size()));
    body_.append(text);
  }
}

std::string Reply::Finish(std::uint32_t batch) const {
  std::string out;
  Put<std::uint32_t>(&out, static_cast<std::uint32_t>(body_.size()));
  Put<std::uint32_t>(&out, batch);
  return out + body_;
}

}  // namespace dappletiller::balancer::wire
