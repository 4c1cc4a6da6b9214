// The view that a process keeps of the fleet: who else runs, and how each is doing. SWIM (Das, Gupta,
// Motivala, DSN 2002) with Lifeguard (Dadgar, Phillips, Currey, DSN 2018); docs/design/membership.md says
// where it differs and why. In one sentence: hearsay tells only whom to ask, and nobody is dead to us on
// another's word.
//
// Pure: messages and time in; messages and changes out. No socket, clock, thread or global; randomness comes
// from the seed. Time is monotonic microseconds of the caller's. Every table is bounded (Settings). What is
// foreign, stale, replayed or out of range changes nothing and is counted. Nothing here throws.
// Not thread-safe.
#ifndef DAPPLETILLER_MEMBERSHIP_VIEW_HPP_
#define DAPPLETILLER_MEMBERSHIP_VIEW_HPP_

#include <array>
#include <bitset>
#include <cstdint>
#include <deque>
#include <map>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "membership/message.hpp"

namespace dappletiller::membership {

struct Settings {
  std::string name;     // this process: 1 to 64 printable characters
  std::string address;  // where the others reach it, "a.b.c.d:port"
  std::string zone;
  std::string program;
  std::uint64_t boot = 0;  // grows from start to start: Unix microseconds will do (only its order counts)
  std::vector<std::string> seeds;

  Micros probe_every = 500'000;      // one member is probed, out of a shuffled list
  Micros probe_wait = 200'000;       // the least wait for an answer before others are asked to try
  Micros gossip_every = 200'000;     // while there is something to tell
  Micros sync_every = 30'000'000;    // whole view with one other
  Micros suspect_least = 1'500'000;  // a suspicion's span once enough others confirm it (up to 100 members)
  int suspect_most = 4;              // times that, with no confirmation
  int indirect = 3;                  // others asked to try
  int fanout = 3;                    // members that a round of gossip goes to
  int retransmit = 4;                // times log2 of the members: how often a piece of news is told
  Micros forget_after = 259'200'000'000;  // the dead are tried for three days
  std::size_t most_members = 4096;
  std::size_t most_bytes = 1400;  // of a datagram, MAC and all
  Micros pause_limit = 400'000;   // ticks further apart than this mean that the process stood still

  // Flaws on purpose, for tests that must be able to fail (docs/membership.md, Simulated).
  bool flaw_no_refute = false;
  bool flaw_tell_forever = false;
  bool flaw_forget_dead = false;
};

struct Out {       // what the driver sends, at once
  std::string to;  // an advertised address
  Message message;
  bool stream = false;  // a whole view: over a connection, the answer comes back on it
};

enum class Event {
  kJoined,
  kAlive,
  kSuspect,
  kDead,
  kLeft,
  kRestarted,
  kForgotten,
  kTwin,
  kDisplaced,
  kBack,
  kPaused,
  kAlone
};

struct Change {  // for logs and operators
  std::uint64_t number = 0;
  Micros at = 0;
  Event event = Event::kAlive;
  std::string name;
  std::string why;
};

struct Counts {
  std::uint64_t received = 0, sent = 0, sent_bytes = 0, misaddressed = 0, replayed = 0, stale = 0,
                malformed = 0, accusations_ignored = 0, claims_ignored = 0, full = 0, probes = 0,
                probes_failed = 0, refuted = 0, pauses = 0, syncs = 0, verified = 0, false_deaths = 0,
                deaths = 0;
};

class View {
 public:
  static constexpr double kNames = 2000;  // at once, as many as a whole view may bring
  struct Member {
    Record record;
    Micros since = 0;        // in this state
    std::uint64_t mark = 0;  // its share of the digest
    Micros heard = 0;        // last word, or a helper's word of an answer
    // A suspicion.
    Micros began = 0;
    Micros checked = 0;  // when we last asked it because of that, and how often
    int checks = 0;
    std::set<std::string> accusers;
    bool leaving = false;   // said by another to have left; checked before it counts
    Micros retry_at = 0;    // dead: not asked again before
    std::uint64_t top = 0;  // the highest number seen from this boot, and those just below it
    std::bitset<256> seen;
    double tokens = 5;  // accusations that we believe it to make
    Micros tokens_at = 0;
    double names = kNames;  // names new to us that we ask after on its word
    Micros names_at = 0;
  };

