#include "control_client/coordinator_directory.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

namespace cloverbank {
namespace {

bool Contains(const std::vector<Endpoint>& list, const Endpoint& endpoint) {
  return std::find(list.begin(), list.end(), endpoint) != list.end();
}

}  // namespace

CoordinatorDirectory::CoordinatorDirectory(std::vector<Endpoint> seeds)
    : seeds_(std::move(seeds)), rotation_(seeds_) {}

void CoordinatorDirectory::UpdateMembers(std::vector<Endpoint> members) {
  if (members.empty()) {
    return;
  }
  for (const Endpoint& seed : seeds_) {
    if (!Contains(members, seed)) {
      members.push_back(seed);
    }
  }
  if (members != rotation_) {
    rotation_ = std::move(members);
    next_ = 0;
  }
}

void CoordinatorDirectory::RecordRedirect(const Endpoint& from, const Endpoint& hint) {
  RecordFailure(from);
  if (hint.valid() && hint != from) {
    leader_ = hint;
  }
}

void CoordinatorDirectory::RecordFailure(const Endpoint& endpoint) {
  if (leader_ == endpoint) {
    leader_.reset();
  }
  if (!rotation_.empty() && rotation_[next_] == endpoint) {
    next_ = (next_ + 1) % rotation_.size();
  }
}

std::vector<Endpoint> CoordinatorDirectory::ListCandidates() const {
  std::vector<Endpoint> order;
  if (leader_) {
    order.push_back(*leader_);
  }
  for (std::size_t step = 0; step < rotation_.size(); ++step) {
    const Endpoint& endpoint = rotation_[(next_ + step) % rotation_.size()];
    if (!Contains(order, endpoint)) {
      order.push_back(endpoint);
    }
  }
  return order;
}

std::vector<Endpoint> ToEndpoints(
    const google::protobuf::RepeatedPtrField<proto::Endpoint>& messages) {
  std::vector<Endpoint> endpoints;
  for (const proto::Endpoint& message : messages) {
    endpoints.push_back({message.host(), static_cast<std::uint16_t>(message.port())});
  }
  return endpoints;
}

Endpoint ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return {};
  }
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end) {
    return {};
  }
  return {text.substr(0, colon), port};
}

}  // namespace cloverbank
