#include "membership/transport/status_json.hpp"

#include <json/json.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace dappletiller {
namespace {

Json::Int64 Milliseconds(Duration span) {
  return Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

const char* StateOf(const membership::Membership& membership) {
  if (membership.displaced()) return "displaced";
  return membership.is_leaving() ? "left" : "alive";
}

Json::Value SelfJson(const membership::Membership& membership) {
  const membership::MemberRecord& record = membership.self();
  Json::Value self(Json::objectValue);
  self["name"] = record.name;
  self["address"] = record.address;
  self["zone"] = record.zone;
  self["boot"] = Json::UInt64(record.boot);
  self["incarnation"] = Json::UInt64(record.incarnation);
  self["health"] = membership.health_score();
  self["state"] = StateOf(membership);
  return self;
}

Json::Value MemberJson(TimePoint now, const membership::Member& member) {
  const membership::MemberRecord& record = member.record;
  Json::Value json(Json::objectValue);
  json["name"] = record.name;
  json["state"] = std::string(membership::ToString(record.state));
  json["address"] = record.address;
  json["zone"] = record.zone;
  json["boot"] = Json::UInt64(record.boot);
  json["incarnation"] = Json::UInt64(record.incarnation);
  json["program"] = record.program;
  json["since_ms"] = Milliseconds(now - member.since);
  json["heard_ms"] = Milliseconds(now - member.last_heard);
  for (const membership::Attribute& attribute : record.attributes) {
    json["attributes"][attribute.key] = attribute.value;
  }
  return json;
}

Json::Value ReportJson(const QuotaLeaseSession::Report& report) {
  Json::Value json(Json::arrayValue);
  json.append(Json::Int64(ToMicros(report.at)));
  json.append(Json::Int64(ToMicros(report.valid_until)));
  json.append(report.share);
  return json;
}

Json::Value LeasesJson(TimePoint now, const QuotaLeaseSession& session) {
  const quota_lease::LeaseHolder& holder = session.holder();
  Json::Value json(Json::objectValue);
  json["of_whole"] = holder.Share(now);
  json["for_ms"] = Milliseconds(std::max(Duration{}, holder.ValidUntil(now) - now));
  for (const std::string& granter : holder.granters()) {
    json["keepers"][granter] = holder.HasLeaseFrom(now, granter);
  }
  for (const QuotaLeaseSession::Report& report : session.reports())
    json["granted"].append(ReportJson(report));
  return json;
}

Json::Value CountersJson(const MembershipStatus& status) {
  const MembershipTransport::Traffic& traffic = status.traffic;
  const membership::Counters& counters = status.membership.counters();
  const std::pair<const char*, std::uint64_t> values[] = {
      {"datagrams_in", traffic.datagrams_in},
      {"datagrams_out", traffic.datagrams_out},
      {"bytes_in", traffic.bytes_in},
      {"bytes_out", traffic.bytes_out},
      {"replayed", counters.replayed},
      {"misaddressed", counters.misaddressed},
      {"stale", counters.stale},
      {"accusations_ignored", counters.accusations_ignored},
      {"claims_ignored", counters.claims_ignored},
      {"full", counters.full},
      {"probes", counters.probes},
      {"probes_failed", counters.probes_failed},
      {"refuted", counters.refuted},
      {"pauses", counters.pauses},
      {"syncs", counters.full_exchanges},
      {"deaths", counters.deaths},
      {"came_back", counters.false_deaths},
      {"malformed", counters.malformed}};
  Json::Value json(Json::objectValue);
  for (const auto& [name, value] : values) json[name] = Json::UInt64(value);
  for (const auto& [error, count] : status.decode_errors) {
    json["refused"][std::string(membership::ToString(error))] = Json::UInt64(count);
  }
  return json;
}

Json::Value EventJson(TimePoint now, const membership::Event& event) {
  Json::Value json(Json::objectValue);
  json["number"] = Json::UInt64(event.number);
  json["ago_ms"] = Milliseconds(now - event.at);
  json["name"] = event.member;
  json["event"] = std::string(membership::Describe(event.kind));
  json["why"] = event.detail;
  return json;
}

}  // namespace

std::string WriteStatusJson(TimePoint now, std::uint64_t after, const MembershipStatus& status) {
  Json::Value root(Json::objectValue);
  root["fleet"] = status.fleet;
  root["self"] = SelfJson(status.membership);
  root["members"] = Json::Value(Json::arrayValue);
  for (const auto& [name, member] : status.membership.members()) {
    root["members"].append(MemberJson(now, member));
  }
  if (status.quota_leases != nullptr) root["part"] = LeasesJson(now, *status.quota_leases);
  root["counts"] = CountersJson(status);
  root["events"] = Json::Value(Json::arrayValue);
  for (const membership::Event& event : status.membership.events()) {
    if (event.number > after) root["events"].append(EventJson(now, event));
  }
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, root);
}

}  // namespace dappletiller
