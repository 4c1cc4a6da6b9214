// dappletiller-rig: starts many processes of the program on loopback, with faults between them, and judges
// from outside what became of it. Exit codes: 0 all claims hold, 1 one doesn't or the run was cut short, 2
// the words or the script are wrong.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "operator/section.hpp"
#include "rig/fleet.hpp"

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
  bool temporary = out.empty();
  options.keep = !temporary;
  try {
    std::string name = "demo", text = kDemo;
    if (*fleet) {
      name = script_path;
      std::ifstream file(script_path, std::ios::binary);
      std::ostringstream all;
      if (!file || !(all << file.rdbuf())) {
        std::fprintf(stderr, "dappletiller-rig: %s cannot be read, or is empty\n", script_path.c_str());
        return 2;
      }
      text = all.str();
    }
    if (*soak) {
      name = "soak";
      text = dappletiller::rig::SoakScript(proxies, seconds, options.seed);
    }
    Script script = dappletiller::rig::ParseScript(text, name);
    if (::access(options.program.c_str(), X_OK) != 0) {
      std::fprintf(stderr, "dappletiller-rig: %s is not a program; build it, or name it with --program\n",
                   options.program.c_str());
      return 2;
    }
    if (temporary) {
      std::string pattern = (std::filesystem::temp_directory_path() / "dappletiller-rig-XXXXXX").string();
      if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("no folder can be made under the temporary one");
      out = pattern;
    }
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
