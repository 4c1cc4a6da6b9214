// The wire codec, against bytes written by hand from the protocol's description.
#include "simulator_adapter/wire_codec.hpp"

#include <gtest/gtest.h>

#include <string>

namespace dappletiller::balancer::wire {
namespace {

std::string Bytes(const std::string& hex) {
  std::string out;
  std::string digits;
  for (char c : hex) {
    if (c != ' ' && c != '\n') digits.push_back(c);
  }
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    out.push_back(static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16)));
  }
  return out;
}

std::string Le(std::uint64_t value, int width) {
  std::string out;
  for (int i = 0; i < width; ++i) out.push_back(static_cast<char>(value >> (8 * i)));
  return out;
}

Header HeaderFor(const std::string& body, std::uint32_t records) {
  Header h;
  h.length = static_cast<std::uint32_t>(body.size());
  h.records = records;
  return h;
}

const char kSettings[] =
    "balancers=4\nzones=a,b\nzone=1\nclasses.count=2\n"
    "classes.0.aim=1000\nclasses.0.giveUp=4000\nclasses.0.effect=free\nclasses.0.worth=5.0\n"
    "classes.1.aim=2000\nclasses.1.giveUp=6000\nclasses.1.effect=guarded\nclasses.1.group=zone\n"
    "classes.1.window=4000000\nclasses.1.lateWorth=0.25\n"
    "registryMode=ask\ninvariants.askEvery=10000000\ninvariants.cold=23000000\ninvariants.fall=1000000\n"
    "invariants.startCapacity=0.13\ninvariants.tipMultiple=4.0\nlimits.maxAttempts=3\n"
    "limits.secondCopies=true\nlimits.mayCancel=true\nlimits.retryAfter=true\nlimits.maxRetryAfter=2000000\n"
    "tick=5000\ncosts.crossZone=0.03\ncountedBy=work\nreport.source=inline\nreport.columns=mean_ms,"
    "concurrent\n"
    "tenants.count=1\ntenants.0.portion=0.37\ntenants.0.quotaRps=38.0\nsome.new.thing=yes,no\n";

TEST(WireDecoding, ExampleBatch) {
  std::string body = Bytes(
      "18 0300"
      "11 c4913a5da92d0600 0000 0000 640ad2557c3bf091 da05840000000000 e02e0000 01"
      "16 4d00000000000000"
      "18 0500"
      "17 192b6f0e453e0c00");
  Header h = DecodeHeader(Bytes("5a5c800000000000 3a000000 05000000 0c000000"));
  EXPECT_EQ(h.clock, 0x805c5a);
  EXPECT_EQ(h.length, body.size());
  EXPECT_EQ(h.batch, 12u);
  std::vector<Record> records = DecodeBody(h, body);
  ASSERT_EQ(records.size(), 3u);
  EXPECT_EQ(records[0].instance, 3);
  const auto& arrival = std::get<RequestArrived>(std::get<Event>(records[0].what));
  EXPECT_EQ(arrival.id, 0x00062da95d3a91c4u);
  EXPECT_EQ(arrival.deadline, 0x8405da);
  EXPECT_EQ(arrival.work_hint, 12000);
  EXPECT_TRUE(arrival.has_hint);
  EXPECT_FALSE(arrival.client_retry);
  EXPECT_TRUE(std::holds_alternative<TimerFired>(std::get<Event>(records[1].what)));
  EXPECT_EQ(records[2].instance, 5);
  EXPECT_EQ(std::get<ClientDisconnected>(std::get<Event>(records[2].what)).id, 0x000c3e450e6f2b19u);
}

TEST(WireDecoding, ExampleList) {
  std::string body = Bytes(
      "18 0300 12 02 2900000000000000 02000000"
      "074a1203 00 00 0000 01 0000803f 0000000000000000"
      "f211902c 01 00 0000 01 0000c03f 20145d0000000000");
  auto records = DecodeBody(HeaderFor(body, 2), body);
  ASSERT_EQ(records.size(), 1u);
  const auto& list = std::get<EndpointListUpdate>(std::get<Event>(records[0].what));
  EXPECT_EQ(list.kind, EndpointListUpdate::Kind::kCached);
  ASSERT_EQ(list.entries.size(), 2u);
  EXPECT_EQ(list.entries[0].id, 0x03124a07u);
  EXPECT_EQ(list.entries[1].zone, 1);
  EXPECT_EQ(list.entries[1].state, ServerState::kReady);
  EXPECT_DOUBLE_EQ(list.entries[1].concurrency, 1.5);
  EXPECT_EQ(list.entries[1].started_at, 0x5d1420);
}

