// dappletiller-rig: starts many processes of the program on loopback, with faults between them, and judges
// from outside what became of it. Exit codes: 0 all claims hold, 1 one doesn't or the run was cut short, 2
// the words or the script are wrong.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "config/section.hpp"
#include "rig/fleet.hpp"
#include "rig/measure.hpp"
#include "rig/scale.hpp"
#include "rig/scale_roles.hpp"

namespace {

using dappletiller::rig::Fleet;
using dappletiller::rig::Options;
using dappletiller::rig::Script;

constexpr const char* kDemo = R"([fleet]
proxies = 3
workers = 4
seconds = 14
calls_per_second = 60

[[fault]]
do = "kill"
at = 4
who = "p2"

[[fault]]
do = "start"
at = 9
who = "p2"

[[expect]]
that = "dead"
at = 4
who = "p2"
by = ["p1", "p3"]
within = 5

[[expect]]
that = "settled"
at = 9
within = 4

[[expect]]
that = "served"
who = ["p1", "p3"]
share = 0.99

[[expect]]
that = "whole"

[[expect]]
that = "no-tips"
)";

int Play(const Script& script, Options options, bool temporary) {
  bool all = true;
  {
    Fleet fleet(script, options);
    if (!fleet.Run()) {
      all = false;
    } else {
      for (const auto& v : fleet.verdicts()) {
        std::printf("%s  %s -- %s\n", v.holds ? "ok  " : "FAIL", v.claim.c_str(), v.evidence.c_str());
        all = all && v.holds;
      }
      std::string figures = fleet.Figures();
      if (!figures.empty()) std::printf("%s\n", figures.c_str());
      std::ofstream(options.out / "verdict.json") << fleet.Json();
    }
  }
  std::error_code ignored;
  if (temporary) std::filesystem::remove_all(options.out, ignored);
  return all ? 0 : 1;
}

// A folder of its own under the temporary one; throws if there can be none.
std::string TemporaryFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "dappletiller-rig-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr)
    throw std::runtime_error("no folder can be made under the temporary one");
  return pattern;
}

bool IsProgram(const std::string& path) {
  if (::access(path.c_str(), X_OK) == 0) return true;
  std::fprintf(stderr, "dappletiller-rig: %s is not a program; build it, or name it with --program\n",
               path.c_str());
  return false;
}

