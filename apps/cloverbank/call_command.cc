/// @file
/// The command call: makes one live call.

#include <cstdio>
#include <memory>

#include "cloverbank/commands.h"
#include "json/json.h"

namespace cloverbank {
namespace {

constexpr Duration kStreamDeadline = seconds(60);

struct CallArguments {
  std::string route;
  std::string tenant;
  proto::CallRequest call;
};

int StreamCall(CommandContext& context, const CallArguments& arguments) {
  ApiClient client = context.MakeClient();
  HttpRequest request = MakeRequest("POST", "/v1/call/" + arguments.route, ToJson(arguments.call));
  request.headers.emplace_back("x-tenant", arguments.tenant);
  const HttpOutcome outcome = client.http().Stream(
      context.gateways.front(), request, kStreamDeadline, [](const std::string& bytes) {
        std::fwrite(bytes.data(), 1, bytes.size(), stdout);
        std::fflush(stdout);
      });
  if (outcome.kind == HttpOutcomeKind::kAnswered && outcome.response.status == 200) {
    return kExitOk;
  }
  std::fprintf(stderr, "cloverbank: %s\n", outcome.reason.c_str());
  return outcome.kind == HttpOutcomeKind::kUnknown ? kExitUnknown : kExitFailure;
}

int Call(CommandContext& context, const CallArguments& arguments) {
  if (arguments.call.stream()) {
    return StreamCall(context, arguments);
  }
  ApiClient client = context.MakeClient();
  proto::CallAnswer answer;
  ApiError error;
  // Whether a call without a response may be repeated depends on its route, which only the gateway
  // knows, so the client never repeats it.
  if (!client.Call("POST", "/v1/call/" + arguments.route, ToJson(arguments.call), Repeat::kNever,
                   &answer, &error)) {
    return PrintError(error);
  }
  if (context.output == OutputForm::kJson) {
    PrintJson(answer);
  } else {
    std::printf("%s\n", answer.text().c_str());
  }
  return kExitOk;
}

}  // namespace

void AddCallCommand(CLI::App& app, CommandContext& context, int& exit_code) {
  auto arguments = std::make_shared<CallArguments>();
  auto* call = app.add_subcommand("call", "Make one live call");
  call->add_option("route", arguments->route)->required();
  call->add_option("--tenant", arguments->tenant);
  call->add_option_function<std::string>(
          "--prompt", [arguments](const std::string& text) { arguments->call.set_prompt(text); })
      ->required();
  call->add_option_function<std::uint32_t>(
      "--max-tokens", [arguments](std::uint32_t count) { arguments->call.set_max_tokens(count); });
  call->add_flag_callback("--stream", [arguments] { arguments->call.set_stream(true); });
  call->callback([&, arguments] { exit_code = Call(context, *arguments); });
}

}  // namespace cloverbank