TEST(WireDecoding, ExampleOutcome) {
  std::string body = Bytes("18 0300 1a c4913a5da92d0600 0000 074a1203 0000 44480000 01 00");
  auto records = DecodeBody(HeaderFor(body, 2), body);
  const auto& end = std::get<AttemptEnded>(std::get<Event>(records[0].what));
  EXPECT_EQ(end.outcome, Outcome::kServed);
  EXPECT_EQ(end.latency, 18500);
  EXPECT_TRUE(end.request_finished);
  EXPECT_TRUE(end.report.empty());
}

std::string EveryRecord() {
  std::string s = kSettings;
  return Bytes("18 0300") + Bytes("13 0700000000000000") + Le(s.size(), 4) + s +  // BORN
         Bytes("12 00 2900000000000000 01000000 074a1203 00 00 0000 02 0000803f 0000000000000000") +
         Bytes("11 c4913a5da92d0600 0000 0000 640ad2557c3bf091 da05840000000000 e02e0000 03") +
         Bytes("17 192b6f0e453e0c00") +
         Bytes("1a c4913a5da92d0600 0100 074a1203 6e00 44480000 00 01 0000803f") +
         Bytes("10 0200 0300 616263") + Bytes("16 4d00000000000000") +
         Bytes("14 074a1203 0000 44480000 02 0000803f 0000803f") +
         Bytes("15 c4913a5da92d0600 44480000 074a1203 0200") + Bytes("19");
}
constexpr std::uint32_t kEveryCount = 11;

TEST(WireDecoding, EveryEventIsDecoded) {
  std::string body = EveryRecord();
  auto records = DecodeBody(HeaderFor(body, kEveryCount), body);
  ASSERT_EQ(records.size(), 10u);
  EXPECT_TRUE(std::holds_alternative<InstanceStarted>(records[0].what));
  EXPECT_TRUE(std::get<RequestArrived>(std::get<Event>(records[2].what)).client_retry);
  const auto& end = std::get<AttemptEnded>(std::get<Event>(records[4].what));
  EXPECT_EQ(end.outcome, Outcome::kTimeout);
  EXPECT_EQ(end.report, std::vector<float>{1.0f});
  EXPECT_EQ(std::get<StreamStarted>(std::get<Event>(records[8].what)).attempt, 2);
  EXPECT_TRUE(std::holds_alternative<InstanceStopped>(records[9].what));
}

TEST(WireDecoding, TruncationAtEveryOffsetIsAnError) {
  std::string body = EveryRecord();
  for (std::size_t n = 0; n < body.size(); ++n) {
    std::string cut = body.substr(0, n);
    EXPECT_THROW(DecodeBody(HeaderFor(cut, kEveryCount), cut), Error) << "cut at " << n;
  }
  for (std::size_t n = 0; n < kHeaderSize; ++n) {
    EXPECT_THROW(DecodeHeader(std::string(n, '\0')), Error);
  }
}

TEST(WireDecoding, AnyChangedByteIsDecodedOrRejected) {
  std::string body = EveryRecord();
  for (std::size_t i = 0; i < body.size(); ++i) {
    for (int flip : {0x01, 0x80, 0xff}) {
      std::string bad = body;
      bad[i] = static_cast<char>(bad[i] ^ flip);
      try {
        DecodeBody(HeaderFor(bad, kEveryCount), bad);
      } catch (const Error&) {
      }
    }
  }
}

TEST(WireDecoding, MalformedInputIsAnError) {
  auto expect_error = [](const std::string& body, std::uint32_t records) {
    EXPECT_THROW(DecodeBody(HeaderFor(body, records), body), Error) << body.size();
  };
  expect_error(Bytes("16 4d00000000000000"), 1);                      // no ON
  expect_error(Bytes("18 0300 63"), 2);                               // unknown code
  expect_error(Bytes("18 0300 19 00"), 2);                            // data after the last record
  expect_error(Bytes("18 0300"), 0xffffffff);                         // impossible count
  expect_error(Bytes("18 0300 12 07 2900000000000000 00000000"), 2);  // list kind
  expect_error(Bytes("18 0300 12 00 2900000000000000 ffffffff"), 2);  // entry count
  expect_error(
      Bytes("18 0300 12 00 0000000000000000 01000000 074a1203 00 00 0000 03 0000803f 0000000000000000"), 2);
  expect_error(
      Bytes("18 0300 12 00 0000000000000000 01000000 074a1203 00 00 0000 01 0000c07f 0000000000000000"), 2);
  expect_error(Bytes("18 0300 1a c4913a5da92d0600 0000 074a1203 0700 44480000 01 00"), 2);  // disposition
  expect_error(Bytes("18 0300 13 0700000000000000 ffffffff 61"), 2);  // settings' length
  EXPECT_THROW(DecodeHeader(Bytes("ffffffffffffffff 00000000 00000000 01000000")), Error);
}

