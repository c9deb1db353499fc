#pragma once
/// @file
/// The groups of commands. Each function adds its commands to the command line; a command's
/// callback stores its exit code in `exit_code`.

#include <CLI/CLI.hpp>

#include "cloverbank/command_context.h"

namespace cloverbank {

void AddConfigCommands(CLI::App& app, CommandContext& context, int& exit_code);
void AddBatchCommands(CLI::App& app, CommandContext& context, int& exit_code);
void AddFleetCommands(CLI::App& app, CommandContext& context, int& exit_code);
void AddCallCommand(CLI::App& app, CommandContext& context, int& exit_code);

}  // namespace cloverbank
