#include "proxy/shared_sent_id_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

#include "proxy/environment.hpp"

namespace dappletiller {
namespace {

constexpr mode_t kOwnerOnly = 0600;
constexpr Micros kRetryDelay = 20'000;
constexpr std::size_t kMaxUnwritten = 4096;
constexpr int kMaxReadAttempts = 5;
constexpr std::size_t kBucketSize = SentIdTable::kSlotsPerBucket * sizeof(SentIdTable::Slot);
constexpr off_t kFileSize = static_cast<off_t>(SentIdTable::kBuckets * kBucketSize);

std::error_code LastError() { return {errno, std::generic_category()}; }

off_t PositionOf(RequestIdHash id) { return static_cast<off_t>(SentIdTable::BucketOf(id) * kBucketSize); }

}  // namespace

SharedSentIdFile::SharedSentIdFile(EventLoop& loop, Log& log, const std::string& proxy_name)
    : loop_(loop),
      log_(log),
      path_(TemporaryFolder() + "/dappletiller-" + proxy_name + ".sent-ids"),
      retry_(loop) {}

// Another process may do the same at the same time; what is in the file stays. The space is allocated now,
// so that later writes do not need any.
std::error_code SharedSentIdFile::Open() {
  if (file_) return {};
  FileDescriptor file(::open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kOwnerOnly));
  if (!file || ::ftruncate(file.get(), kFileSize) != 0) return LastError();
  const bool is_allocated = ::fallocate(file.get(), 0, 0, kFileSize) == 0 || errno == EOPNOTSUPP;
  if (!is_allocated) return LastError();
  file_ = std::move(file);
  return {};
}

std::optional<SharedSentIdFile::BucketCopy> SharedSentIdFile::ReadBucket(RequestIdHash id) {
  BucketCopy bucket;
  for (int i = 0; i < kMaxReadAttempts; ++i) {
    if (Open()) continue;
    const ssize_t count = ::pread(file_.get(), bucket.data(), kBucketSize, PositionOf(id));
    if (count == static_cast<ssize_t>(kBucketSize)) return bucket;
  }
  return std::nullopt;
}

bool SharedSentIdFile::Contains(RequestIdHash id) {
  const auto bucket = ReadBucket(id);
  return bucket && SentIdTable::Contains(*bucket, id, MachineNow());
}

void SharedSentIdFile::Add(RequestIdHash id) {
  if (unwritten_.size() == kMaxUnwritten) unwritten_.erase(unwritten_.begin());
  unwritten_.push_back({id, MachineNow()});
  if (!retry_.set()) WriteAll();
}

std::error_code SharedSentIdFile::Write(const Slot& entry) {
  if (const std::error_code error = Open()) return error;
  const auto bucket = ReadBucket(entry.id);
  if (!bucket) return LastError();
  const std::size_t slot = SentIdTable::SlotToReplace(*bucket);
  const off_t position = PositionOf(entry.id) + static_cast<off_t>(slot * sizeof entry);
  const ssize_t count = ::pwrite(file_.get(), &entry, sizeof entry, position);
  if (count == static_cast<ssize_t>(sizeof entry)) return {};
  return count < 0 ? LastError() : std::make_error_code(std::errc::interrupted);
}

void SharedSentIdFile::WriteAll() {
  while (!unwritten_.empty()) {
    if (const std::error_code error = Write(unwritten_.front())) {
      if (failures_++ == 0)
        log_.Info("sent ids: %s cannot be written: %s; trying again", path_.c_str(), error.message().c_str());
      retry_.Set(kRetryDelay, [this] { WriteAll(); });
      return;
    }
    unwritten_.erase(unwritten_.begin());
  }
  if (failures_ > 0) log_.Info("sent ids: %s written after %d failures", path_.c_str(), failures_);
  failures_ = 0;
}

}  // namespace dappletiller
