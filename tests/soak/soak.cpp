#include "tests/soak/soaktest.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>

using namespace citronspar;

namespace
{

/** Runs one seed in its own directory, which is kept if violations were found. Returns true if there were none. */
bool runSeed(const char *program, const std::string &folder, int seed, int seconds, int firstPort)
{
    soak::SoakTest::Options options;
    options.program = program;
    options.directory = folder + "/seed-" + std::to_string(seed);
    options.seed = static_cast<std::uint64_t>(seed);
    options.firstPort = firstPort;
    options.faultDuration = std::chrono::seconds(seconds);
    std::filesystem::create_directories(options.directory);
    const std::string directory = options.directory;
    soak::SoakTest test(std::move(options));
    const std::vector<std::string> violations = test.execute();
    std::printf("seed %d: %s, %zu violations\n", seed, test.summary().c_str(), violations.size());
    for (const std::string &violation : violations) {
        std::printf("  %s\n", violation.c_str());
    }
    if (violations.empty()) {
        std::filesystem::remove_all(directory);
    } else {
        std::printf("  logs: %s\n", directory.c_str());
    }
    std::fflush(stdout);
    return violations.empty();
}

}

/**
 * Soak test of entry daemon processes with random faults: broken connections, signals, an unavailable store,
 * configuration changes and replaced endpoints.
 */
int main(int argc, const char **argv)
{
    int firstSeed = 1;
    int seeds = 1;
    int seconds = 20;
    int firstPort = 19700;
    const char *program = nullptr;
    const char *folder = nullptr;
    const poptOption options[] = {
        {"program", 'p', POPT_ARG_STRING, &program, 0, "path of the citronspard program", "FILE"},
        {"folder", 'd', POPT_ARG_STRING, &folder, 0, "directory for settings and logs", "FOLDER"},
        {"seed", 's', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &firstSeed, 0, "first seed", "N"},
        {"seeds", 'n', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &seeds, 0, "number of consecutive seeds", "N"},
        {"port", 'P', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &firstPort, 0, "first of the 100 ports to use", "N"},
        {"seconds", 't', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &seconds, 0, "length of the fault phase of each seed in seconds", "N"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    if (parsed < -1 || program == nullptr || folder == nullptr) {
        std::fprintf(stderr, "%s\n", parsed < -1 ? poptStrerror(parsed) : "options --program and --folder are required");
        return EXIT_FAILURE;
    }
    bool hasPassed = true;
    for (int seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        hasPassed = runSeed(program, folder, seed, seconds, firstPort) && hasPassed;
    }
    poptFreeContext(context);
    return hasPassed ? EXIT_SUCCESS : EXIT_FAILURE;
}
