#include "replicas/shared_list_reader.h"

#include <algorithm>
#include <utility>

#include "base/checksum.h"
#include "runtime/typed_peer.h"

namespace cloverbank {
namespace {

constexpr std::string_view kMethod = "gateway.GetReplicaList";
/// How long a request waits at a source of the same zone for the source's next list.
constexpr Duration kLongPollTime = milliseconds(1100);
/// The same for a source of another zone. It is shorter, so that the loss of such a source is
/// noticed while the gateways of this zone still wait for this one.
constexpr Duration kRemoteLongPollTime = milliseconds(500);
/// The same for the first list, at a source of the same zone and of another. A source may have
/// started at the same time, and a source of the same zone may itself wait for one of another zone.
constexpr Duration kFirstLongPollTime = milliseconds(600);
constexpr Duration kFirstRemoteLongPollTime = milliseconds(300);
/// Added to the wait at the source for the deadline of the call.
constexpr Duration kRoundTripAllowance = milliseconds(250);
/// A list that was read from the platform longer ago is not accepted from a source.
constexpr Duration kMaximumAge = milliseconds(1600);
/// The same for a response to a long poll that reports the list as unchanged. A source responds
/// when it has read the list again, so an older list means that the source is itself waiting. A
/// gateway whose own list is older sends no long poll.
constexpr Duration kMaximumLongPollAge = milliseconds(600);
/// How long a source that failed is skipped.
constexpr Duration kSourceBackoff = seconds(10);
/// How long a gateway that has just started waits for the coordinators to name its sources. Before
/// that it has no configuration either, and serves no calls.
constexpr Duration kSourcesTimeout = seconds(5);
constexpr Duration kSourcesCheckInterval = milliseconds(50);

/// @return an id of the list's content without its version; never 0.
std::uint64_t ContentId(proto::ReplicaList list) {
  list.clear_version();
  const std::uint64_t checksum = Checksum(list.SerializeAsString());
  return checksum == 0 ? 1 : checksum;
}

std::uint32_t ToMilliseconds(Duration duration) {
  return static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(duration).count());
}

}  // namespace

SharedListReader::SharedListReader(Environment& environment, Sources sources,
                                   std::unique_ptr<ReplicaListReader> platform)
    : environment_(environment), sources_(std::move(sources)), platform_(std::move(platform)) {
  ServePeer<proto::GetReplicaListRequest, proto::GetReplicaListResponse>(
      environment_, kMethod,
      [this, alive = std::weak_ptr<bool>(alive_)](const proto::GetReplicaListRequest& request,
                                                  const std::string& address, Reply reply) {
        if (alive.expired()) {
          reply(Status(StatusCode::kUnavailable, "the gateway is stopping"));
          return;
        }
        Serve(request, address, std::move(reply));
      });
}

SharedListReader::~SharedListReader() {
  environment_.CancelTimer(timer_);
  for (const PendingRequest& pending : pending_) {
    environment_.CancelTimer(pending.timer);
  }
}

void SharedListReader::Read(Duration deadline, std::function<void(ListReadResult)> done) {
  done_ = std::move(done);
  deadline_ = deadline;
  if (sources_().has_value()) {
    RequestFromSource();
  } else {
    WaitForSources();
  }
}

void SharedListReader::WaitForSources() {
  if (sources_().has_value()) {
    RequestFromSource();
    return;
  }
  if (waited_for_sources_ >= kSourcesTimeout) {
    ReadPlatform();
    return;
  }
  waited_for_sources_ += kSourcesCheckInterval;
  timer_ = environment_.ScheduleAfter(kSourcesCheckInterval, [this] { WaitForSources(); });
}

std::optional<ListSource> SharedListReader::NextSource() const {
  for (const ListSource& source : sources_().value_or(std::vector<ListSource>())) {
    const auto backoff = backoff_until_.find(source.endpoint);
    if (backoff == backoff_until_.end() || environment_.Now() >= backoff->second) {
      return source;
    }
  }
  return std::nullopt;
}

Duration SharedListReader::LongPollTimeAt(const ListSource& source) const {
  if (list_id_ == 0) {
    return source.in_zone ? kFirstLongPollTime : kFirstRemoteLongPollTime;
  }
  if (!long_polling_) {
    return Duration::zero();
  }
  return source.in_zone ? kLongPollTime : kRemoteLongPollTime;
}

void SharedListReader::RequestFromSource() {
  const std::optional<ListSource> source = NextSource();
  if (!source.has_value()) {
    ReadPlatform();
    return;
  }
  pending_source_ = source->endpoint;
  long_polling_ = list_id_ != 0 && environment_.Now() - read_at_ <= kMaximumLongPollAge;
  const Duration long_poll_time = LongPollTimeAt(*source);
  proto::GetReplicaListRequest request;
  request.set_known_id(list_id_);
  request.set_hold_ms(ToMilliseconds(long_poll_time));
  environment_.metrics().Increment("gateway_replica_list_shared_reads_total", {});
  CallPeer<proto::GetReplicaListResponse>(
      environment_, *pending_source_, kMethod, request, long_poll_time + kRoundTripAllowance,
      [this, alive = std::weak_ptr<bool>(alive_),
       sent = environment_.Now()](const Result<proto::GetReplicaListResponse>& response) {
        if (!alive.expired()) {
          OnResponse(sent, response);
        }
      });
}

