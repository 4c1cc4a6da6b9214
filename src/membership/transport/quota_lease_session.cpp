#include "membership/transport/quota_lease_session.hpp"

#include <algorithm>
#include <utility>

namespace dappletiller {
namespace {

using membership::Message;
using membership::Outgoing;
using quota_lease::LeaseRequest;

// Part of the wire format.
constexpr const char* kRequestTopic = "loan-ask";
constexpr const char* kResponseTopic = "loan-answer";

// Requests per lease duration: three, so that two may be lost; six while there is no lease.
constexpr int kRequestsPerLease = 3;
constexpr int kRequestsPerLeaseWithoutShare = 6;

void AppendIfAny(std::optional<Outgoing> message, std::vector<Outgoing>* to) {
  if (message) to->push_back(std::move(*message));
}

}  // namespace

QuotaLeaseSession::QuotaLeaseSession(Log& log, membership::Membership& membership, QuotaLeaseOptions options,
                                     QuotaShareObserver& observer, TimePoint now)
    : log_(log),
      membership_(membership),
      options_(std::move(options)),
      observer_(observer),
      holder_(membership.settings().boot, options_.granters, options_.lease_duration) {
  const std::vector<std::string>& granters = options_.granters;
  const bool is_granter =
      std::find(granters.begin(), granters.end(), membership.settings().name) != granters.end();
  if (is_granter) {
    granter_.emplace(static_cast<std::uint32_t>(granters.size()), options_.lease_duration, now);
  }
}

std::vector<Outgoing> QuotaLeaseSession::Run(TimePoint now) {
  if (membership_.is_leaving() || membership_.displaced()) return {};
  std::vector<Outgoing> outgoing;
  if (now >= next_requests_) {
    const int requests = holder_.Share(now) > 0 ? kRequestsPerLease : kRequestsPerLeaseWithoutShare;
    next_requests_ = now + options_.lease_duration / requests;
    outgoing = SendRequests(now);
  }
  ReportShare(now);
  return outgoing;
}

std::vector<Outgoing> QuotaLeaseSession::SendRequests(TimePoint now) {
  std::vector<Outgoing> outgoing;
  for (const std::string& granter : holder_.granters()) {
    const LeaseRequest request = holder_.MakeRequest(now, granter);
    if (granter == membership_.settings().name) {
      if (auto response = granter_->OnRequest(now, granter, request)) holder_.OnResponse(granter, *response);
    } else {
      AppendIfAny(membership_.MakeApplicationMessage(granter, kRequestTopic, Encode(request)), &outgoing);
    }
  }
  return outgoing;
}

std::vector<Outgoing> QuotaLeaseSession::OnMessage(TimePoint now, const Message& message) {
  std::vector<Outgoing> outgoing;
  const std::string& sender = message.sender.name;
  if (message.topic == kRequestTopic && granter_) {
    const auto request = quota_lease::DecodeRequest(message.body);
    if (!request) return {};
    const auto response = granter_->OnRequest(now, sender, *request);
    if (!response) return {};
    AppendIfAny(membership_.MakeApplicationMessage(sender, kResponseTopic, Encode(*response)), &outgoing);
  } else if (message.topic == kResponseTopic) {
    if (const auto response = quota_lease::DecodeResponse(message.body))
      holder_.OnResponse(sender, *response);
    ReportShare(now);
  }
  return outgoing;
}

std::vector<Outgoing> QuotaLeaseSession::Release(TimePoint now) {
  std::vector<Outgoing> outgoing;
  holder_.Stop();
  ReportShare(now);
  for (const std::string& granter : holder_.granters()) {
    const LeaseRequest release = holder_.MakeRelease(now, granter);
    if (granter == membership_.settings().name) {
      granter_->OnRequest(now, granter, release);
    } else {
      AppendIfAny(membership_.MakeApplicationMessage(granter, kRequestTopic, Encode(release)), &outgoing);
    }
  }
  return outgoing;
}

void QuotaLeaseSession::OnDisplaced(TimePoint now, std::uint64_t new_boot) {
  if (holder_.Share(now) <= 0) return;
  holder_ = quota_lease::LeaseHolder(new_boot, options_.granters, options_.lease_duration);
  ReportShare(now);
}

void QuotaLeaseSession::ReportShare(TimePoint now) {
  const double share = holder_.Share(now);
  const TimePoint valid_until = holder_.ValidUntil(now);
  const bool first = reports_.empty();
  if (!first && share == reports_.back().share && valid_until == reports_.back().valid_until) return;
  const double before = first ? 0 : reports_.back().share;
  reports_.push_back({now, valid_until, share});
  if (reports_.size() > kMaxReports) reports_.pop_front();
  const bool gained = share > 0 && before <= 0;
  const bool lost = share <= 0 && before > 0;
  if (first || gained || lost) {
    log_.Write(lost ? Log::Level::kWarn : Log::Level::kInfo, "fleet: share of the quotas: %.4f%s", share,
               share > 0
                   ? ""
                   : "; servers that are warming up get nothing from here until a granter leases a share");
  }
  observer_.OnQuotaShare(share, valid_until);
}

}  // namespace dappletiller
