#include "client/command.h"

#include "core/scopeguard.h"
#include "drivers/httpclient.h"
#include "drivers/loop.h"

#include <popt.h>

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>

namespace
{

using namespace citronspar;
using nlohmann::json;

constexpr int exitUsage = 2;
constexpr int exitRefused = 3;
constexpr int exitUnreachable = 4;
constexpr int exitNotAccepted = 5;
constexpr Duration responseTimeout = std::chrono::seconds(30);

std::optional<CommandLine> parseCommandLine(int argc, const char **argv)
{
    CommandLine line;
    char *daemon = nullptr;
    char *keyFile = nullptr;
    char *reason = nullptr;
    int isJson = 0;
    int printsVersion = 0;
    long expectedVersion = -1;
    const poptOption options[] = {
        {"daemon", 'd', POPT_ARG_STRING, &daemon, 0, "address of an entry daemon (default 127.0.0.1:8080)", "ADDRESS:PORT"},
        {"key-file", 'k', POPT_ARG_STRING, &keyFile, 0, "file with the operator key", "FILE"},
        {"reason", 'r', POPT_ARG_STRING, &reason, 0, "reason for an exception", "TEXT"},
        {"expect-version", 'e', POPT_ARG_LONG, &expectedVersion, 0, "change nothing unless this version is current", "N"},
        {"json", 'j', POPT_ARG_NONE, &isJson, 0, "print the answer as JSON", nullptr},
        {"version", 'V', POPT_ARG_NONE, &printsVersion, 0, "print the version and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("citronspar", argc, argv, options, 0);
    const ScopeGuard freeContext([context]() {
        poptFreeContext(context);
    });
    poptSetOtherOptionHelp(context, ("[OPTION...] COMMAND\n\n" + CommandParser::help()).c_str());
    const int result = poptGetNextOpt(context);
    if (result < -1) {
        std::cerr << "citronspar: " << poptBadOption(context, 0) << ": " << poptStrerror(result) << "\n";
        return std::nullopt;
    }
    if (printsVersion != 0) {
        std::cout << "citronspar " << CITRONSPAR_VERSION << "\n";
        std::exit(EXIT_SUCCESS);
    }
    for (const char *argument = poptGetArg(context); argument != nullptr; argument = poptGetArg(context)) {
        line.arguments.emplace_back(argument);
    }
    line.daemon = daemon != nullptr ? daemon : line.daemon;
    line.keyFile = keyFile != nullptr ? keyFile : "";
    line.reason = reason != nullptr ? reason : "";
    line.isJson = isJson != 0;
    line.expectedVersion = expectedVersion;
    return line;
}

std::string readKey(const std::string &path)
{
    std::ifstream file(path);
    std::string key;
    std::getline(file, key);
    return key;
}

void printTimeline(const json &answer)
{
    for (const json &event : answer.at("events")) {
        const std::time_t seconds = event.at("time_us").get<std::int64_t>() / 1000000;
        const std::int64_t microseconds = event.at("time_us").get<std::int64_t>() % 1000000;
        std::cout << std::put_time(std::gmtime(&seconds), "%H:%M:%S") << "." << std::setw(6) << std::setfill('0') << microseconds
                  << std::setfill(' ') << "  " << std::left << std::setw(14) << event.at("daemon").get<std::string>() << std::setw(10)
                  << event.at("part").get<std::string>() << std::right << event.at("what").get<std::string>();
        const std::string request = event.at("request").get<std::string>();
        std::cout << (request.empty() ? "" : "  [" + request + "]") << "\n";
    }
    const std::size_t silentDaemons = answer.at("silentDaemons").get<std::size_t>();
    if (silentDaemons > 0) {
        std::cout << silentDaemons << " daemons did not answer\n";
    }
}

void printAnswer(const json &answer)
{
    if (answer.contains("events")) {
        printTimeline(answer);
        return;
    }
    for (const auto &item : answer.items()) {
        const bool isScalar = !item.value().is_structured();
        std::cout << item.key() << ": " << (isScalar ? item.value().dump() : item.value().dump(2)) << "\n";
    }
}

int printResult(const CommandLine &line, const OperatorCall &call, HttpClientResult result, int status, const std::string &body)
{
    const json answer = json::parse(body, nullptr, false);
    if (result != HttpClientResult::Complete || !answer.is_object()) {
        std::cerr << "citronspar: no answer from " << line.daemon << "; a change may have been committed\n";
        return exitUnreachable;
    }
    if (status != 200) {
        const json error = answer.value("error", json::object());
        std::cerr << "citronspar: " << error.value("message", "refused") << " (" << error.value("detail", "") << ")\n";
        return exitRefused;
    }
    if (!call.newKey.empty()) {
        std::cout << call.newKey << "\n";
    }
    if (line.isJson) {
        std::cout << answer.dump(2) << "\n";
    } else if (call.newKey.empty()) {
        printAnswer(answer);
    }
    return answer.value("state", "accepted") == "accepted" ? EXIT_SUCCESS : exitNotAccepted;
}

int run(const CommandLine &line, const OperatorCall &call)
{
    Loop loop;
    HttpClient client(loop);
    HttpClientRequest request;
    request.target = parseSocketAddress(line.daemon);
    request.method = "POST";
    request.path = "/operator/" + call.path;
    request.headers.emplace_back("authorization", "Bearer " + readKey(line.keyFile));
    request.body = call.body.dump();
    int exitCode = exitUnreachable;
    client.fetch(request, responseTimeout, [&](HttpClientResult result, int status, const std::string &body) {
        exitCode = printResult(line, call, result, status, body);
        loop.stop();
    });
    loop.run();
    return exitCode;
}

}

int main(int argc, const char **argv)
{
    const std::optional<CommandLine> line = parseCommandLine(argc, argv);
    if (!line.has_value()) {
        return exitUsage;
    }
    CommandParser parser;
    const std::optional<OperatorCall> call = parser.parse(*line);
    if (!call.has_value()) {
        std::cerr << "citronspar: " << parser.lastError() << "\n";
        return exitUsage;
    }
    return run(*line, *call);
}