int PlayScaleRun(const std::string& name, const std::string& text, const Options& options,
                 const std::string& out) {
  auto script = dappletiller::rig::ParseScale(text, name);
  if (!IsProgram(options.program)) return 2;
  if (!out.empty()) std::filesystem::create_directories(out);
  dappletiller::rig::ScaleOptions scale;
  scale.program = std::filesystem::absolute(options.program).string();
  scale.self = std::filesystem::read_symlink("/proc/self/exe").string();
  scale.seed = options.seed;
  scale.quiet = options.quiet;
  std::string folder = TemporaryFolder();
  scale.folder = folder;
  int code = 1;
  try {
    code = dappletiller::rig::PlayScale(script, scale, out.empty() ? "" : std::filesystem::absolute(out));
  } catch (const std::exception& e) {
    std::fprintf(stderr, "dappletiller-rig: %s\n", e.what());
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
  return code;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Many processes of the program on loopback, with faults between them, judged from outside.",
               "dappletiller-rig"};
  app.require_subcommand(1);
  Options options;
  std::string out, script_path;
  std::filesystem::path here = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  options.program = here / "dappletiller";
  options.clock = here / "dappletiller-clock.so";
  CLI::App* fleet = app.add_subcommand("fleet", "play a script (TOML; docs/rig.md)");
  fleet->add_option("script", script_path, "the script")->required();
  CLI::App* demo =
      app.add_subcommand("demo", "three proxies, workers and clients; one is killed and comes back");
  CLI::App* soak = app.add_subcommand("soak", "random faults from the seed, then quiet");
  int proxies = 5;
  double seconds = 60;
  soak->add_option("--proxies", proxies)->check(CLI::Range(3, 100))->capture_default_str();
  soak->add_option("--seconds", seconds, "of faults")
      ->check(CLI::Range(30.0, 86400.0))
      ->capture_default_str();
  for (CLI::App* sub : {fleet, demo, soak}) {
    sub->add_option("--seed", options.seed, "of all that is random")->capture_default_str();
    sub->add_option("--out", out,
                    "folder for verdict.json, configurations and logs (default: none are kept)");
    sub->add_option("--program", options.program, "the program to start")->capture_default_str();
    sub->add_flag("--quiet", options.quiet, "verdicts only");
  }
  CLI::App* scale = app.add_subcommand("scale", "hollow proxies, many to a process, through an hour's churn");
  scale->add_option("script", script_path, "the script (TOML; docs/rig.md)")->required();
  scale->add_option("--seed", options.seed, "of all that is random")->capture_default_str();
  scale->add_option("--out", out, "folder for verdicts and data (default: none are kept)");
  scale->add_option("--program", options.program, "the program to start")->capture_default_str();
  scale->add_flag("--quiet", options.quiet, "verdicts and figures only");
  dappletiller::rig::MeasureSizes sizes;
  bool by_tenants = false;
  CLI::App* measure = app.add_subcommand("measure", "what one proxy's control code costs by what it holds");
  measure->add_option("--servers", sizes.servers)->check(CLI::Range(1, 100000))->capture_default_str();
  measure->add_flag("--by-tenants", by_tenants, "settings by tenants, not lists by servers");
  measure->add_option("--tenants", sizes.tenants)->check(CLI::Range(1, 1000000))->capture_default_str();
  measure->add_option("--batch", sizes.batch, "entries changed together")
      ->check(CLI::Range(1, 10000))
      ->capture_default_str();
  measure->add_option("--seconds", sizes.seconds, "of processor time for each, at the least")
      ->check(CLI::Range(1, 600))
      ->capture_default_str();
  // What a scale run starts itself.
  dappletiller::rig::RoleOptions role;
  CLI::App* play_role = app.add_subcommand("scale-role")->group("");
  play_role->add_option("role", role.role)->required();
  play_role->add_option("index", role.index)->required();
  play_role->add_option("folder", role.folder)->required();
  play_role->add_option("seed", role.seed)->required();
  CLI::App* show = app.add_subcommand("script", "print the demo's script, to begin one's own from");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  }
  if (*show) {
    std::fputs(kDemo, stdout);
    return 0;
  }
  if (*measure) {
    return by_tenants ? dappletiller::rig::MeasureTenants(sizes) : dappletiller::rig::MeasureServers(sizes);
  }
  bool temporary = out.empty();
  options.keep = !temporary;
  try {
    std::string name = "demo", text = kDemo;
    if (*play_role) {
      // Ends with the run, however that ends: signals are the run's to hear.
      for (int number : {SIGINT, SIGTERM, SIGHUP}) std::signal(number, SIG_IGN);
      role.script = dappletiller::rig::ReadRun(role.folder);
      return dappletiller::rig::PlayRole(role);
    }
    if (*fleet || *scale) {
      name = script_path;
      std::ifstream file(script_path, std::ios::binary);
      std::ostringstream all;
      if (!file || !(all << file.rdbuf())) {
        std::fprintf(stderr, "dappletiller-rig: %s cannot be read, or is empty\n", script_path.c_str());
        return 2;
      }
      text = all.str();
    }
    if (*scale) return PlayScaleRun(name, text, options, out);
    if (*soak) {
      name = "soak";
      text = dappletiller::rig::SoakScript(proxies, seconds, options.seed);
    }
    Script script = dappletiller::rig::ParseScript(text, name);
    if (!IsProgram(options.program)) return 2;
    if (temporary) out = TemporaryFolder();
    options.out = std::filesystem::absolute(out);
    options.program = std::filesystem::absolute(options.program).string();
    return Play(script, options, temporary);
  } catch (const dappletiller::operators::OperatorError& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 2;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "dappletiller-rig: %s\n", e.what());
    return 1;
  }
}
