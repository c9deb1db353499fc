#pragma once
/// @file
/// The command groups. Each function adds its commands to `app`; a command's callback runs it and
/// stores its exit code in `exit_code`. `context` and `exit_code` must outlive the parsing of
/// `app`.

#include <CLI/CLI.hpp>

#include "cloverbank/command_context.h"

namespace cloverbank {

void AddConfigCommands(CLI::App& app, CommandContext& context, int& exit_code);
void AddBatchCommands(CLI::App& app, CommandContext& context, int& exit_code);
void AddFleetCommands(CLI::App& app, CommandContext& context, int& exit_code);
void AddCallCommand(CLI::App& app, CommandContext& context, int& exit_code);

}  // namespace cloverbank
