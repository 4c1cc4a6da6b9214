#include "membership/membership.hpp"

#include <algorithm>
#include <utility>

#include "membership/fingerprint.hpp"

namespace dappletiller::membership {

Membership::Membership(Settings settings, std::uint64_t seed, TestFaults faults)
    : state_(std::move(settings), faults, seed),
      transmitter_(state_),
      prober_(state_, transmitter_),
      anti_entropy_(state_, transmitter_),
      transitions_(state_, anti_entropy_),
      verifier_(state_, prober_),
      detector_(state_, transmitter_, prober_, transitions_, verifier_),
      name_conflict_(state_, transmitter_, prober_, unknown_senders_),
      gossip_(state_, transitions_, detector_, verifier_, name_conflict_) {
  std::erase(state_.settings.seeds, state_.settings.address);
}

// ---- Time ----

std::vector<Outgoing> Membership::Start(TimePoint now) {
  last_call_ = now;
  detector_.ScheduleProbes(now);
  next_gossip_ = now + state_.RandomBelow(state_.settings.gossip_interval);
  anti_entropy_.Start(now);
  detector_.ScheduleDeadRetries(now);
  name_conflict_.Start(now);
  next_seed_contact_ = now;
  state_.broadcasts.Enqueue(state_.self);
  return Tick(now);
}

std::vector<Outgoing> Membership::Tick(TimePoint now) {
  CatchUp(now);
  if (is_leaving()) {
    Gossip(now);
    return transmitter_.TakeOutgoing();
  }
  name_conflict_.Run(now);
  if (displaced()) {
    detector_.RunProbes(now);
    if (!name_conflict_.RegainName(now)) return transmitter_.TakeOutgoing();
    transitions_.ForgetJoin();
    next_seed_contact_ = now;
  }
  ContactSeeds(now);
  detector_.RunProbes(now);
  detector_.RunSuspicions(now);
  verifier_.Run(now);
  detector_.ProbeNextMember(now);
  detector_.RetryDeadMember(now);
  Gossip(now);
  anti_entropy_.Run(now);
  return transmitter_.TakeOutgoing();
}

// If ticks are far apart, this process was paused, not the others: pending timeouts are extended by the
// pause.
void Membership::CatchUp(TimePoint now) {
  const Duration gap = last_call_ == TimePoint{} ? Duration{} : now - last_call_;
  last_call_ = std::max(last_call_, now);
  if (gap <= state_.settings.pause_threshold) return;
  ++state_.counters.pauses;
  state_.health.Degrade();
  detector_.Postpone(now, gap);
  anti_entropy_.Postpone(now);
  next_gossip_ = std::max(next_gossip_, now);
  next_seed_contact_ = std::max(next_seed_contact_, now);
  constexpr int kEventThresholds = 5;  // thresholds
  if (gap < kEventThresholds * state_.settings.pause_threshold) return;
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(gap).count();
  state_.events.Add(now, EventKind::kPaused, state_.self.name,
                    "stood still for " + std::to_string(milliseconds) + " ms");
}

// Probes all seeds until a member is known. After that, occasionally probes a seed that is not the address of
// a living member: processes that started during a partition know only each other, and both sides meet at a
// seed.
void Membership::ContactSeeds(TimePoint now) {
  if (now < next_seed_contact_) return;
  const std::vector<std::string>& seeds = state_.settings.seeds;
  if (!transitions_.joined() || living() == 0) {
    next_seed_contact_ = now + kSeedIntervalUntilJoined;
    for (const std::string& seed : seeds) prober_.Start(now, ProbePurpose::kSeed, {{}, seed, 0});
    return;
  }
  next_seed_contact_ = now + kSeedInterval;
  if (seeds.empty()) return;
  const std::string& seed = seeds[state_.random(seeds.size())];
  if (!state_.members.HasLivingAt(seed)) prober_.Start(now, ProbePurpose::kSeed, {{}, seed, 0});
}

void Membership::Gossip(TimePoint now) {
  if (now < next_gossip_) return;
  next_gossip_ = now + state_.settings.gossip_interval;
  if (state_.broadcasts.size() == 0) return;
  const auto fanout = static_cast<std::size_t>(state_.settings.gossip_fanout);
  for (const Member* member : state_.probe_order.PickAlive(fanout)) {
    Message gossip = MakeGossip();
    if (gossip.updates.empty()) return;
    transmitter_.SendTo(*member, std::move(gossip));
  }
}

Message Membership::MakeGossip() {
  Message gossip = transmitter_.Make(MessageKind::kGossip);
  transmitter_.PiggybackUpdates(&gossip);
  return gossip;
}

// ---- Messages ----

ReceiveResult Membership::Receive(TimePoint now, const Message& message) {
  const MessageVerdict verdict = Process(now, message);
  return {verdict, transmitter_.TakeOutgoing()};
}

StateRequestResult Membership::ReceiveStateRequest(TimePoint now, const Message& message) {
  const MessageVerdict verdict = Process(now, message);
  StateRequestResult result;
  result.outgoing = transmitter_.TakeOutgoing();
  const bool from_member = !displaced() && message.sender.name != state_.self.name;
  if (verdict != MessageVerdict::kAccepted || !from_member) return result;
  Message response = anti_entropy_.MakeStateMessage(MessageKind::kStateResponse);
  transmitter_.Stamp(message.sender.name, message.sender.boot, &response);
  result.response = std::move(response);
  return result;
}

MessageVerdict Membership::Process(TimePoint now, const Message& message) {
  CatchUp(now);
  ++state_.counters.received;
  if (!IsWellFormed(message) || !HasPlausibleCounters(message.sender)) {
    ++state_.counters.malformed;
    return MessageVerdict::kMalformed;
  }
  if (!IsAddressedHere(message)) {
    ++state_.counters.misaddressed;
    return MessageVerdict::kMisaddressed;
  }
  if (message.sender.name == state_.self.name) {
    name_conflict_.OnMessage(now, message);
    return MessageVerdict::kAccepted;
  }
  if (displaced()) return MessageVerdict::kAccepted;
  return ProcessFromOther(now, message);
}

bool Membership::IsAddressedHere(const Message& message) const {
  if (!message.recipient.empty() && message.recipient != state_.self.name) return false;
  // A ping for an earlier boot of this process is answered, so that its sender learns of the current boot.
  const bool any_start = message.recipient_boot == 0 || message.kind == MessageKind::kPing;
  return any_start || message.recipient_boot == state_.self.boot;
}

MessageVerdict Membership::ProcessFromOther(TimePoint now, const Message& message) {
  const MemberRecord& sender = message.sender;
  Member* member = state_.members.Find(sender.name);
  const bool known =
      member != nullptr && member->record.boot == sender.boot && member->record.address == sender.address;
  // An answer to an open probe is new regardless of its number, since only the recipient of the ping can send
  // it. The window restarts there, so that forged high numbers cannot exclude a member permanently.
  const bool answers_probe = known && AnswersOpenProbe(message);
  const bool fresh = known ? member->replay_window.Accept(message.number) : unknown_senders_.Accept(message);
  if (!fresh && !answers_probe) {
    ++state_.counters.replayed;
    return MessageVerdict::kReplayed;
  }
  if (answers_probe && message.number < member->replay_window.highest()) {
    member->replay_window.RestartAt(message.number);
  }
  if (known) {
    NoteSender(now, sender, member);
  } else {
    NoteUnknownSender(now, sender, member);
  }
  const std::uint64_t sender_group = std::uint64_t{1} << (Fingerprint(sender.name, sender.boot) % 64);
  for (const MemberRecord& update : message.updates) {
    state_.broadcasts.NoteReceived(update, sender_group, state_.MaxTransmissions());
    gossip_.OnGossip(now, sender.name, update);
  }
  switch (message.kind) {
    case MessageKind::kPing:
      OnPing(message);
      break;
    case MessageKind::kAck:
      OnAck(now, known, message);
      break;
    case MessageKind::kPingRequest:
      if (known) OnPingRequest(now, message);
      break;
    case MessageKind::kNack:
      OnNack(message);
      break;
    case MessageKind::kGossip:
    case MessageKind::kStateRequest:
    case MessageKind::kStateResponse:
    case MessageKind::kApplication:
      break;
  }
  return MessageVerdict::kAccepted;
}

bool Membership::AnswersOpenProbe(const Message& message) {
  if (message.kind != MessageKind::kAck) return false;
  auto probe = prober_.FindAnswered(message.sequence);
  return probe != prober_.open().end() && probe->second.name == message.sender.name;
}

// A message of a known member: not an answer to a probe, but the member's own statement.
void Membership::NoteSender(TimePoint now, const MemberRecord& sender, Member* member) {
  member->last_heard = now;
  const MemberState before = member->record.state;
  const bool later = sender.incarnation > member->record.incarnation;
  if (sender.state == MemberState::kLeft) {
    if (before != MemberState::kLeft) {
      transitions_.MarkLeft(now, sender.incarnation, "by its own word", member);
    }
  } else if (!IsLiving(before)) {
    if (before == MemberState::kDead || later) verifier_.Enqueue(now, sender);
  } else if (later) {
    gossip_.OnGossip(now, sender.name, sender);
  }
}

void Membership::NoteUnknownSender(TimePoint now, const MemberRecord& sender, const Member* earlier_start) {
  if (sender.state == MemberState::kLeft) return;
  if (earlier_start == nullptr || sender.boot > earlier_start->record.boot) verifier_.Enqueue(now, sender);
}

void Membership::OnPing(const Message& message) {
  Message ack = transmitter_.Make(MessageKind::kAck);
  ack.sequence = message.sequence;
  // A member whose own record differs from the known one is informed.
  const MemberRecord& sender = message.sender;
  const Member* member = state_.members.Find(sender.name);
  if (member != nullptr) {
    const MemberRecord& known = member->record;
    const bool accused =
        known.boot == sender.boot && known.state != MemberState::kAlive && sender.state != MemberState::kLeft;
    if (known.boot > sender.boot) {
      ack.updates.push_back(known);
    } else if (accused) {
      ack.updates.push_back(MakeClaim(known, known.state, state_.self.name));
    }
  }
  transmitter_.PiggybackUpdates(&ack);
  transmitter_.Send(sender.address, sender.name, sender.boot, std::move(ack));
}

void Membership::OnAck(TimePoint now, bool sender_is_known, const Message& message) {
  auto it = prober_.FindAnswered(message.sequence);
  if (it == prober_.open().end()) return;
  const Probe probe = it->second;
  const bool by_helper = !message.target.empty();
  const bool fits = by_helper ? probe.helpers_asked && message.target == probe.name &&
                                    !message.updates.empty() && message.updates[0].name == message.target
                              : probe.name.empty() || probe.name == message.sender.name;
  if (!fits) return;
  prober_.open().erase(it);
  if (probe.purpose == ProbePurpose::kRelay) {
    RelayAck(probe, message.sender);
    return;
  }
  if (!by_helper) {
    state_.health.AddRoundTrip(now - Prober::AnsweredPing(probe, message.sequence));
    state_.health.Improve();
    if (sender_is_known) anti_entropy_.ReconcileWith(now, message);
  }
  transitions_.ConfirmAlive(now, by_helper ? message.updates[0] : message.sender);
}

void Membership::RelayAck(const Probe& probe, const MemberRecord& answerer) {
  Message ack;
  ack.kind = MessageKind::kAck;
  ack.sequence = probe.requester_sequence;
  ack.target = answerer.name;
  ack.updates.push_back(answerer);
  transmitter_.Send(probe.requester_address, {}, 0, std::move(ack));
}

void Membership::OnPingRequest(TimePoint now, const Message& message) {
  const bool usable = !message.target.empty() && !message.target_address.empty();
  if (!usable || message.target == state_.self.name) return;
  Probe* probe = prober_.Start(now, ProbePurpose::kRelay, {message.target, message.target_address, 0});
  if (probe == nullptr) return;
  probe->requester_address = message.sender.address;
  probe->requester_sequence = message.sequence;
}

void Membership::OnNack(const Message& message) {
  auto probe = prober_.open().find(message.sequence);
  if (probe != prober_.open().end()) ++probe->second.nacks;
}

// ---- Own record ----

std::vector<Outgoing> Membership::Leave(TimePoint now) {
  if (is_leaving()) return {};
  leaving_since_ = now;
  gossip_.StopRefuting();
  ++state_.self.incarnation;
  state_.self.state = MemberState::kLeft;
  state_.broadcasts.Enqueue(state_.self);
  for (const Member* member : state_.probe_order.PickAlive(kLeaveFanout)) {
    transmitter_.SendTo(*member, MakeGossip());
  }
  return transmitter_.TakeOutgoing();
}

bool Membership::ForceRemove(TimePoint now, const std::string& name) {
  Member* member = state_.members.Find(name);
  if (member == nullptr || member->record.state != MemberState::kDead) return false;
  transitions_.MarkLeft(now, member->record.incarnation, "reaped by an operator", member);
  return true;
}

bool Membership::Publish(const std::string& key, const std::string& value) {
  if (key.empty() || key.size() > kMaxKeyLength || value.size() > kMaxValueLength) return false;
  std::vector<Attribute>& attributes = state_.self.attributes;
  auto attribute = std::find_if(attributes.begin(), attributes.end(),
                                [&](const Attribute& each) { return each.key == key; });
  if (attribute == attributes.end()) {
    if (attributes.size() >= kMaxAttributes) return false;
    attributes.push_back({key, 1, value});
  } else {
    if (attribute->value == value) return true;
    attribute->value = value;
    ++attribute->version;
  }
  // Others accept a record only with a later incarnation.
  ++state_.self.incarnation;
  state_.broadcasts.Enqueue(state_.self);
  return true;
}

void Membership::UpdateSettings(const Settings& settings) {
  Settings updated = settings;
  updated.name = state_.settings.name;
  updated.address = state_.settings.address;
  updated.boot = state_.settings.boot;
  updated.zone = state_.settings.zone;
  updated.program = state_.settings.program;
  std::erase(updated.seeds, updated.address);
  state_.settings = std::move(updated);
}

std::optional<Outgoing> Membership::MakeApplicationMessage(const std::string& recipient, std::string topic,
                                                           std::string body) {
  const Member* member = state_.members.Find(recipient);
  if (displaced() || member == nullptr || !IsLiving(member->record.state)) return std::nullopt;
  Message message;
  message.kind = MessageKind::kApplication;
  message.topic = std::move(topic);
  message.body = std::move(body);
  transmitter_.Stamp(recipient, member->record.boot, &message);
  ++state_.counters.sent;
  return Outgoing{member->record.address, std::move(message), false};
}

}  // namespace dappletiller::membership
