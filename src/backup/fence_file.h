#pragma once
/// @file
/// The durable set of fenced node ids: nodes that were declared dead and whose calls this backup
/// refuses. It is stored in two files ("fenced", "fenced_copy"), each a checksummed
/// `proto::FencedNodes`. Fences are never removed, so `Load` takes the union of the readable files,
/// and damage to one file loses no fence.
///
/// Threads: call on the owner's event loop only; callbacks run there too.

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

  /// @return the fenced nodes on disk; kCorrupt if fence files exist but none can be read.
  Result<std::set<NodeId>> Load();
  /// Fences `node`. `done` runs once: with OK when both files are synced, otherwise with the error
  /// of the write that failed. Calls made during a save are saved together by the next one.
  void Add(NodeId node, DataFolder::Done done);
  /// @return whether the fence of `node` is synced in both files.
  bool IsSynced(NodeId node) const { return synced_.contains(node); }

 private:
  /// The data of one save, written to both files.
  struct Content {
    std::set<NodeId> nodes;
    std::string bytes;  ///< `nodes`, encoded.
  };

  void StartSave();
  /// Writes the file at `index` of the list of file names and the files after it, one at a time.
  void WriteFile(std::size_t index, const std::shared_ptr<const Content>& content);
  void CompleteSave(const std::set<NodeId>& saved, const Status& status);

  DataFolder& folder_;
  std::set<NodeId> fenced_;
  std::set<NodeId> synced_;
  bool save_in_progress_ = false;
  std::vector<DataFolder::Done> waiting_callbacks_;  ///< Run after the next save.
  std::vector<DataFolder::Done> saving_callbacks_;   ///< Run after the save in progress.
};

}  // namespace cloverbank
