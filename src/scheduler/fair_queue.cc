#include "scheduler/fair_queue.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace cloverbank {

namespace {

/// The waiting items of a batch and their prefix groups. Groups are numbered from 0 in the order of
/// their first items.
struct PrefixGroups {
  std::vector<std::uint32_t> items;          ///< Indexes of the items.
  std::vector<std::uint32_t> group_of_item;  ///< The group of each element of `items`.
  std::vector<std::uint32_t> sizes;          ///< Number of items of each group.
};

PrefixGroups CollectGroups(std::uint32_t item_count,
                           const std::function<std::string_view(std::uint32_t)>& prefix_key,
                           const std::function<bool(std::uint32_t)>& is_waiting) {
  PrefixGroups groups;
  std::unordered_map<std::string_view, std::uint32_t> group_of_key;
  for (std::uint32_t index = 0; index < item_count; ++index) {
    if (!is_waiting(index)) {
      continue;
    }
    const auto next_group = static_cast<std::uint32_t>(groups.sizes.size());
    const std::uint32_t group =
        group_of_key.try_emplace(prefix_key(index), next_group).first->second;
    if (group == next_group) {
      groups.sizes.push_back(0);
    }
    ++groups.sizes[group];
    groups.items.push_back(index);
    groups.group_of_item.push_back(group);
  }
  return groups;
}

}  // namespace

std::vector<OrderedItem> GroupByPrefix(
    std::uint32_t item_count, const std::function<std::string_view(std::uint32_t)>& prefix_key,
    const std::function<bool(std::uint32_t)>& is_waiting) {
  // A counting sort by group.
  const PrefixGroups groups = CollectGroups(item_count, prefix_key, is_waiting);
  std::vector<std::uint32_t> group_starts(groups.sizes.size(), 0);
  for (std::size_t group = 1; group < groups.sizes.size(); ++group) {
    group_starts[group] = group_starts[group - 1] + groups.sizes[group - 1];
  }
  std::vector<std::uint32_t> filled(groups.sizes.size(), 0);
  std::vector<OrderedItem> ordered(groups.items.size());
  for (std::size_t i = 0; i < groups.items.size(); ++i) {
    const std::uint32_t group = groups.group_of_item[i];
    const std::uint32_t position = filled[group]++;
    ordered[group_starts[group] + position] = {groups.items[i], position == 0 ? 1U : 0U};
  }
  return ordered;
}

void FairQueue::SetTenantWeight(const std::string& tenant, std::uint32_t weight) {
  weights_[tenant] = std::max<std::uint32_t>(weight, 1);
}

FairQueue::Pass FairQueue::Weight(const std::string& tenant) const {
  const auto found = weights_.find(tenant);
  return found == weights_.end() ? 1 : found->second;
}

QueuedBatchId FairQueue::AddBatch(const std::string& tenant, std::vector<std::string> backends,
                                  std::vector<OrderedItem> items) {
  last_id_ = last_id_.Next();
  Batch& batch = batches_[last_id_];
  batch.tenant = tenant;
  batch.backends = std::move(backends);
  batch.items = std::move(items);
  waiting_count_ += batch.waiting();
  if (batch.waiting() > 0) {
    Activate(last_id_, batch);
  }
  return last_id_;
}

void FairQueue::RemoveBatch(QueuedBatchId id) {
  const auto found = batches_.find(id);
  if (found == batches_.end()) {
    return;
  }
  Deactivate(id, found->second);
  waiting_count_ -= found->second.waiting();
  batches_.erase(found);
}

void FairQueue::ReturnItem(QueuedBatchId id, std::uint32_t index) {
  const auto found = batches_.find(id);
  if (found == batches_.end()) {
    return;
  }
  Batch& batch = found->second;
  const bool was_idle = batch.waiting() == 0;
  batch.returned.push_back(index);
  ++waiting_count_;
  if (was_idle) {
    Activate(id, batch);
  }
}

