#include "log_writer/log_context.h"

namespace cloverbank {

std::string FencingReason(FencedBy source, const std::string& detail) {
  switch (source) {
    case FencedBy::kCoordinators:
      return "the coordinators refused to commit the head segment: " + detail;
    case FencedBy::kBackupOfHead:
      return "a backup refused a call for head segment " + detail + ": the node id is fenced";
    case FencedBy::kBackupOfRepair:
      return "a backup refused a call of a segment repair: the node id is fenced";
  }
  return "unknown source";
}

}  // namespace cloverbank
