#pragma once
/// @file
/// What the commands of the command line share: gateways, output form, exit codes and how errors
/// are told.

#include <cstdint>
#include <string>
#include <vector>

#include "client/api_client.h"

namespace cloverbank {

/// Documented in docs/OPERATIONS.md; scripts depend on them.
enum ExitCode : int {
  kExitOk = 0,
  kExitFailure = 1,      ///< The request was refused or failed; nothing was changed.
  kExitUsage = 2,        ///< The command line or a file named on it is wrong.
  kExitConflict = 3,     ///< The named version is no longer current.
  kExitUnavailable = 4,  ///< Not carried out for now; try again later.
  kExitUnknown = 5,      ///< The answer was lost; whether it happened is not known.
};

enum class OutputForm : std::uint8_t { kTable, kJson };

/// Filled from the command line before a command runs.
struct CommandContext {
  std::vector<std::string> gateway_texts;
  std::string output_text = "table";
  std::vector<Endpoint> gateways;
  OutputForm output = OutputForm::kTable;

  /// Checks the texts. @return kExitUsage, having said what is wrong, or kExitOk.
  int Resolve();
  ApiClient MakeClient() const;
};

/// Prints `error` with what to do next. @return the exit code that fits.
int PrintError(const ApiError& error);
/// Prints `message` as readable JSON.
void PrintJson(const google::protobuf::Message& message);
/// @return the file's bytes ("-" is standard input), or kInvalidArgument naming it.
Result<std::string> ReadFileContent(const std::string& path);
/// @return a random id for an operation or idempotency key.
std::string RandomId(const std::string& prefix);

}  // namespace cloverbank
