#include "tests/soak/soakworld.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>

using namespace citronspar;

namespace
{

/** Plays one seed in a folder of its own, which stays when a promise was broken. */
bool playSeed(const char *program, const std::string &folder, int seed, int seconds, int firstPort)
{
    soak::SoakWorld::Options options;
    options.program = program;
    options.folder = folder + "/seed-" + std::to_string(seed);
    options.seed = static_cast<std::uint64_t>(seed);
    options.firstPort = firstPort;
    options.time = std::chrono::seconds(seconds);
    std::filesystem::create_directories(options.folder);
    const std::string kept = options.folder;
    soak::SoakWorld world(std::move(options));
    const std::vector<std::string> broken = world.play();
    std::printf("seed %d: %s, %zu promises broken\n", seed, world.summary().c_str(), broken.size());
    for (const std::string &what : broken) {
        std::printf("  %s\n", what.c_str());
    }
    if (broken.empty()) {
        std::filesystem::remove_all(kept);
    } else {
        std::printf("  logs: %s\n", kept.c_str());
    }
    std::fflush(stdout);
    return broken.empty();
}

}

/** Plays real entry daemons among faults: connections, signals, an unreliable store, changes. */
int main(int argc, const char **argv)
{
    int firstSeed = 1;
    int seeds = 1;
    int seconds = 20;
    int firstPort = 19700;
    const char *program = nullptr;
    const char *folder = nullptr;
    const poptOption options[] = {
        {"program", 'p', POPT_ARG_STRING, &program, 0, "the daemon's program", "FILE"},
        {"folder", 'd', POPT_ARG_STRING, &folder, 0, "where settings and logs go", "FOLDER"},
        {"seed", 's', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &firstSeed, 0, "the first seed", "N"},
        {"seeds", 'n', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &seeds, 0, "how many seeds in a row", "N"},
        {"port", 'P', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &firstPort, 0, "the first of a hundred ports", "N"},
        {"seconds", 't', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &seconds, 0, "how long faults come in each", "N"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    if (parsed < -1 || program == nullptr || folder == nullptr) {
        std::fprintf(stderr, "%s\n", parsed < -1 ? poptStrerror(parsed) : "--program and --folder are needed");
        return EXIT_FAILURE;
    }
    bool isWhole = true;
    for (int seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        isWhole = playSeed(program, folder, seed, seconds, firstPort) && isWhole;
    }
    poptFreeContext(context);
    return isWhole ? EXIT_SUCCESS : EXIT_FAILURE;
}