TEST(WireSettings, AreParsedAndUnknownOnesSkipped) {
  Settings s = ParseSettings(kSettings, 9);
  EXPECT_EQ(s.seed, 9u);
  EXPECT_EQ(s.proxies, 4);
  EXPECT_EQ(s.zones, 2);
  EXPECT_EQ(s.zone, 1);
  ASSERT_EQ(s.classes.size(), 2u);
  EXPECT_EQ(s.classes[0].effect, Effect::kSafe);
  EXPECT_EQ(s.classes[1].effect, Effect::kKeyed);
  EXPECT_EQ(s.classes[1].key_scope, KeyScope::kSameZone);
  EXPECT_EQ(s.classes[1].key_lifetime, 4000000);
  EXPECT_DOUBLE_EQ(s.classes[1].late_weight, 0.25);
  EXPECT_TRUE(s.endpoints_on_request);
  EXPECT_TRUE(s.weight_per_work);
  EXPECT_DOUBLE_EQ(s.initial_capacity, 0.13);
  EXPECT_EQ(s.report_service_ms, 0);
  EXPECT_EQ(s.report_in_flight, 1);
  EXPECT_EQ(s.report_queue, -1);
  ASSERT_EQ(s.tenants.size(), 1u);
  EXPECT_DOUBLE_EQ(s.tenants[0].quota_per_s, 38);
}

std::string Without(const std::string& line_start) {
  std::string s = kSettings;
  std::size_t at = s.find(line_start);
  s.erase(at, s.find('\n', at) + 1 - at);
  return s;
}

TEST(WireSettings, MissingRequiredSettingsAreErrors) {
  for (const char* path : {"balancers",
                           "zones",
                           "zone=",
                           "classes.count",
                           "classes.0.aim",
                           "classes.1.giveUp",
                           "classes.1.effect",
                           "classes.1.window",
                           "classes.1.group",
                           "registryMode",
                           "invariants.askEvery",
                           "invariants.cold",
                           "invariants.fall",
                           "invariants.startCapacity",
                           "invariants.tipMultiple",
                           "limits.maxAttempts",
                           "limits.mayCancel",
                           "tick",
                           "report.columns",
                           "tenants.0.portion"}) {
    EXPECT_THROW(ParseSettings(Without(path), 1), Error) << path;
  }
  for (const char* path : {"costs.crossZone", "limits.retryAfter", "classes.0.worth", "tenants.count",
                           "report.source", "countedBy", "classes.1.lateWorth"}) {
    EXPECT_NO_THROW(ParseSettings(Without(path), 1)) << path;
  }
}

TEST(WireSettings, InvalidSettingsAreErrors) {
  for (const char* line :
       {"balancers=many", "balancers=0", "balancers=-1", "balancers=2.5", "zone=2", "classes.count=0",
        "classes.count=4000000000", "classes.0.aim=", "classes.0.aim=nan", "classes.0.aim=1e300",
        "classes.0.effect=odd", "classes.1.group=street", "registryMode=guess", "limits.mayCancel=maybe",
        "limits.maxAttempts=0", "countedBy=luck", "no equals sign"}) {
    EXPECT_THROW(ParseSettings(std::string(kSettings) + line + "\n", 1), Error) << line;
  }
}

TEST(WireEncoding, ExampleReply) {
  Reply reply;
  reply.Add(3, Send{0x00062da95d3a91c4, 0x03124a07, 80000});
  reply.Add(3, WakeAfter{500000});
  reply.Add(5, Log{"two servers known"});
  std::string expected = Bytes(
      "1c 0300 10 c4913a5da92d0600 80380100 074a1203"
      "14 20a10700 0000000000000000"
      "1c 0500 18 1100 74776f2073657276657273206b6e6f776e");
  EXPECT_EQ(reply.Finish(12), Le(expected.size(), 4) + Le(12, 4) + expected);
}

TEST(WireEncoding, EveryAction) {
  Reply reply;
  reply.Add(1, Reject{7, 1000});
  reply.Add(1, Fail{8});
  reply.Add(1, Cancel{9, 2});
  reply.Add(1, Watch{});
  reply.Add(1, FetchList{});
  std::string expected =
      Bytes("1c 0100 11 0700000000000000 e8030000 12 0800000000000000 13 0900000000000000 0200 1a 01 1b");
  EXPECT_EQ(reply.Finish(1), Le(expected.size(), 4) + Le(1, 4) + expected);
}

TEST(WireEncoding, EmptyReply) { EXPECT_EQ(Reply().Finish(1), Bytes("0000000001000000")); }

}  // namespace
}  // namespace dappletiller::balancer::wire
