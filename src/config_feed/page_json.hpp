// The feed's questions and answers as text: a question is the query of a GET, an answer a JSON object. Pure.
//
//   GET /feed?self=p1&serial=12&epoch=7&after=340&wait_ms=2000&services=plan-1,plan-7   (all=1: everything;
//       began=350: within a walk of the whole)
//   {"serial":13,"epoch":"7","version":351,"to":351,"after":340,"whole":false,"ancestors":[["5",300]],
//    "changes":[[341,"tenant/plan-7/acme","{...}"],[351,"tenant/plan-7/gone"]]}
//
// Numbers of 64 bits that may pass 2^53 are strings. Anything malformed, doubled or out of bounds is nothing.
#ifndef DAPPLETILLER_CONFIG_FEED_PAGE_JSON_HPP_
#define DAPPLETILLER_CONFIG_FEED_PAGE_JSON_HPP_

#include <optional>
#include <string>
#include <string_view>

#include "config_feed/store.hpp"

namespace dappletiller::feed {

constexpr std::size_t kMostServices = 200;  // so that a question does

struct Asked {
  std::string self;
  Question question;
  std::int64_t wait_ms = 0;
};

std::string WriteQuestion(const Asked& asked);  // the target of the GET
std::optional<Asked> ReadQuestion(std::string_view target);
std::string WritePage(const Page& page);
std::optional<Page> ReadPage(std::string_view text);

}  // namespace dappletiller::feed

#endif  // DAPPLETILLER_CONFIG_FEED_PAGE_JSON_HPP_
