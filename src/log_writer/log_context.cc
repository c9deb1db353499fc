#include "log_writer/log_context.h"

namespace cloverbank {

std::string FencingReason(FencedBy source, const std::string& detail) {
  switch (source) {
    case FencedBy::kCoordinators:
      return "coordinators refused the head: " + detail;
    case FencedBy::kBackupOfHead:
      return "a backup refused segment " + detail;
    case FencedBy::kBackupOfRepair:
      return "a backup refused a repair";
  }
  return "unknown";
}

}  // namespace cloverbank