  View(Settings settings, std::uint64_t seed);

  // Call Start once, Tick at least every kTick. Both may fill `out`.
  static constexpr Micros kTick = 50'000;
  void Start(Micros now, std::vector<Out>* out);
  void Tick(Micros now, std::vector<Out>* out);
  // An authentic message of this fleet and protocol. Over a stream the reply, if any, goes back on it.
  void Receive(Micros now, const Message& message, std::vector<Out>* out);
  bool ReceiveAsk(Micros now, const Message& message, Message* reply, std::vector<Out>* out);

  // Tells the others; the process may end once left() holds (within a second).
  void Leave(Micros now, std::vector<Out>* out);
  bool left(Micros now) const { return leaving_since_ != 0 && now >= leaving_since_ + kLeaveTime; }
  bool leaving() const { return leaving_since_ != 0; }
  // An operator's word that a dead one will not come back. False: it is not dead here.
  bool Reap(Micros now, const std::string& name);
  // Something versioned that the others shall know of this process. False: too long, or too many keys.
  bool Publish(const std::string& key, const std::string& value);
  // Intervals and limits may change live; name, address, boot and seeds stay.
  void Retune(const Settings& settings);

  // Stamps a message of another part of the program, to a member; false: no such living member.
  bool Address(const std::string& name, Message* message, std::string* to);

  const std::map<std::string, Member>& members() const { return members_; }
  const Record& self() const { return self_; }
  bool displaced() const { return displaced_; }
  int health() const { return awareness_; }  // 0: well; grows while this process itself seems slow or cut off
  std::size_t living() const { return living_; }  // the others that are alive or suspect
  const Counts& counts() const { return counts_; }
  const std::deque<Change>& changes() const { return changes_; }  // the last kChanges
  const Settings& settings() const { return set_; }
  std::size_t pending() const { return probes_.size(); }
  std::size_t news() const { return news_.size(); }

 private:
  static constexpr std::size_t kChanges = 1024;
  static constexpr std::size_t kMostProbes = 1024;
  static constexpr std::uint64_t kRepeats = 7;  // the bits of a sequence that tell repetitions apart
  static constexpr std::size_t kMostAsked = 4096;
  static constexpr std::size_t kMostNews = 32;  // looked at for one message
  static constexpr int kVerifyAtOnce = 64;      // a tick
  static constexpr Micros kLeaveTime = 600'000;
  static constexpr int kConfirmations = 3;
  static constexpr std::size_t kMostToConfirm = 64;
  static constexpr std::uint64_t kStep = 64;             // an incarnation may rise so much by hearsay
  static constexpr std::uint64_t kHighest = 1ULL << 62;  // of boots and incarnations
  static constexpr Micros kCheckEvery = 200'000;
  static constexpr int kChecks = 5;
  static constexpr int kWorst = 8;

  enum class Purpose { kRound, kVerify, kSeed, kCheck, kRelay, kTwin };
  struct Probe {
    Purpose purpose = Purpose::kRound;
    std::string name;  // empty: whoever is there (a seed)
    std::string address;
    std::uint64_t boot = 0;
    Micros sent = 0;
    Micros wait = 0;  // before others are asked; three times this in all
    bool asked = false;
    int helpers = 0;
    int nacks = 0;
    int tries = 0;
    int repeats = 0;
    std::array<Micros, 8> pinged{};  // when, by repetition
    // Relay: for whom.
    std::string for_address;
    std::uint64_t for_sequence = 0;
  };
  struct Claimed {  // to be asked whether it is so
    Record record;
    int tries = 0;
    Micros not_before = 0;
  };
  struct News {
    Record record;
    int told = 0;               // by us, and more for each who told us
    std::uint64_t tellers = 0;  // who did, as bits
    std::uint64_t order = 0;
  };

  using AllNews = std::map<std::string, News>;

