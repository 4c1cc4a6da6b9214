// The processes of a scale run beside the real ones: plan servers, discovery, and hollow proxies, many to a
// process each. Each reads the run's folder, makes the same plan from script and seed, plays its part of it
// on its own loop, and tells the run what it counted when asked. They die with the run, whose kernel kills
// them.
//
// In the folder: script.toml (text), size (the one that a sweep has changed), servers-K (a port a line),
// discovery (a port a line: one a region, then one a real proxy), seeds (addresses of the view), key,
// settings.json.
#ifndef DAPPLETILLER_RIG_SCALE_ROLES_HPP_
#define DAPPLETILLER_RIG_SCALE_ROLES_HPP_

#include <filesystem>
#include <string>

#include "rig/scale_script.hpp"

namespace dappletiller::rig {

struct RoleOptions {
  std::string role;  // servers, discovery, hollow
  int index = 0;
  std::filesystem::path folder;
  std::uint64_t seed = 1;
  ScaleScript script;
};

// The folder's part that says what is run, and back; throw std::runtime_error, operators::OperatorError.
void WriteRun(const ScaleScript& script, const std::filesystem::path& folder);
ScaleScript ReadRun(const std::filesystem::path& folder);

// Until it is told to end, or killed; the exit code. On its standard output: "control on port N" when ready.
int PlayRole(const RoleOptions& options);

}  // namespace dappletiller::rig

#endif  // DAPPLETILLER_RIG_SCALE_ROLES_HPP_
