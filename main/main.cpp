#include "core/scopeguard.h"
#include "drivers/log.h"
#include "main/configservice.h"
#include "main/daemoncore.h"
#include "main/endpointrole.h"
#include "main/entryrole.h"
#include "main/metricsserver.h"
#include "main/peerlinks.h"
#include "main/proxy/proxyrole.h"
#include "main/settings.h"
#include "main/settingswatch.h"
#include "main/sidecar/sidecarrole.h"
#include "servers/routingstrategies.h"

#include <malloc.h>
#include <popt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>

namespace
{

using namespace citronspar;

constexpr int exitUsage = 2;
/** Allocations from this size on are mapped separately; the initial threshold of the allocator. */
constexpr int mappedAllocationBytes = 128 * 1024;
constexpr Duration stopPollInterval = std::chrono::milliseconds(50);
constexpr Duration reloadPollInterval = std::chrono::milliseconds(1000);

volatile std::sig_atomic_t isStopRequested = 0;
volatile std::sig_atomic_t isReloadRequested = 0;

void requestStop(int)
{
    isStopRequested = 1;
}

void requestReload(int)
{
    isReloadRequested = 1;
}

std::optional<std::string> parseSettingsPath(int argc, const char **argv)
{
    char *path = nullptr;
    int printsVersion = 0;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &path, 0, "JSON settings file", "FILE"},
        {"version", 'V', POPT_ARG_NONE, &printsVersion, 0, "print the version and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("citronspard", argc, argv, options, 0);
    const ScopeGuard freeContext([context]() {
        poptFreeContext(context);
    });
    const int result = poptGetNextOpt(context);
    if (result < -1) {
        std::cerr << "citronspard: " << poptBadOption(context, 0) << ": " << poptStrerror(result) << "\n";
        return std::nullopt;
    }
    if (printsVersion != 0) {
        std::cout << "citronspard " << CITRONSPAR_VERSION << "\n";
        std::exit(EXIT_SUCCESS);
    }
    if (path == nullptr) {
        std::cerr << "citronspard: --settings is required; see --help\n";
        return std::nullopt;
    }
    const std::string text = path;
    std::free(path);
    return text;
}

std::unique_ptr<Role> makeRole(DaemonCore &core, PeerLinks &links, ConfigService &config)
{
    if (core.settings().role == Settings::Role::Endpoint) {
        return std::make_unique<EndpointRole>(core, links, config);
    }
    const std::string name = core.settings().strategy.empty() ? defaultRoutingStrategy : core.settings().strategy;
    std::unique_ptr<RoutingStrategy> strategy = makeRoutingStrategy(name, RoutingSettings());
    if (strategy == nullptr) {
        std::cerr << "citronspard: unknown routing strategy " << name << "\n";
        return nullptr;
    }
    return std::make_unique<EntryRole>(core, links, config, std::move(strategy));
}

std::unique_ptr<Role> makePlatformRole(DaemonCore &core, PeerLinks &links)
{
    const PlatformSettings &platform = *core.settings().platform;
    if (core.settings().role == Settings::Role::Endpoint) {
        return std::make_unique<SidecarRole>(core, links, platform);
    }
    return std::make_unique<ProxyRole>(core, links, platform);
}

int runDaemon(const Settings &settings, const std::string &path)
{
    const log4cxx::LoggerPtr logger = componentLogger("daemon");
    DaemonCore core(settings);
    if (!core.loop().isInitialized()) {
        LOG4CXX_ERROR(logger, "can't set up the event loop");
        return EXIT_FAILURE;
    }
    PeerLinks links(core);
    if (!links.open()) {
        LOG4CXX_ERROR(logger, "can't listen for peers on " << settings.peerListen);
        return EXIT_FAILURE;
    }
    std::unique_ptr<ConfigService> config;
    std::unique_ptr<Role> role;
    MetricsServer metrics(core.loop(), core.metrics());
    if (settings.platform.has_value()) {
        if (!settings.platform->metricsListen.empty() && !metrics.open(settings.platform->metricsListen)) {
            LOG4CXX_WARN(logger, "can't serve metrics on " << settings.platform->metricsListen);
        }
        role = makePlatformRole(core, links);
    } else {
        config = std::make_unique<ConfigService>(core, links);
        role = makeRole(core, links, *config);
    }
    if (role == nullptr || !role->open()) {
        return EXIT_FAILURE;
    }
    if (config != nullptr) {
        config->start();
    }
    bool isStopping = false;
    core.timers().subscribe(stopPollInterval, [&](TimePoint) {
        if (isStopRequested != 0 && !isStopping) {
            isStopping = true;
            LOG4CXX_INFO(logger, "stop requested, exiting when all work has finished");
            role->beginStop();
        }
        if (isStopping && role->isIdle()) {
            core.loop().stop();
        }
    });
    SettingsWatch watch(path);
    core.timers().subscribe(reloadPollInterval, [&](TimePoint) {
        const bool isRequested = isReloadRequested != 0;
        isReloadRequested = 0;
        const std::optional<Settings> changed = watch.poll(isRequested);
        if (changed.has_value()) {
            role->applySettings(*changed);
        } else if (!watch.lastError().empty()) {
            LOG4CXX_ERROR(logger, "can't reload the settings, keeping the current ones: " << watch.lastError());
        }
    });
    core.record("daemon", "started");
    core.loop().run();
    LOG4CXX_INFO(logger, "stopped");
    return EXIT_SUCCESS;
}

}

int main(int argc, const char **argv)
{
    // A fixed threshold turns off its automatic growth, so that the memory of large bodies returns to the system at once.
    mallopt(M_MMAP_THRESHOLD, mappedAllocationBytes);
    const std::optional<std::string> path = parseSettingsPath(argc, argv);
    if (!path.has_value()) {
        return exitUsage;
    }
    SettingsReader reader;
    const std::optional<Settings> settings = reader.read(*path);
    if (!settings.has_value()) {
        std::cerr << "citronspard: " << reader.lastError() << "\n";
        return exitUsage;
    }
    setUpLogging(settings->logLayout == "json" ? LogLayout::Json : LogLayout::Text, settings->logLevel);
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    std::signal(SIGHUP, requestReload);
    std::signal(SIGPIPE, SIG_IGN);
    return runDaemon(*settings, *path);
}
