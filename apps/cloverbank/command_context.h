#pragma once
/// @file
/// Shared by all commands: gateways, output format, exit codes and the printing of errors.

#include <cstdint>
#include <string>
#include <vector>

#include "client/api_client.h"

namespace cloverbank {

/// Exit codes, documented in docs/OPERATIONS.md; scripts depend on them.
enum ExitCode : int {
  kExitOk = 0,
  kExitFailure = 1,      ///< The request was refused or failed; it changed nothing.
  kExitUsage = 2,        ///< The command line or a file named on it is wrong.
  kExitConflict = 3,     ///< The named version is no longer current.
  kExitUnavailable = 4,  ///< The request was not executed; try again later.
  kExitUnknown = 5,      ///< The response was lost; the request may have been executed.
};

enum class OutputForm : std::uint8_t { kTable, kJson };

/// Global options. The parser fills the texts and calls `Resolve` before a command runs.
struct CommandContext {
  std::vector<std::string> gateway_texts;
  std::string output_text = "table";
  std::vector<Endpoint> gateways;
  OutputForm output = OutputForm::kTable;

  /// Parses the texts into `gateways` and `output`. @return kExitOk, or kExitUsage after printing
  /// what is wrong.
  int Resolve();
  ApiClient MakeClient() const;
};

/// Prints `error` to standard error, with its problems and when to retry. @return the matching exit
/// code.
int PrintError(const ApiError& error);
/// Prints `message` to standard output as indented JSON.
void PrintJson(const google::protobuf::Message& message);
/// @return the bytes of the file ("-" is standard input), or kInvalidArgument with the path.
Result<std::string> ReadFileContent(const std::string& path);
/// @return "PREFIX-" and 16 random hexadecimal digits, for an operation id or idempotency key.
std::string RandomId(const std::string& prefix);

}  // namespace cloverbank
