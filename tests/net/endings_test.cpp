// What ends, crossed with what may still be owed then: one test with real sockets for each crossing in
// docs/design/endings.md. Crossings are forced: a stand-in holds bytes back or lets them go at a known state,
// and both sides of a crossing lie in the kernel before the loop's next round.
#include <string>

#include "support.hpp"

namespace dappletiller::testing {
namespace {

balancer::Settings AskingEvery(Micros span) {
  balancer::Settings s = Rules();
  s.endpoints_on_request = true;
  s.poll_interval = span;
  return s;
}

// ---- The watch ----

// Guards against a drain that is missed while the module backs off: the clock of a silent watch has run out
// by then at sites with a short drain window.
TEST_CASE("a watch that fell silent is opened anew in the same round, and once more after a pause") {
  Rig rig(AskingEvery(1'000 * kMs));
  rig.Know({});
  const std::string first = "/discovery/hosts?after=41&wait_ms=0";
  Asked(rig, first).Say(Answer(200, R"({"rev":41,"all":false,"targets":[]})"));
  Peer& silent = Asked(rig, "/discovery/hosts?after=41&wait_ms=500");
  rig.Until("the silent one is left", [&] { return silent.Ended(); });
  for (int i = 0; i < 3; ++i) rig.loop.RunOnce(0);  // no time passes but what these take
  REQUIRE(rig.registry.Accept());
  std::size_t anew = rig.registry.peers.size() - 1;
  CHECK(rig.registry.peers[anew].Has("GET " + first + " HTTP/1.1\r\n"));
  // Silent again: from here on discovery is spared for a moment, and asked once more.
  rig.Until("it is left too", [&] { return rig.registry.peers[anew].Ended(); });
  rig.registry.peers[anew].text.clear();
  for (int i = 0; i < 3; ++i) rig.loop.RunOnce(0);
  CHECK_FALSE(rig.registry.Accept());
  Asked(rig, first).Say(Answer(200, R"({"rev":42,"all":false,"targets":[]})"));
  Asked(rig, "/discovery/hosts?after=42&wait_ms=500");
}

// Guards against a wait so long that the clock of its silence runs out before the silence is noticed.
TEST_CASE("a watch waits no longer than the clock of its silence leaves time for") {
  Rig rig(AskingEvery(120'000 * kMs));
  rig.Know({});
  rig.discovery.Watch();
  Asked(rig, "/discovery/hosts?after=41&wait_ms=0")
      .Say(Answer(200, R"({"rev":41,"all":false,"targets":[]})"));
  Asked(rig, "/discovery/hosts?after=41&wait_ms=1000");
}

// ---- The client's end ----

// What a client may have sent behind its request before it goes.
struct Behind {
  const char* what;
  std::string bytes;
};

std::vector<Behind> Behinds() {
  std::string many;
  for (int i = 0; i < 40; ++i) many += Check("m" + std::to_string(i));
  return {{"nothing", ""},
          {"half a next request", "GET /api?k=1 HTTP/1.1\r\nHost: x\r\n"},
          {"one whole next request", Check("n1")},
          {"many whole ones", many},
          {"rubbish", "\x01rubbish\r\n\r\n"},
          {"a next body that is not whole", "POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\nxy"},
          {"much more than any buffer holds", many + std::string(12'000'000, 'x')}};
}

// Sends all of it while the loop runs, as a client on another machine would.
void Pour(Rig& rig, Peer& client, std::string_view bytes) {
  rig.Until("all is sent", [&] {
    bytes.remove_prefix(client.Try(bytes));
    return bytes.empty();
  });
}

void Go(Peer& client, bool hard) { hard ? client.Abort() : client.Close(); }

// Guards against sending on, seconds later, a call whose client left while it was held: its end lies behind
// all that it sent, and is not heard by a side that reads no further.
TEST_CASE("a held call whose client leaves is not sent on, whatever the client sent behind it") {
  for (const Behind& behind : Behinds()) {
    for (bool hard : {false, true}) {
      CAPTURE(behind.what);
      CAPTURE(hard);
      Rig rig;
      rig.Know({});  // no worker: all is held
      Peer client = rig.Client();
      client.Say(Check("a1"));
      rig.Until("it is held", [&] { return rig.dispatcher.open_requests() == 1; });
      Pour(rig, client, behind.bytes);
      Go(client, hard);
      rig.Until("its end is known", [&] { return rig.dispatcher.open_requests() == 0; });
      Settles(rig);
      CHECK(rig.listener.connections() == 0);
      Host worker;
      rig.Know({&worker}, EndpointList::Kind::kDelta);
      Peer next = rig.Client();  // what comes now is sent; the held one would have been sent before it
      next.Say(Check("b1"));
      Peer& at = rig.Request(worker, "b1");
      for (Peer& peer : worker.peers) CHECK_FALSE(peer.Has("Request-Id: a1"));
      at.Say(Answer(200, "one"));
      rig.Hears(next, "one");
    }
  }
}

TEST_CASE("many clients that leave at once are all heard, and none of their calls is sent on") {
  Rig rig(Rules(), kBound, 128, 8, 100);
  rig.Know({});
  std::vector<Behind> behinds = Behinds();
  behinds.pop_back();
  std::vector<Peer> crowd;
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(rig.Client());
    crowd.back().Say((i % 3 == 0 ? Pay("a" + std::to_string(i)) : Check("a" + std::to_string(i))));
  }
  rig.Until("all are held", [&] { return rig.dispatcher.open_requests() == 60; });
  for (std::size_t i = 0; i < crowd.size(); ++i) {
    std::string bytes = behinds[i % behinds.size()].bytes;
    crowd[i].Say(bytes.substr(0, 8'000));
    Go(crowd[i], i % 2 == 0);
  }
  rig.Until("all are heard", [&] { return rig.dispatcher.open_requests() == 0; });
  Settles(rig);
  Host worker;
  rig.Know({&worker}, EndpointList::Kind::kDelta);
  Peer next = rig.Client();
  next.Say(Check("b1"));
  rig.Request(worker, "b1");
  CHECK(worker.peers.size() == 1);
}

// Guards against a connection that comes up for nobody: where the settings forbid to call work off, what has
// not been written is not work yet.
TEST_CASE("a call whose client leaves while its worker is dialled is not sent") {
  for (bool may_cancel : {false, true}) {
    for (bool retry : {false, true}) {
      CAPTURE(may_cancel);
      CAPTURE(retry);
      balancer::Settings rules = Rules();
      rules.may_cancel = may_cancel;
      Rig rig(rules);
      Host first, shut(false, true);
      if (retry) rig.Know({&first});
      if (!retry) rig.Know({&shut});
      Peer client = rig.Client();
      client.Say(Check("a1"));
      if (retry) {  // turned away by the first; the only other one does not come up
        Peer& at = rig.Request(first, "a1");
        rig.Know({&shut}, EndpointList::Kind::kDelta);
        at.Say(Answer(503, "", "Not-Started: 1\r\nConnection: close\r\n"));
        rig.Until("the first is left", [&] { return at.Ended(); });
      }
      rig.Until("it is dialled", [&] { return rig.workers.connections() == 1; });
      client.Close();
      rig.Until("its end is known", [&] { return rig.dispatcher.open_requests() == 0; });
      CHECK(rig.workers.connections() == 0);  // nothing is left that could be sent
      Settles(rig);
      shut.Open();
      Peer next = rig.Client();
      next.Say(Check("b1"));
      if (retry) rig.Know({&first}, EndpointList::Kind::kDelta, EndpointState::kDraining);
      rig.Request(shut, "b1");
      for (Peer& peer : shut.peers) CHECK_FALSE(peer.Has("Request-Id: a1"));
    }
  }
}

// Where work may not be called off, what is written whole keeps what its class is owed: it is not sent again,
// and its answer ends it.
TEST_CASE("what is out when its client leaves goes on where the settings forbid to call it off") {
  balancer::Settings rules = Rules();
  rules.may_cancel = false;
  Rig rig(rules);
  Host worker, other;
  rig.Know({&worker});
  Peer client = rig.Client();
  client.Say(Pay("a1"));
  Peer& at = rig.Request(worker, "a1");
  rig.Know({&other}, EndpointList::Kind::kDelta);
  client.Abort();
  rig.Until("its end is known", [&] { return rig.dispatcher.open_requests() == 0; });
  CHECK_FALSE(at.Ended());
  CHECK(rig.dispatcher.table_size() == 1);
  at.Say(Answer(500));
  Settles(rig);
  CHECK_FALSE(other.Accept());
}

// Guards against one that never stops sending: what can't be kept is read away, and the calls before it are
// answered, each in its turn.
TEST_CASE("what a client sends ahead is answered in turn, and an error where it was too much") {
  Rig rig;
  Host worker;
  rig.Know({&worker});
  Peer client = rig.Client();
  client.Say(Check("a1"));
  rig.Request(worker, "a1");
  std::string large(60'000, 'x');
  Pour(rig, client, Pay("a2", large) + Pay("a3", large) + std::string(3'000'000, 'x'));
  for (const char* id : {"a1", "a2"}) {
    Peer& now = rig.Request(worker, id);
    now.text.clear();
    now.Say(Answer(200, std::string("body of ") + id));
    rig.Hears(client, std::string("body of ") + id);
  }
  rig.Hears(client, "HTTP/1.1 413 ");
  rig.Until("the proxy closes", [&] { return client.Ended(); });
  Settles(rig);
}

// ---- The worker's answer ----

// Guards against passing on what was made for an earlier request: a worker begins one at its last byte.
TEST_CASE("an answer that comes before its request is written whole is nobody's, but a refusal counts") {
  for (bool refusal : {false, true}) {
    CAPTURE(refusal);
    Rig rig;
    Host early, other;
    rig.Know({&early});
    Peer client = rig.Client();
    Pour(rig, client, Pay("a1", std::string(64 * 1024, 'x')));
    // It is up in both kernels, and the loop has not heard of that yet: nothing is written.
    rig.Until("the worker is dialled", [&] { return early.Accept(); });
    rig.Know({&other}, EndpointList::Kind::kDelta);
    early.peers[0].Say(refusal ? Answer(503, "", "Not-Started: 1\r\n") : Answer(200, "too early"));
    rig.Request(other, "a1").Say(Answer(200, "made for it"));
    rig.Hears(client, "made for it");
    CHECK_FALSE(client.Has("too early"));
    Settles(rig);
  }
}

// Guards against a second answer that is late and meets the next call: a worker that has sent one is not
// given the next call on a connection that has not rested.
TEST_CASE("after a second answer a worker's connections rest before they are used again") {
  Rig rig;
  Host worker;
  rig.Know({&worker});
  Peer client = rig.Client();
  client.Say(Check("a1"));
  Peer& spoilt = rig.Request(worker, "a1");
  spoilt.Say(Answer(200, "one") + Answer(200, "one"));
  rig.Hears(client, "one");
  rig.Until("that connection is left", [&] { return spoilt.Ended(); });
  client.text.clear();
  client.Say(Check("a2"));
  Peer* at = &rig.Request(worker, "a2");
  at->Say(Answer(200, "two"));
  rig.Hears(client, "two");
  client.text.clear();
  client.Say(Check("a3"));
  std::size_t before = worker.peers.size();
  rig.Request(worker, "a3");  // may move the peers
  REQUIRE(worker.peers.size() == before + 1);
  worker.peers[before - 1].Say(Answer(200, "two"));  // late, and to nobody
  worker.peers[before].Say(Answer(200, "three"));
  rig.Hears(client, "\r\n\r\n");
  CHECK(client.Has("three"));
  CHECK_FALSE(client.Has("two"));
  Settles(rig);
}

TEST_CASE("an answer that never ends fails at the bound of a body, and a safe call is served elsewhere") {
  for (const char* head :
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"}) {
    CAPTURE(head);
    Rig rig;
    Host endless, other;
    rig.Know({&endless});
    Peer client = rig.Client();
    client.Say(Check("a1"));
    Peer& at = rig.Request(endless, "a1");
    rig.Know({&other}, EndpointList::Kind::kDelta);
    std::string bytes = head;
    for (int i = 0; i < 40; ++i) bytes += "1000\r\n" + std::string(4096, 'x') + "\r\n";
    at.Say(bytes);
    rig.Until("it is left", [&] { return at.Ended(); });
    rig.Request(other, "a1").Say(Answer(200, "whole"));
    rig.Hears(client, "whole");
    CHECK_FALSE(client.Has("xxx"));
    Settles(rig);
  }
}

// ---- The dial ----

// Guards against a call that waits for a machine which has vanished: its first packet is dropped, nothing
// comes back. What was never written never ran, so that even an unsafe call goes elsewhere.
TEST_CASE("a dial that does not come up in its time ends, and another worker serves") {
  Rig rig;
  rig.workers.SetLimits({50 * kMs, kBound});
  Host shut(false, true), other;
  rig.Know({&shut});
  Peer client = rig.Client();
  client.Say(Pay("a1"));
  rig.Until("it is dialled", [&] { return rig.workers.connections() == 1; });
  rig.Know({&other}, EndpointList::Kind::kDelta);
  rig.Request(other, "a1").Say(Answer(200, "one"));
  rig.Hears(client, "one");
  CHECK(rig.workers.connections() == 1);  // to the other alone
  Settles(rig);
}

// ---- Drain ----

// Guards against what waits for one leaving worker being sent to another that is leaving by the same list.
TEST_CASE("what waits for a connection when many workers drain at once goes to the one that stays") {
  Rig rig;
  Host shut(false, true), staying;
  std::vector<Host> leaving(8);  // so many that the one that stays is not met by chance
  rig.Know({&shut});
  Peer client = rig.Client();
  client.Say(Pay("a1"));
  rig.Until("it is dialled", [&] { return rig.workers.connections() == 1; });
  std::vector<Host*> all = {&shut};
  for (Host& host : leaving) all.push_back(&host);
  rig.Know(all, EndpointList::Kind::kDelta);
  rig.Know({&staying}, EndpointList::Kind::kDelta);
  EndpointList list;
  list.kind = EndpointList::Kind::kDelta;
  for (Host* host : all) {
    EndpointEntry& entry = list.entries.emplace_back();
    entry.uid = "w" + std::to_string(host->port);
    entry.endpoint = host->endpoint();
    entry.zone = 0;
    entry.state = EndpointState::kDraining;
  }
  rig.dispatcher.OnEndpointUpdate(list);
  rig.Request(staying, "a1").Say(Answer(200, "one"));
  rig.Hears(client, "one");
  for (Host& host : leaving) CHECK_FALSE(host.Accept());
  Settles(rig);
}

// ---- Two ends in one round ----

// Both lie in the kernel before the loop's next round, in each order. Whatever comes first: a client that is
// still there has one answer, nothing is left behind, and what must not run twice was written whole once.
TEST_CASE("two ends in one round: one answer, one outcome, and no unsafe call twice") {
  enum End { kAnswer, kError, kReset, kClose, kFin, kRst, kDrain, kGone, kAll };
  for (int first = 0; first < kAll; ++first) {
    for (int second = 0; second < kAll; ++second) {
      if (first == second || ((first == kFin || first == kRst) && (second == kFin || second == kRst)))
        continue;
      for (bool unsafe : {false, true}) {
        CAPTURE(first);
        CAPTURE(second);
        CAPTURE(unsafe);
        Rig rig(AskingEvery(10'000 * kMs));
        Host worker, other;
        rig.Know({&worker});
        rig.discovery.Watch();
        Asked(rig, "/discovery/hosts?after=41&wait_ms=0")
            .Say(Answer(200, R"({"rev":41,"all":false,"targets":[]})"));
        Peer& watch = Asked(rig, "/discovery/hosts?after=41&wait_ms=1000");
        Peer client = rig.Client();
        client.Say(unsafe ? Pay("a1") : Check("a1"));
        Peer* at = &rig.Request(worker, "a1");
        rig.Know({&other}, EndpointList::Kind::kDelta);
        int rev = 42;
        bool left = false, ended = false;
        auto listed = [&](const char* state) {
          watch.Say(Answer(200, R"({"rev":)" + std::to_string(rev++) +
                                    R"(,"all":false,"targets":[{"uid":"w)" + std::to_string(worker.port) +
                                    R"(","endpoint":"127.0.0.1:)" + std::to_string(worker.port) +
                                    R"(","az":"here","state":")" + state + "\"}]}"));
        };
        for (int end : {first, second}) {
          if (end == kAnswer && !ended) at->Say(Answer(200, "one"));
          if (end == kError && !ended) at->Say(Answer(500));
          if (end == kReset && !ended) at->Abort(), ended = true;
          if (end == kClose && !ended) at->Close(), ended = true;
          if (end == kFin) client.Close(), left = true;
          if (end == kRst) client.Abort(), left = true;
          if (end == kDrain) listed("draining");
          if (end == kGone) listed("removed");
        }
        auto answered = [&] { return client.Has("HTTP/1.1 ") && client.Has("\r\n\r\n"); };
        bool quiet =
            !ended && (first != kAnswer && second != kAnswer) && (first != kError && second != kError);
        if (left) {
          rig.Until("its end is known", [&] { return rig.dispatcher.open_requests() == 0; });
        } else if (quiet) {  // both are the list's: the call goes on
          for (int i = 0; i < 5; ++i) rig.loop.RunOnce(0);
          at->Say(Answer(200, "one"));
          rig.Hears(client, "one");
        } else {
          rig.Until("it is answered, here or there", [&] {
            other.Accept();
            for (Peer& peer : other.peers) {
              if (!peer.Has("\r\n\r\n")) continue;
              CHECK_FALSE(unsafe);
              peer.text.clear();
              peer.Say(Answer(200, "two"));
            }
            return answered();
          });
          CHECK(client.text.find("HTTP/1.1 ", 9) == std::string::npos);
        }
        Settles(rig);
      }
    }
  }
}

// ---- The way out ----

// Guards against resetting those whom the kernel has accepted while no connection was free for them.
TEST_CASE("on the way out the listener stays until those who wait in the kernel are taken and answered") {
  Rig rig(Rules(), kBound, 2, 0);
  Host worker;
  rig.Know({&worker});
  Peer held = rig.Client();
  held.Say(Check("a1"));
  Peer& at = rig.Request(worker, "a1");
  CHECK(rig.descriptors.used() == 2);
  rig.listener.Drain(rig.loop.Now() + kBound);
  Peer waits = rig.Client();
  waits.Say("GET /up HTTP/1.1\r\n\r\n");
  rig.listener.Close();
  CHECK_FALSE(rig.listener.closed());
  at.Say(Answer(200, "one"));
  rig.Hears(held, "one");
  held.Close();
  rig.Until("the one that waited is answered", [&] {
    rig.listener.Close();
    return waits.Has("HTTP/1.1 503 ");
  });
  CHECK_FALSE(waits.reset);
  rig.Until("the listener is closed", [&] {
    rig.listener.Close();
    return rig.listener.closed();
  });
}

// Guards against a call that is still held when the platform ends the process.
TEST_CASE("what comes on the way out is answered by the time the process may be gone") {
  Rig rig;
  Host worker;
  rig.Know({&worker});
  rig.listener.Drain(rig.loop.Now() + 4'000 * kMs);
  Peer client = rig.Client();
  client.Say(Check("a1"));
  std::string text = rig.Request(worker, "a1").text;
  CHECK(std::atol(text.c_str() + text.find("Request-Timeout: ") + 17) <= 4'000 * kMs);
  rig.listener.Drain(rig.loop.Now() - 1);  // past it: refused at once
  Peer late = rig.Client();
  late.Say(Check("a2"));
  rig.Hears(late, "HTTP/1.1 503 ");
  CHECK(late.Has("Connection: close\r\n"));
}

// ---- Reload ----

// Guards against one set of settings bleeding into the next: the class's new effect binds what comes, and
// what is open keeps the old one.
TEST_CASE("a class with another effect after a reload is served by its new rules") {
  Rig rig;
  Host one, two;
  rig.Know({&one});
  Peer open = rig.Client();
  open.Say(Check("a1"));
  Peer& at = rig.Request(one, "a1");
  using balancer::Effect;
  rig.listener.Retune({"check"}, {kBound}, {Effect::kUnsafe});
  Peer old = rig.Client();
  old.Say(Check("a2"));
  rig.Hears(old, "HTTP/1.1 400 ");  // a GET does not go with it any more
  Peer client = rig.Client();
  client.Say("POST /api HTTP/1.1\r\nRequest-Id: a3\r\nRequest-Class: check\r\nContent-Length: 2\r\n\r\nhi");
  Peer& unsafe = rig.Request(one, "a3");
  rig.Know({&two}, EndpointList::Kind::kDelta);
  unsafe.Abort();
  rig.Hears(client, "HTTP/1.1 502 ");  // may have run: never again
  CHECK_FALSE(two.Accept());
  for (Peer& peer : one.peers) {
    if (peer.Has("Request-Id: a1")) peer.Abort();  // safe when it came: repeated
  }
  (void)at;
  rig.Request(two, "a1").Say(Answer(200, "one"));
  rig.Hears(open, "one");
  Settles(rig);
}

}  // namespace
}  // namespace dappletiller::testing
