// dappletiller-lab: experiments in simulated time with the program's own pure parts. Exit codes: 0 done and
// all held, 1 a trial failed (its seed is printed and replays), 2 the words are wrong.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "lab/world.hpp"

namespace {

using dappletiller::Micros;
using dappletiller::lab::Network;
using dappletiller::lab::PlayTrial;
using dappletiller::lab::Trial;
using dappletiller::lab::World;
using dappletiller::membership::MemberState;

constexpr Micros kStep = 50'000;

double Seconds(Micros span) { return static_cast<double>(span) / 1e6; }

// Runs until `holds` or for `most`; the time it took in seconds, -1: never.
template <typename Holds>
double Until(World& world, Micros most, Holds holds) {
  Micros from = world.now();
  while (world.now() < from + most) {
    if (holds()) return Seconds(world.now() - from);
    world.Run(world.now() + kStep);
  }
  return holds() ? Seconds(world.now() - from) : -1;
}

int Measure(int members, double loss, double delay_ms, double calm, std::uint64_t seed, bool head) {
  dappletiller::membership::Settings base;
  Network network;
  network.loss = loss;
  network.delay = static_cast<Micros>(delay_ms * 1000);
  World world(members, seed, base, network);
  std::string why;
  auto agree = [&] { return world.Agree(&why); };
  for (int i = 0; i < members; ++i) world.Start(i);
  double form = Until(world, 120'000'000, agree);
  world.Run(world.now() + 10'000'000);

  std::uint64_t sent = world.sent(), bytes = world.sent_bytes(), deaths = world.deaths();
  Micros from = world.now();
  dappletiller::membership::Codec codec(
      "lab", *dappletiller::membership::ParseKeys(dappletiller::membership::GenerateKey()));
  world.Meter(members / 3, &codec);
  world.Run(world.now() + static_cast<Micros>(calm * 1e6));
  double span = Seconds(world.now() - from);
  double messages = static_cast<double>(world.sent() - sent) / members / span;
  double share = 100 * world.metered() / span;
  world.Meter(-1, nullptr);
  double rate = static_cast<double>(world.sent_bytes() - bytes) / members / span;
  double hours = span * members / 3600;
  double false_deaths = static_cast<double>(world.deaths() - deaths) / hours;

  int victim = members / 2;
  world.Crash(victim);
  double crash =
      Until(world, 60'000'000, [&] { return world.Seen(victim, MemberState::kDead) == world.Running(); });
  world.Run(world.now() + 5'000'000);
  world.Start(victim);
  double join = Until(world, 60'000'000,
                      [&] { return world.Seen(victim, MemberState::kAlive) == world.Running() - 1; });
  world.Run(world.now() + 5'000'000);
  world.Reach([members](int a, int b) { return (a < members / 2) == (b < members / 2); });
  world.Run(world.now() + 20'000'000);
  world.Reach(nullptr);
  double heal = Until(world, 120'000'000, agree);
  if (head)
    std::printf(
        "members loss form_s crash_s join_s heal_s messages_per_s bytes_per_s false_deaths_per_member_hour "
        "member_hours cpu_percent\n");
  std::printf("%d %.2f %.2f %.2f %.2f %.2f %.1f %.0f %.3f %.2f %.4f\n", members, loss, form, crash, join,
              heal, messages, rate, false_deaths, hours, share);
  std::fflush(stdout);
  return form >= 0 && crash >= 0 && join >= 0 && heal >= 0 ? 0 : 1;
}

int Trials(const Trial& base, std::uint64_t first, std::uint64_t last, unsigned threads) {
  std::atomic<std::uint64_t> next{first}, failed{0}, done{0};
  std::vector<std::thread> workers;
  for (unsigned t = 0; t < threads; ++t) {
    workers.emplace_back([&] {
      for (std::uint64_t seed; (seed = next++) <= last;) {
        Trial trial = base;
        trial.seed = seed;
        std::string wrong = PlayTrial(trial);
        ++done;
        if (wrong.empty()) continue;
        if (++failed <= 20)
          std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), wrong.c_str());
      }
    });
  }
  for (std::thread& worker : workers) worker.join();
  std::printf("%llu seeds, %llu failed\n", static_cast<unsigned long long>(done.load()),
              static_cast<unsigned long long>(failed.load()));
  return failed == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Experiments in simulated time with the program's own pure parts.", "dappletiller-lab"};
  app.require_subcommand(1);
  std::uint64_t first = 1, last = 100, seed = 1;
  unsigned threads = std::max(1u, std::thread::hardware_concurrency());
  Trial trial;
  std::string flaw;
  double seconds = 40, settle = 30;
  CLI::App* trials =
      app.add_subcommand("trials", "random faults from each seed, then quiet: do the views settle?");
  trials->add_option("--members", trial.members, "at the start")
      ->check(CLI::Range(3, 200))
      ->capture_default_str();
  trials->add_option("--first", first, "seed")->capture_default_str();
  trials->add_option("--last", last, "seed")->capture_default_str();
  trials->add_option("--threads", threads)->capture_default_str();
  trials->add_option("--seconds", seconds, "of faults")->capture_default_str();
  trials->add_option("--settle", settle, "seconds within which views must agree")->capture_default_str();
  trials->add_flag("--seedless", trial.seedless, "who has joined forgets the seeds");
  trials->add_flag("--show", trial.show, "what each view of a failed trial went through");
  trials->add_option("--flaw", flaw, "plant one: no-refute, tell-forever, forget-dead")
      ->check(CLI::IsMember({"no-refute", "tell-forever", "forget-dead"}));
  std::vector<int> members = {5, 40, 100, 300};
  std::vector<double> losses = {0};
  double delay_ms = 0.5, calm = 30;
  CLI::App* measure =
      app.add_subcommand("measure", "times to know of a crash, a join, a heal; traffic; false deaths");
  measure->add_option("--members", members)->check(CLI::Range(3, 5000))->capture_default_str();
  measure->add_option("--loss", losses)->check(CLI::Range(0.0, 0.9))->capture_default_str();
  measure->add_option("--delay-ms", delay_ms)->capture_default_str();
  measure->add_option("--calm", calm, "seconds over which traffic and false deaths are counted")
      ->capture_default_str();
  measure->add_option("--seed", seed)->capture_default_str();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  }
  if (*trials) {
    trial.planted.never_refute = flaw == "no-refute";
    trial.planted.never_retire_updates = flaw == "tell-forever";
    trial.planted.never_retry_dead = flaw == "forget-dead";
    trial.faults_for = static_cast<Micros>(seconds * 1e6);
    trial.settle_within = static_cast<Micros>(settle * 1e6);
    return Trials(trial, first, last, threads);
  }
  int failed = 0;
  bool head = true;
  for (int n : members) {
    for (double loss : losses) {
      failed |= Measure(n, loss, delay_ms, calm, seed, head);
      head = false;
    }
  }
  return failed;
}
