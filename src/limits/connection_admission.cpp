#include "limits/connection_admission.hpp"

namespace dappletiller::limits {

ConnectionAdmission::Connection* ConnectionAdmission::Find(Id id) {
  auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : &it->second;
}

void ConnectionAdmission::MarkBusy(Connection& connection) {
  if (!connection.idle) return;
  connection.idle = false;
  idle_[Index(connection.use)].erase(connection.idle_position);
}

void ConnectionAdmission::MarkIdle(Id id, Connection& connection) {
  if (connection.idle) return;
  IdleList& idle = idle_[Index(connection.use)];
  connection.idle_position = idle.insert(idle.end(), id);
  connection.idle = true;
}

void ConnectionAdmission::OnOpened(Id id, Micros now) {
  auto [it, inserted] = connections_.try_emplace(id);
  if (!inserted) return;
  it->second.opened = now;
  MarkIdle(id, it->second);
}

// New connections are listed in the order of their opening, so only those that are due are visited.
void ConnectionAdmission::EndGracePeriods(Micros now) {
  IdleList& new_connections = idle_[Index(ConnectionUse::kNew)];
  IdleList& silent = idle_[Index(ConnectionUse::kSilent)];
  while (!new_connections.empty()) {
    Connection& connection = connections_.at(new_connections.front());
    if (now - connection.opened < grace_period_) return;
    connection.use = ConnectionUse::kSilent;
    silent.splice(silent.end(), new_connections, new_connections.begin());
  }
}

void ConnectionAdmission::OnBytesReceived(Id id) {
  if (Connection* connection = Find(id)) MarkBusy(*connection);
}

void ConnectionAdmission::OnHealthCheck(Id id) {
  Connection* connection = Find(id);
  if (connection == nullptr) return;
  MarkBusy(*connection);
  // A health check does not change the use of a connection that has sent a request.
  if (HasSentNothing(connection->use)) connection->use = ConnectionUse::kHealthCheckOnly;
}

void ConnectionAdmission::OnRequest(Id id) {
  Connection* connection = Find(id);
  if (connection == nullptr) return;
  MarkBusy(*connection);
  if (!UsesSlot(connection->use)) {
    connection->use = ConnectionUse::kSingleRequest;
    ++used_slots_;
  } else {
    connection->use = ConnectionUse::kReused;
  }
}

void ConnectionAdmission::OnIdle(Id id) {
  if (Connection* connection = Find(id)) MarkIdle(id, *connection);
}

void ConnectionAdmission::OnLastResponse(Id id) {
  Connection* connection = Find(id);
  if (connection == nullptr) return;
  MarkBusy(*connection);
  if (UsesSlot(connection->use)) --used_slots_;
  connection->use = ConnectionUse::kClosing;
  MarkIdle(id, *connection);
}

void ConnectionAdmission::OnClosed(Id id) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  MarkBusy(it->second);
  if (UsesSlot(it->second.use)) --used_slots_;
  connections_.erase(it);
}

bool ConnectionAdmission::ShouldCloseAfterResponse(Id id) const {
  auto it = connections_.find(id);
  if (it == connections_.end() || !UsesSlot(it->second.use)) return false;
  if (used_slots_ <= ReusedLimit()) return false;
  return idle_count(ConnectionUse::kSingleRequest) == 0 && idle_count(ConnectionUse::kReused) == 0;
}

bool ConnectionAdmission::Offer(ConnectionUse use, const CloseCallback& close) {
  IdleList& idle = idle_[Index(use)];
  for (auto it = idle.begin(); it != idle.end();) {
    Id id = *it++;  // closing a connection invalidates only its own iterator
    if (close(id)) return true;
  }
  return false;
}

bool ConnectionAdmission::CloseOne(Micros now, const CloseCallback& close) {
  EndGracePeriods(now);
  for (std::size_t i = 0; i < kConnectionUses; ++i) {
    if (Offer(static_cast<ConnectionUse>(i), close)) return true;
  }
  return false;
}

void ConnectionAdmission::CloseExcess(const CloseCallback& close) {
  while (used_slots_ > SingleRequestLimit() && Offer(ConnectionUse::kSingleRequest, close)) {
  }
  while (used_slots_ > ReusedLimit() && Offer(ConnectionUse::kReused, close)) {
  }
}

}  // namespace dappletiller::limits