  void CatchUp(Micros now);
  void Send(const std::string& address, const std::string& to, std::uint64_t boot, Message message,
            std::vector<Out>* out);
  std::uint64_t Ask(Micros now, Purpose purpose, const std::string& name, const std::string& address,
                    std::uint64_t boot, std::vector<Out>* out);
  void Ping(std::uint64_t sequence, const Probe& probe, std::vector<Out>* out);
  void Verify(Micros now, const Record& claimed, int tries = 0, Micros not_before = 0);
  bool MayName(Micros now, const std::string& informer);
  void Hear(Micros now, const Record& record, const std::string& informer);
  void HearOfSelf(Micros now, const Record& record, const std::string& informer);
  void Outdo(std::uint64_t boot);
  bool Fresh(Member& member, std::uint64_t number);
  bool FreshStranger(const Message& message);
  void Confirm(Micros now, const Record& record);
  void Suspect(Micros now, Member& member, const std::string& accuser);
  void Bury(Micros now, Member& member);
  void MarkLeft(Micros now, Member& member, std::uint64_t incarnation, const char* why);
  void SetState(Micros now, Member& member, State state, Event event, std::string why);
  void Tell(const Record& record);
  void ToldByAnother(const Record& record, std::uint64_t teller);
  AllNews::iterator Untell(AllNews::iterator it);
  void TellSelf();
  void Attach(Message* message, const Record* first);
  Micros SuspicionSpan(const Member& member) const;
  int Retransmissions() const;
  void RunSeeds(Micros now, std::vector<Out>* out);
  void RunProbes(Micros now, std::vector<Out>* out);
  void RunSuspicions(Micros now, std::vector<Out>* out);
  void RunRound(Micros now, std::vector<Out>* out);
  void RunDead(Micros now, std::vector<Out>* out);
  void RunGossip(Micros now, std::vector<Out>* out);
  void RunVerify(Micros now, std::vector<Out>* out);
  void RunSync(Micros now, std::vector<Out>* out);
  void AskSync(Micros now, const Member& member, std::vector<Out>* out);
  Message Whole(Kind kind);
  void MakeRoom(Micros now);
  std::uint64_t Digest() const;
  void Compare(Micros now, const Message& message);
  void Note(Micros now, Event event, const std::string& name, std::string why);
  std::vector<const Member*> Some(std::size_t n, const std::string& but);
  Micros Wait() const;
  bool Chance(double p);

  Settings set_;
  Record self_;
  pcg64 random_;
  std::map<std::string, Member> members_;
  std::vector<std::string> round_;
  std::vector<std::string> to_confirm_;  // asked out of turn
  std::size_t round_at_ = 0;
  std::map<std::uint64_t, Probe> probes_;
  std::deque<Claimed> to_verify_;
  std::set<std::string> suspects_, dead_;
  std::uint64_t digest_ = 0;  // of the living others
  Micros differs_since_ = 0;  // since when others' digests have not been ours; 0: they are
  std::size_t living_ = 0;
  std::map<std::string, Micros> asked_;  // whom we last asked when, by name and address
  AllNews news_;
  std::map<std::pair<int, std::uint64_t>, AllNews::iterator> to_tell_;  // by how often told, the latest first
  std::uint64_t news_order_ = 0;
  std::deque<Change> changes_;
  std::uint64_t change_number_ = 0;
  Counts counts_;
  std::uint64_t number_ = 0;
  std::deque<std::uint64_t> strangers_;  // what strangers' messages we have had
  std::set<std::uint64_t> strangers_set_;
  Micros last_ = 0;
  Micros started_ = 0;
  Micros next_probe_ = 0, next_gossip_ = 0, next_sync_ = 0, next_seed_ = 0, next_dead_ = 0, next_twin_ = 0;
  Micros last_sync_ = 0;
  std::string sync_with_;  // soon, with this one
  int awareness_ = 0;
  double rtt_ = 0;
  bool joined_ = false;
  bool displaced_ = false;
  std::set<std::string> later_told_by_;  // who say that a later start of our name is gone
  std::string twin_address_;
  std::uint64_t twin_boot_ = 0;
  Micros twin_heard_ = 0, twin_told_ = 0;
  Micros leaving_since_ = 0;
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_VIEW_HPP_