void FairQueue::SetBackends(QueuedBatchId id, std::vector<std::string> backends) {
  const auto found = batches_.find(id);
  if (found == batches_.end() || found->second.backends == backends) {
    return;
  }
  Deactivate(id, found->second);
  found->second.backends = std::move(backends);
  if (found->second.waiting() > 0) {
    Activate(id, found->second);
  }
}

bool FairQueue::HasWaiting(const std::string& backend) const {
  const auto found = backends_.find(backend);
  return found != backends_.end() && !found->second.order.empty();
}

void FairQueue::Activate(QueuedBatchId id, Batch& batch) {
  for (const std::string& name : batch.backends) {
    BackendQueue& backend = backends_[name];
    TenantQueue& tenant = backend.tenants[batch.tenant];
    if (tenant.batches.empty()) {
      // A tenant that was idle starts at the present virtual time, so it cannot claim the service
      // that it did not use meanwhile.
      tenant.pass = std::max(tenant.pass, backend.virtual_time);
      backend.order.insert({tenant.pass, batch.tenant});
    }
    batch.pass = std::max(batch.pass, tenant.virtual_time);
  }
  for (const std::string& name : batch.backends) {
    backends_[name].tenants[batch.tenant].batches.insert({batch.pass, id});
  }
}

void FairQueue::Deactivate(QueuedBatchId id, const Batch& batch) {
  for (const std::string& backend : batch.backends) {
    DeactivateAt(backend, id, batch);
  }
}

void FairQueue::DeactivateAt(const std::string& name, QueuedBatchId id, const Batch& batch) {
  const auto backend = backends_.find(name);
  if (backend == backends_.end()) {
    return;
  }
  const auto tenant = backend->second.tenants.find(batch.tenant);
  if (tenant == backend->second.tenants.end() ||
      tenant->second.batches.erase({batch.pass, id}) == 0 || !tenant->second.batches.empty()) {
    return;
  }
  backend->second.order.erase({tenant->second.pass, batch.tenant});
}

std::vector<PickedItem> FairQueue::Pick(const std::string& backend_name, std::size_t limit) {
  std::vector<PickedItem> picked;
  const auto found = backends_.find(backend_name);
  if (found == backends_.end()) {
    return picked;
  }
  BackendQueue& backend = found->second;
  while (picked.size() < limit && !backend.order.empty()) {
    const std::string tenant_name = backend.order.begin()->name;
    TenantQueue& tenant = backend.tenants[tenant_name];
    backend.virtual_time = tenant.pass;
    const QueuedBatchId id = tenant.batches.begin()->id;
    Batch& batch = batches_[id];
    tenant.virtual_time = batch.pass;
    Deactivate(id, batch);
    const std::size_t taken =
        PopRun(id, batch, std::min(limit - picked.size(), kMaximumRunLength), &picked);
    waiting_count_ -= taken;
    batch.pass += taken * kPassScale;
    const Pass charge = taken * kPassScale / Weight(tenant_name);
    if (!tenant.batches.empty()) {
      backend.order.erase({tenant.pass, tenant_name});
      backend.order.insert({tenant.pass + charge, tenant_name});
    }
    tenant.pass += charge;
    if (batch.waiting() > 0) {
      Activate(id, batch);
    }
  }
  return picked;
}

std::size_t FairQueue::PopRun(QueuedBatchId id, Batch& batch, std::size_t limit,
                              std::vector<PickedItem>* picked) {
  std::size_t taken = 0;
  while (taken < limit && !batch.returned.empty()) {
    picked->push_back({id, batch.returned.front()});
    batch.returned.pop_front();
    ++taken;
  }
  if (taken > 0) {
    return taken;
  }
  do {
    picked->push_back({id, batch.items[batch.next].index});
    ++batch.next;
    ++taken;
  } while (taken < limit && batch.next < batch.items.size() &&
           batch.items[batch.next].starts_group == 0);
  return taken;
}

}  // namespace cloverbank
