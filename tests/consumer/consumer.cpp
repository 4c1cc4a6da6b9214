// Minimal use of the installed library: one request and one server. Exits with 0 if the request is sent
// there.
#include <cstdio>
#include <variant>
#include <vector>

#include "dappletiller/balancer.hpp"

int main() {
  dappletiller::balancer::Settings settings;
  settings.seed = 1;
  settings.max_attempts = 1;
  dappletiller::balancer::ClassSettings page;
  page.latency_objective = 500'000;
  page.client_timeout = 2'000'000;
  page.effect = dappletiller::balancer::Effect::kSafe;
  settings.classes = {page};

  dappletiller::balancer::Balancer balancer(settings);
  std::vector<dappletiller::balancer::Action> actions;
  dappletiller::balancer::ServerEntry server;
  server.id = 42;
  balancer.Handle(1'000'000,
                  dappletiller::balancer::EndpointListUpdate{
                      dappletiller::balancer::EndpointListUpdate::Kind::kSnapshot, {server}},
                  &actions);
  dappletiller::balancer::RequestArrived request;
  request.id = 7;
  request.deadline = 3'000'000;
  balancer.Handle(1'000'000, request, &actions);
  for (const auto& action : actions) {
    if (const auto* send = std::get_if<dappletiller::balancer::Send>(&action)) {
      std::printf("request %llu goes to server %u\n", static_cast<unsigned long long>(send->id),
                  send->server);
      return send->server == 42 ? 0 : 1;
    }
  }
  return 1;
}
