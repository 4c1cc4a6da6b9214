// Quota leases between members: sends this process's lease requests, answers others' if it is a granter, and
// reports what share of the quotas this process may use. Owns the LeaseHolder and, in a granter, the
// LeaseGranter. Does no I/O: messages to send are returned. Lives on the event loop.
#ifndef DAPPLETILLER_MEMBERSHIP_TRANSPORT_QUOTA_LEASE_SESSION_HPP_
#define DAPPLETILLER_MEMBERSHIP_TRANSPORT_QUOTA_LEASE_SESSION_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "io/log.hpp"
#include "membership/membership.hpp"
#include "quota_lease/lease_granter.hpp"
#include "quota_lease/lease_holder.hpp"

namespace dappletiller {

class QuotaShareObserver {
 public:
  // This process may use `share` (0 to 1) of each quota that all proxies share, until `valid_until`.
  virtual void OnQuotaShare(double share, TimePoint valid_until) = 0;

 protected:
  ~QuotaShareObserver() = default;
};

struct QuotaLeaseOptions {
  std::vector<std::string> granters;  // members by name, the same in the whole fleet; at least one
  Duration lease_duration{};
};

class QuotaLeaseSession {
 public:
  // A share that was reported to the observer, and when.
  struct Report {
    TimePoint at;
    TimePoint valid_until;
    double share = 0;
  };
  static constexpr std::size_t kMaxReports = 64;  // kept for external checks

  // All references must outlive the session.
  QuotaLeaseSession(Log& log, membership::Membership& membership, QuotaLeaseOptions options,
                    QuotaShareObserver& observer, TimePoint now);

  // Reports the initial share, which is zero.
  void Start(TimePoint now) { ReportShare(now); }
  // Returns requests that are due and reports a changed share.
  [[nodiscard]] std::vector<membership::Outgoing> Run(TimePoint now);
  // Handles a message of a known member; messages of other topics are ignored.
  [[nodiscard]] std::vector<membership::Outgoing> OnMessage(TimePoint now,
                                                            const membership::Message& message);
  // Stops using the share and releases it.
  [[nodiscard]] std::vector<membership::Outgoing> Release(TimePoint now);
  // Another process has taken over this process's name, and with it its leases.
  void OnDisplaced(TimePoint now, std::uint64_t new_boot);

  const quota_lease::LeaseHolder& holder() const { return holder_; }
  const std::deque<Report>& reports() const { return reports_; }  // oldest first

 private:
  std::vector<membership::Outgoing> SendRequests(TimePoint now);
  void ReportShare(TimePoint now);

  Log& log_;
  membership::Membership& membership_;
  QuotaLeaseOptions options_;
  QuotaShareObserver& observer_;
  quota_lease::LeaseHolder holder_;
  std::optional<quota_lease::LeaseGranter> granter_;
  TimePoint next_requests_;
  std::deque<Report> reports_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_MEMBERSHIP_TRANSPORT_QUOTA_LEASE_SESSION_HPP_
