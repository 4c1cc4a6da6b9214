// Requests and pages of the feed as text: a request is the target of a GET, a page a JSON object.
//
//   GET /feed?self=p1&serial=12&epoch=7&after=340&wait_ms=2000&services=plan-1,plan-7
//       all=1 in place of services: all entries; began=350: while a snapshot is loaded
//   {"serial":13,"epoch":"7","version":351,"to":351,"after":340,"whole":false,"ancestors":[["5",300]],
//    "changes":[[341,"tenant/plan-7/acme","{...}"],[351,"tenant/plan-7/gone"]]}
// Numbers that may exceed 2^53 are strings. Malformed, repeated or out-of-bounds parts invalidate the whole
// text. Pure; nothing throws.
#ifndef DAPPLETILLER_CONFIG_FEED_PAGE_CODEC_HPP_
#define DAPPLETILLER_CONFIG_FEED_PAGE_CODEC_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "config_feed/entry.hpp"

namespace dappletiller::config_feed {

constexpr std::size_t kMaxServices = 200;  // in a scope, so that a request fits the HTTP parser

struct FeedRequest {
  std::string follower;  // its name
  PageRequest page;
  std::int64_t wait_ms = 0;  // how long the server may wait for a change
};

std::string WriteRequest(const FeedRequest& request);
std::optional<FeedRequest> ParseRequest(std::string_view target);
std::string WritePage(const Page& page);
std::optional<Page> ParsePage(std::string_view text);

}  // namespace dappletiller::config_feed

#endif  // DAPPLETILLER_CONFIG_FEED_PAGE_CODEC_HPP_
