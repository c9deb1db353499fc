#include "batch_work/batch_validation.h"

#include <algorithm>
#include <charconv>
#include <unordered_map>
#include <utility>

#include "routes/route_match.h"

namespace cloverbank {
namespace {

constexpr std::size_t kMaxProblems = 100;

/// Collects up to `kMaxProblems` problems and counts the others.
class ProblemList {
 public:
  void Add(const std::string& field, const std::string& problem) {
    if (problems_.size() < kMaxProblems) {
      problems_.push_back(field + ": " + problem);
    } else {
      ++omitted_;
    }
  }
  std::vector<std::string> Take() {
    if (omitted_ > 0) {
      problems_.push_back("and " + std::to_string(omitted_) + " more");
    }
    return std::move(problems_);
  }

 private:
  std::vector<std::string> problems_;
  std::size_t omitted_ = 0;
};

/// @return the object of that name, or nullptr.
template <typename List>
auto FindNamed(const List& list, const std::string& name) {
  const auto found = std::find_if(list.begin(), list.end(),
                                  [&name](const auto& object) { return object.name() == name; });
  return found == list.end() ? nullptr : &*found;
}

void CheckName(const std::string& field, const std::string& name, ProblemList& problems) {
  if (name.empty()) {
    problems.Add(field, "is missing");
  } else if (name.size() > kMaximumBatchNameBytes) {
    problems.Add(field, "has " + std::to_string(name.size()) + " bytes, at most " +
                            std::to_string(kMaximumBatchNameBytes) + " are allowed");
  }
}

void CheckRoute(const std::string& name, const proto::RoutingConfiguration& configuration,
                ProblemList& problems) {
  if (name.empty()) {
    problems.Add("route", "is missing; name a route that accepts batches");
    return;
  }
  const proto::Route* route = FindRouteNamed(configuration, name);
  if (route == nullptr) {
    problems.Add("route", "there is no route \"" + name + "\"");
  } else if (!route->accepts_batches()) {
    problems.Add("route", "route \"" + name +
                              "\" does not accept batches; an operator can set "
                              "accepts_batches on it");
  }
}

void CheckTenant(const std::string& tenant, const proto::RoutingConfiguration& configuration,
                 ProblemList& problems) {
  const bool known =
      configuration.tenants().empty() || FindNamed(configuration.tenants(), tenant) != nullptr;
  if (!known) {
    problems.Add("tenant", "there is no tenant \"" + tenant + "\"");
  }
}

void CheckItems(const proto::SubmitBatch& batch, ProblemList& problems) {
  if (batch.items().empty()) {
    problems.Add("items", "is empty; a batch has at least one item");
  }
  if (batch.items_size() > kMaximumBatchItems) {
    problems.Add("items", "has " + std::to_string(batch.items_size()) + " items, at most " +
                              std::to_string(kMaximumBatchItems) + " are allowed");
    return;
  }
  std::unordered_map<std::string, int> first_use;
  for (int index = 0; index < batch.items_size(); ++index) {
    const std::string& id = batch.items(index).custom_id();
    const std::string field = "items[" + std::to_string(index) + "].custom_id";
    CheckName(field, id, problems);
    const auto [first, inserted] = first_use.emplace(id, index);
    if (!inserted && !id.empty()) {
      problems.Add(field, "\"" + id.substr(0, kMaximumBatchNameBytes) + "\" is used by items[" +
                              std::to_string(first->second) + "] already");
    }
  }
}

}  // namespace

std::vector<std::string> FindContentProblems(const proto::SubmitBatch& batch) {
  ProblemList problems;
  CheckName("tenant", batch.tenant(), problems);
  CheckName("idempotency_key", batch.idempotency_key(), problems);
  CheckItems(batch, problems);
  return problems.Take();
}

std::vector<std::string> FindBatchProblems(const proto::SubmitBatch& batch,
                                           const proto::RoutingConfiguration& configuration) {
  ProblemList problems;
  CheckName("tenant", batch.tenant(), problems);
  CheckTenant(batch.tenant(), configuration, problems);
  CheckName("idempotency_key", batch.idempotency_key(), problems);
  CheckRoute(batch.route(), configuration, problems);
  CheckItems(batch, problems);
  return problems.Take();
}

Result<PartitionId> ParseBatchPartition(const std::string& batch_id,
                                        std::uint32_t partition_count) {
  std::uint64_t partition = 0;
  const char* end = batch_id.data() + batch_id.size();
  const auto [stop, error] = std::from_chars(batch_id.data(), end, partition);
  if (error != std::errc() || stop == end || *stop != '-' || partition >= partition_count) {
    return Status(StatusCode::kNotFound, "there is no batch \"" + batch_id + "\"");
  }
  return PartitionId(partition);
}

}  // namespace cloverbank
