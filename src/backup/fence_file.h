#pragma once
/// @file
/// The durable set of fenced node ids, kept in two files ("fenced", "fenced_copy"), each a
/// checksummed `proto::FencedNodes`. Fences are never removed, so the union of the readable files
/// counts, and one damaged file loses nothing.
///
/// Threads: the owner's event loop only.

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/status.h"
#include "storage/data_folder.h"

namespace cloverbank {

class FenceFile {
 public:
  explicit FenceFile(DataFolder& folder) : folder_(folder) {}

  /// @return the fenced nodes on disk. kCorrupt if there are files and none can be read.
  Result<std::set<NodeId>> Load();
  /// Adds `node`; `done` runs with OK once both files are synced. Concurrent calls share a save.
  void Add(NodeId node, DataFolder::Done done);
  /// Whether the fence of `node` is synced in both files.
  bool IsSynced(NodeId node) const { return synced_.contains(node); }

 private:
  /// What one save writes.
  struct Content {
    std::set<NodeId> nodes;
    std::string bytes;
  };

  void StartSave();
  /// Writes the file at `index` and those after it, one at a time.
  void WriteFile(std::size_t index, const std::shared_ptr<const Content>& content);
  void CompleteSave(const std::set<NodeId>& saved, const Status& status);

  DataFolder& folder_;
  std::set<NodeId> fenced_;
  std::set<NodeId> synced_;
  bool save_in_progress_ = false;
  std::vector<DataFolder::Done> waiting_callbacks_;  ///< For the next save.
  std::vector<DataFolder::Done> saving_callbacks_;   ///< Of the save under way.
};

}  // namespace cloverbank
