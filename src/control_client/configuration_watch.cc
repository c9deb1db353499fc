#include "control_client/configuration_watch.h"

#include <algorithm>
#include <string>

namespace cloverbank {
namespace {

template <typename Named>
bool NameLess(const Named& object, const std::string& name) {
  return object.name() < name;
}

/// Replaces the element that has the name of `object`, or inserts `object` at its place in `list`,
/// which is sorted by name.
template <typename List, typename Named>
void UpsertByName(const Named& object, List* list) {
  auto position = std::lower_bound(list->begin(), list->end(), object.name(), NameLess<Named>);
  if (position != list->end() && position->name() == object.name()) {
    *position = object;
    return;
  }
  const auto index = position - list->begin();
  *list->Add() = object;
  // Rotates the pointers instead of the elements, since a list can hold thousands of tenants.
  std::rotate(list->pointer_begin() + index, list->pointer_end() - 1, list->pointer_end());
}

/// Inserts `object` unless `list`, which is sorted by name, has an element with the same name.
template <typename List, typename Named>
void InsertByNameIfAbsent(const Named& object, List* list) {
  const auto position =
      std::lower_bound(list->begin(), list->end(), object.name(), NameLess<Named>);
  if (position == list->end() || position->name() != object.name()) {
    UpsertByName(object, list);
  }
}

template <typename List>
void RemoveByName(const std::string& name, List* list) {
  const auto end = std::remove_if(list->begin(), list->end(),
                                  [&name](const auto& object) { return object.name() == name; });
  list->erase(end, list->end());
}

}  // namespace

std::string_view UpdateOutcomeName(UpdateOutcome outcome) {
  switch (outcome) {
    case UpdateOutcome::kUnchanged:
      return "nothing";
    case UpdateOutcome::kApplied:
      return "taken";
    case UpdateOutcome::kGap:
      return "gap";
    case UpdateOutcome::kOlder:
      return "older";
  }
  return "unknown";
}

bool ApplyChange(const proto::ConfigurationChange& change,
                 proto::RoutingConfiguration* configuration) {
  switch (change.change_case()) {
    case proto::ConfigurationChange::kSetRoute:
      UpsertByName(change.set_route(), configuration->mutable_routes());
      return true;
    case proto::ConfigurationChange::kRemoveRoute:
      RemoveByName(change.remove_route(), configuration->mutable_routes());
      return true;
    case proto::ConfigurationChange::kSetZone:
      UpsertByName(change.set_zone(), configuration->mutable_zones());
      return true;
    case proto::ConfigurationChange::kRemoveZone:
      RemoveByName(change.remove_zone(), configuration->mutable_zones());
      return true;
    case proto::ConfigurationChange::kSetTenant:
      UpsertByName(change.set_tenant(), configuration->mutable_tenants());
      return true;
    case proto::ConfigurationChange::kRemoveTenant:
      RemoveByName(change.remove_tenant(), configuration->mutable_tenants());
      return true;
    case proto::ConfigurationChange::kSetBatch:
      *configuration->mutable_batch() = change.set_batch();
      return true;
    case proto::ConfigurationChange::kSetBackend:
      UpsertByName(change.set_backend(), configuration->mutable_backends());
      return true;
    case proto::ConfigurationChange::kRemoveBackend:
      RemoveByName(change.remove_backend(), configuration->mutable_backends());
      return true;
    case proto::ConfigurationChange::kSetDocument:
      *configuration->mutable_document() = change.set_document();
      return true;
    case proto::ConfigurationChange::kEnsureZone:
      InsertByNameIfAbsent(change.ensure_zone(), configuration->mutable_zones());
      return true;
    case proto::ConfigurationChange::CHANGE_NOT_SET:
      return false;
  }
  return false;
}

ConfigurationVersion ConfigurationWatch::VersionToReport() const {
  return full_update_needed_ ? ConfigurationVersion() : version();
}

UpdateOutcome ConfigurationWatch::Apply(const proto::ConfigurationUpdate& update) {
  return update.has_full() ? ApplyFull(update.full()) : ApplyDelta(update);
}

UpdateOutcome ConfigurationWatch::ApplyFull(const proto::RoutingConfiguration& full) {
  full_update_needed_ = false;
  if (full.version() < configuration_.version()) {
    return UpdateOutcome::kOlder;
  }
  if (full.version() == configuration_.version()) {
    return UpdateOutcome::kUnchanged;
  }
  configuration_ = full;
  return UpdateOutcome::kApplied;
}

UpdateOutcome ConfigurationWatch::ApplyDelta(const proto::ConfigurationUpdate& update) {
  if (update.to_version() < configuration_.version()) {
    return UpdateOutcome::kOlder;
  }
  if (update.to_version() == configuration_.version()) {
    return UpdateOutcome::kUnchanged;
  }
  if (update.from_version() != configuration_.version()) {
    full_update_needed_ = true;
    return UpdateOutcome::kGap;
  }
  // Every change is checked before the first one is applied: a refused delta must leave the
  // configuration as it was, and otherwise a copy would be needed to roll back.
  const bool all_known =
      std::all_of(update.changes().begin(), update.changes().end(),
                  [](const proto::ConfigurationChange& change) {
                    return change.change_case() != proto::ConfigurationChange::CHANGE_NOT_SET;
                  });
  if (!all_known) {
    full_update_needed_ = true;
    return UpdateOutcome::kGap;
  }
  for (const proto::ConfigurationChange& change : update.changes()) {
    ApplyChange(change, &configuration_);
  }
  configuration_.set_version(update.to_version());
  configuration_.set_label(update.label());
  full_update_needed_ = false;
  return UpdateOutcome::kApplied;
}

}  // namespace cloverbank
