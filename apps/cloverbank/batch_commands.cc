/// @file
/// The commands batch submit|list|status|watch|results|cancel.

#include <unistd.h>

#include <cstdio>
#include <memory>
#include <sstream>
#include <thread>

#include "cloverbank/commands.h"
#include "json/json.h"
#include "proto/batch.pb.h"

namespace cloverbank {
namespace {

constexpr auto kWatchInterval = milliseconds(500);
constexpr int kProgressWidth = 40;
constexpr int kResultsPerPage = 1000;

struct BatchArguments {
  std::string file;
  std::string tenant;
  std::string route;
  std::string key;
  std::string batch_id;
  std::string cursor;
};

std::uint64_t FinishedItems(const proto::BatchStatus& status) {
  return status.succeeded() + status.failed() + status.unknown() + status.cancelled();
}

void PrintStatus(const CommandContext& context, const proto::BatchStatus& status) {
  if (context.output == OutputForm::kJson) {
    PrintJson(status);
    return;
  }
  std::printf(
      "%-28s %-12s %-10s %llu of %llu: %llu succeeded, %llu failed, %llu unknown, "
      "%llu cancelled\n",
      status.batch_id().c_str(), status.route().c_str(),
      proto::BatchState_Name(status.state()).substr(sizeof("BATCH_STATE")).c_str(),
      static_cast<unsigned long long>(FinishedItems(status)),
      static_cast<unsigned long long>(status.total()),
      static_cast<unsigned long long>(status.succeeded()),
      static_cast<unsigned long long>(status.failed()),
      static_cast<unsigned long long>(status.unknown()),
      static_cast<unsigned long long>(status.cancelled()));
}

/// Reads one JSON item per line of `text` into `batch`; prints the file and line of each error.
/// @return whether every line could be read.
bool ReadItems(const std::string& text, const std::string& file, proto::SubmitBatch* batch) {
  std::istringstream lines(text);
  std::string line;
  int number = 0;
  bool valid = true;
  while (std::getline(lines, line)) {
    ++number;
    if (line.find_first_not_of(" \t\r") == std::string::npos) {
      continue;
    }
    if (Status status = FromJson(line, batch->add_items()); !status.ok()) {
      std::fprintf(stderr, "cloverbank: %s:%d: %s\n", file.c_str(), number,
                   status.message().c_str());
      valid = false;
    }
  }
  return valid;
}

int Submit(CommandContext& context, const BatchArguments& arguments) {
  const auto text = ReadFileContent(arguments.file);
  if (!text.ok()) {
    std::fprintf(stderr, "cloverbank: %s\n", text.status().message().c_str());
    return kExitUsage;
  }
  proto::SubmitBatch batch;
  batch.set_tenant(arguments.tenant);
  batch.set_route(arguments.route);
  batch.set_idempotency_key(arguments.key.empty() ? RandomId("batch") : arguments.key);
  if (!ReadItems(*text, arguments.file, &batch)) {
    return kExitUsage;
  }
  ApiClient client = context.MakeClient();
  proto::BatchStatus status;
  ApiError error;
  if (!client.Call("POST", "/v1/batches", ToJson(batch), Repeat::kSafe, &status, &error)) {
    std::fprintf(stderr, "cloverbank: to retry the submission, use --key %s\n",
                 batch.idempotency_key().c_str());
    return PrintError(error);
  }
  PrintStatus(context, status);
  return kExitOk;
}

bool GetStatus(ApiClient& client, const std::string& batch_id, proto::BatchStatus* status,
               ApiError* error) {
  return client.Call("GET", "/v1/batches/" + batch_id, {}, Repeat::kSafe, status, error);
}

int ShowStatus(CommandContext& context, const BatchArguments& arguments) {
  ApiClient client = context.MakeClient();
  proto::BatchStatus status;
  ApiError error;
  if (!GetStatus(client, arguments.batch_id, &status, &error)) {
    return PrintError(error);
  }
  PrintStatus(context, status);
  return kExitOk;
}

void DrawProgress(const proto::BatchStatus& status) {
  const std::uint64_t total = std::max<std::uint64_t>(1, status.total());
  const int filled = static_cast<int>(FinishedItems(status) * kProgressWidth / total);
  std::string bar(static_cast<std::size_t>(filled), '#');
  bar.resize(kProgressWidth, '.');
  std::fprintf(stderr, "\r[%s] %llu/%llu", bar.c_str(),
               static_cast<unsigned long long>(FinishedItems(status)),
               static_cast<unsigned long long>(status.total()));
}

int Watch(CommandContext& context, const BatchArguments& arguments) {
  ApiClient client = context.MakeClient();
  proto::BatchStatus status;
  ApiError error;
  const bool terminal = isatty(STDERR_FILENO) == 1;
  while (true) {
    if (!GetStatus(client, arguments.batch_id, &status, &error)) {
      return PrintError(error);
    }
    if (terminal) {
      DrawProgress(status);
    }
    if (status.state() != proto::BATCH_STATE_RUNNING) {
      break;
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
  if (terminal) {
    std::fprintf(stderr, "\n");
  }
  PrintStatus(context, status);
  return kExitOk;
}

int Results(CommandContext& context, const BatchArguments& arguments) {
  ApiClient client = context.MakeClient();
  ApiError error;
  std::string cursor = arguments.cursor;
  proto::ResultList page;
  do {
    const std::string path = "/v1/batches/" + arguments.batch_id +
                             "/results?limit=" + std::to_string(kResultsPerPage) +
                             "&cursor=" + cursor;
    if (!client.Call("GET", path, {}, Repeat::kSafe, &page, &error)) {
      std::fprintf(stderr, "cloverbank: to continue from here, use --cursor '%s'\n",
                   cursor.c_str());
      return PrintError(error);
    }
    for (const proto::ItemResult& result : page.results()) {
      std::printf("%s\n", ToJson(result).c_str());
    }
    cursor = page.next_cursor();
  } while (page.more());
  return kExitOk;
}

int Cancel(CommandContext& context, const BatchArguments& arguments) {
  ApiClient client = context.MakeClient();
  proto::BatchStatus status;
  ApiError error;
  if (!client.Call("POST", "/v1/batches/" + arguments.batch_id + "/cancel", {}, Repeat::kSafe,
                   &status, &error)) {
    return PrintError(error);
  }
  PrintStatus(context, status);
  return kExitOk;
}

int List(CommandContext& context, const BatchArguments& arguments) {
  ApiClient client = context.MakeClient();
  ApiError error;
  std::string cursor = arguments.cursor;
  proto::BatchList page;
  do {
    const std::string path = "/v1/batches?tenant=" + arguments.tenant + "&cursor=" + cursor;
    if (!client.Call("GET", path, {}, Repeat::kSafe, &page, &error)) {
      return PrintError(error);
    }
    for (const proto::BatchStatus& status : page.batches()) {
      PrintStatus(context, status);
    }
    cursor = page.next_cursor();
  } while (page.more());
  return kExitOk;
}

}  // namespace

void AddBatchCommands(CLI::App& app, CommandContext& context, int& exit_code) {
  auto* batch = app.add_subcommand("batch", "Submit batches, watch them and fetch results");
  batch->require_subcommand(1);
  auto arguments = std::make_shared<BatchArguments>();
  auto* submit =
      batch->add_subcommand("submit", "Submit a file of items, one JSON object per line");
  submit->add_option("file", arguments->file, "JSONL file (- is standard input)")->required();
  submit->add_option("--tenant", arguments->tenant)->required();
  submit->add_option("--route", arguments->route)->required();
  submit->add_option("--key", arguments->key,
                     "Idempotency key: the same key never creates a second batch");
  submit->callback([&, arguments] { exit_code = Submit(context, *arguments); });
  auto* list = batch->add_subcommand("list", "List a tenant's batches in a fixed order");
  list->add_option("--tenant", arguments->tenant)->required();
  list->add_option("--cursor", arguments->cursor);
  list->callback([&, arguments] { exit_code = List(context, *arguments); });
  using Action = int (*)(CommandContext&, const BatchArguments&);
  const std::tuple<const char*, const char*, Action> by_id[] = {
      {"status", "Show the progress of a batch", &ShowStatus},
      {"watch", "Wait until a batch is finished", &Watch},
      {"results", "Print the results so far, one JSON object per line", &Results},
      {"cancel", "Start no further items of a batch", &Cancel}};
  for (const auto& [name, description, action] : by_id) {
    auto* command = batch->add_subcommand(name, description);
    command->add_option("batch_id", arguments->batch_id)->required();
    if (std::string_view(name) == "results") {
      command->add_option("--cursor", arguments->cursor, "Continue from this cursor");
    }
    command->callback(
        [&exit_code, &context, arguments, run = action] { exit_code = run(context, *arguments); });
  }
}

}  // namespace cloverbank