void SharedListReader::OnResponse(TimePoint sent,
                                  const Result<proto::GetReplicaListResponse>& response) {
  const Endpoint source = *std::exchange(pending_source_, std::nullopt);
  if (response.ok() && !response->failing()) {
    const Duration maximum_age =
        long_polling_ && !response->has_list() ? kMaximumLongPollAge : kMaximumAge;
    if (milliseconds(response->read_ms_ago()) <= maximum_age) {
      HandleResponse(sent, *response);
    } else {
      ReadPlatform();
    }
    return;
  }
  backoff_until_[source] = environment_.Now() + kSourceBackoff;
  // A source that did not respond, or that is failing itself, has cost time already. So a second
  // source is tried only if the first could not be reached.
  const bool unreachable = !response.ok() && response.status().code() == StatusCode::kUnavailable;
  if (unreachable) {
    RequestFromSource();
  } else {
    ReadPlatform();
  }
}

void SharedListReader::HandleResponse(TimePoint sent,
                                      const proto::GetReplicaListResponse& response) {
  ListReadResult result;
  result.next_is_long_poll = true;
  // A lower bound, even if this process was frozen before it handled the response.
  result.read_at =
      sent + milliseconds(response.waited_ms()) - Duration(milliseconds(response.read_ms_ago()));
  if (response.has_list()) {
    result.outcome = ListReadOutcome::kRead;
    result.list = response.list();
    result.list.set_version(++version_);
    candidate_ = result.list;
    candidate_read_at_ = *result.read_at;
    candidate_from_platform_ = false;
  } else {
    result.outcome = ListReadOutcome::kUnchanged;
    Publish(*result.read_at);
  }
  Finish(std::move(result));
}

void SharedListReader::ReadPlatform() {
  platform_->Read(deadline_, [this, sent = environment_.Now()](ListReadResult result) {
    HandlePlatformResult(sent, std::move(result));
  });
}

void SharedListReader::HandlePlatformResult(TimePoint sent, ListReadResult result) {
  result.read_at = sent;
  if (result.outcome == ListReadOutcome::kRead) {
    result.list.set_version(++version_);
    candidate_ = result.list;
    candidate_read_at_ = sent;
    candidate_from_platform_ = true;
  } else if (result.outcome == ListReadOutcome::kUnchanged && list_id_ != 0) {
    Publish(sent);
  } else {
    failing_ = true;
    RespondToPending();
  }
  Finish(std::move(result));
}

void SharedListReader::Finish(ListReadResult result) {
  std::exchange(done_, nullptr)(std::move(result));
}

void SharedListReader::Accepted() {
  if (candidate_from_platform_) {
    platform_->Accepted();
  }
  list_ = std::move(candidate_);
  list_id_ = ContentId(list_);
  Publish(candidate_read_at_);
}

void SharedListReader::Publish(TimePoint read_at) {
  read_at_ = read_at;
  failing_ = false;
  RespondToPending();
}

void SharedListReader::RespondToPending() {
  for (const PendingRequest& pending : std::exchange(pending_, {})) {
    environment_.CancelTimer(pending.timer);
    Respond(pending);
  }
}

bool SharedListReader::IsRecent() const {
  return list_id_ != 0 && environment_.Now() - read_at_ <= kMaximumAge;
}

void SharedListReader::Serve(const proto::GetReplicaListRequest& request,
                             const std::string& address, Reply reply) {
  if (pending_source_.has_value() && pending_source_->host == address) {
    reply(Status(StatusCode::kUnavailable,
                 "this gateway is waiting for the replica list of the requesting gateway"));
    return;
  }
  PendingRequest pending{request.known_id(), environment_.Now(), 0, std::move(reply)};
  if (IsRecent() && pending.known_id != list_id_) {
    Respond(pending);
    return;
  }
  const auto position = pending_.insert(pending_.end(), std::move(pending));
  const Duration long_poll_time =
      std::min<Duration>(milliseconds(request.hold_ms()), kLongPollTime);
  position->timer = environment_.ScheduleAfter(long_poll_time, [this, position] {
    const PendingRequest expired = std::move(*position);
    pending_.erase(position);
    Respond(expired);
  });
}

void SharedListReader::Respond(const PendingRequest& pending) const {
  if (list_id_ == 0) {
    pending.reply(Status(StatusCode::kUnavailable, "this gateway has not read a replica list yet"));
    return;
  }
  proto::GetReplicaListResponse response;
  response.set_waited_ms(ToMilliseconds(environment_.Now() - pending.arrival));
  response.set_failing(failing_);
  response.set_read_ms_ago(ToMilliseconds(environment_.Now() - read_at_));
  if (pending.known_id != list_id_) {
    *response.mutable_list() = list_;
  }
  pending.reply(std::move(response));
}

}  // namespace cloverbank
