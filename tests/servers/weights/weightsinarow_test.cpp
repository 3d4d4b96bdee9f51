#include "servers/endpointplacement.h"
#include "servers/weights/weightscutoff.h"
#include "servers/weights/weightshistory.h"
#include "tests/fakes/seeds.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace citronspar;

namespace
{

using std::chrono::milliseconds;

const TimePoint start{std::chrono::seconds(100)};
constexpr Duration limit = std::chrono::seconds(8);
constexpr Duration playTime = std::chrono::seconds(45);
constexpr Duration step = milliseconds(40);
// Rules bind a daemon only this long after its start.
constexpr Duration contactTime = std::chrono::seconds(3);

/** How an entry daemon keeps the versions. */
enum class Keeping {
    /** As the product does. */
    Product,
    /** The newest version and its time replace all earlier ones. */
    NewestOnly,
    /** The time of the receipt is taken for that of the setting. */
    FromReceipt,
};

/** Plays entry daemons and engines of one pool while the operators set several weights versions in a row. */
class VersionsInARow
{
private:
    struct SetVersion
    {
        std::int64_t version = 0;
        TimePoint setAt{};
    };

    struct Engine
    {
        std::string id;
        std::int64_t version = 1;
        /** Orders have no effect until then. */
        TimePoint stuckUntil{};
        TimePoint loadsAt = TimePoint::max();
        std::int64_t loading = 0;
    };

    struct Attempt
    {
        std::int64_t weights = 0;
        TimePoint beginsAt{};
        bool isInTouch = false;
    };

    struct Daemon
    {
        WeightsHistory history;
        TimePoint startedAt = start;
        /** The store does not respond to the daemon before this time. */
        TimePoint readsAt = start;
        /** The last time at which the store is known to have had no newer version. */
        TimePoint confirmedAt = timeNever;
        EndpointPlacement placement{EndpointPlacement::Settings()};
        std::vector<Attempt> attempts;
        std::map<std::int64_t, TimePoint> abandonAt;
    };

    Keeping m_keeping;
    std::mt19937_64 m_random;
    std::vector<SetVersion> m_versions;
    std::vector<Engine> m_engines;
    std::vector<Daemon> m_daemons;

    Duration between(milliseconds least, milliseconds most)
    {
        return milliseconds(least.count() + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>((most - least).count() + 1)));
    }

    bool happens(int percent)
    {
        return m_random() % 100 < static_cast<std::uint64_t>(percent);
    }

    void drawVersions()
    {
        TimePoint setAt = start + between(milliseconds(500), milliseconds(3000));
        std::int64_t version = 1;
        const std::size_t count = 2 + m_random() % 7;
        for (std::size_t i = 0; i < count; ++i) {
            version += 1 + static_cast<std::int64_t>(m_random() % 2);
            m_versions.push_back(SetVersion{version, setAt});
            setAt += between(milliseconds(200), milliseconds(9000));
        }
    }

    /** The newest version that is set; 1 if none is. */
    std::int64_t newestAt(TimePoint now) const
    {
        std::int64_t newest = 1;
        for (const SetVersion &version : m_versions) {
            newest = version.setAt <= now ? version.version : newest;
        }
        return newest;
    }

    void receive(Daemon &daemon, TimePoint now)
    {
        const std::int64_t newest = newestAt(now);
        WeightsVersion weights;
        weights.number = newest;
        weights.followedSince = daemon.startedAt;
        weights.setAt = m_keeping == Keeping::FromReceipt ? now : daemon.confirmedAt;
        daemon.confirmedAt = now;
        if (newest == 1 || newest <= daemon.history.wantedVersion()) {
            return;
        }
        if (m_keeping == Keeping::NewestOnly) {
            daemon.history = WeightsHistory();
        }
        daemon.history.record(weights);
        daemon.abandonAt[newest] = WeightsCutoff(weights, limit).abandonAt();
    }

    void disturb(Daemon &daemon, TimePoint now)
    {
        if (happens(1) && happens(30)) {
            daemon = Daemon();
            daemon.startedAt = now;
            daemon.readsAt = now + milliseconds(50);
        } else if (happens(1)) {
            // Calls to the store fail for a while.
            daemon.readsAt = now + between(milliseconds(200), milliseconds(2400));
        }
        if (now >= daemon.readsAt) {
            receive(daemon, now);
        }
    }

    void load(Engine &engine, TimePoint now)
    {
        if (engine.loading == 0 && engine.version < newestAt(now) && now >= engine.stuckUntil) {
            engine.loading = newestAt(now);
            engine.loadsAt = now + between(milliseconds(600), milliseconds(4500));
        }
        if (engine.loading != 0 && now >= engine.loadsAt) {
            engine.version = engine.loading;
            engine.loading = 0;
        }
    }

    void send(Daemon &daemon, TimePoint now)
    {
        // A daemon serves no request before it has read the operators' table, which holds the versions.
        if (daemon.confirmedAt == timeNever) {
            return;
        }
        std::vector<EndpointPlacement::Candidate> candidates;
        for (const Engine &engine : m_engines) {
            candidates.push_back(EndpointPlacement::Candidate{engine.id, engine.version});
        }
        const PlacedPrompt prompt{m_random(), 0, 1000};
        const std::vector<std::string> excluded;
        const EndpointPlacement::LoadById loads;
        const EndpointPlacement::Query query{prompt, candidates, daemon.history, limit, excluded, loads};
        const std::optional<EndpointPlacement::Choice> choice = daemon.placement.choose(query, now);
        const bool isNewestServed = std::any_of(m_engines.begin(), m_engines.end(), [&](const Engine &engine) {
            return engine.version >= newestAt(now);
        });
        refusedBesideNewest += !choice.has_value() && isNewestServed ? 1 : 0;
        if (!choice.has_value()) {
            return;
        }
        const Duration predicted = fromSeconds(choice->costMs / 1000);
        // Other daemons' requests wait in the same queues, so that some requests begin much later than predicted.
        const Duration wait = happens(3) ? between(milliseconds(0), milliseconds(9000)) : predicted * static_cast<int>(m_random() % 4);
        daemon.attempts.push_back(Attempt{choice->weightsVersion, now + wait, now - daemon.startedAt >= contactTime});
    }

    /** Whether some version after @p weights was set longer than the limit before @p now. */
    bool isBeyondLimit(std::int64_t weights, TimePoint now) const
    {
        return std::any_of(m_versions.begin(), m_versions.end(), [&](const SetVersion &version) {
            return version.version > weights && now - version.setAt > limit;
        });
    }

    void beginAttempts(Daemon &daemon, TimePoint now)
    {
        for (auto it = daemon.attempts.begin(); it != daemon.attempts.end();) {
            const bool isAbandoned = std::any_of(daemon.abandonAt.begin(), daemon.abandonAt.end(), [&](const auto &entry) {
                return entry.first > it->weights && entry.second <= std::min(now, it->beginsAt);
            });
            if (!isAbandoned && now < it->beginsAt) {
                ++it;
                continue;
            }
            if (!isAbandoned) {
                late += it->isInTouch && isBeyondLimit(it->weights, it->beginsAt) ? 1 : 0;
                onOlderWeights += it->weights < newestAt(it->beginsAt) ? 1 : 0;
            }
            it = daemon.attempts.erase(it);
        }
    }

public:
    /** Requests that began on weights that were outdated for longer than the limit. */
    int late = 0;
    int onOlderWeights = 0;
    /** Requests for which no engine was found though one had the newest weights. */
    int refusedBesideNewest = 0;

    VersionsInARow(std::uint64_t seed, Keeping keeping)
        : m_keeping(keeping)
        , m_random(seed)
    {
        drawVersions();
        const std::size_t engines = seed % 2 == 0 ? 3 : 12;
        for (std::size_t i = 0; i < engines; ++i) {
            Engine engine;
            engine.id = "engine-" + std::to_string(i);
            engine.stuckUntil = happens(35) ? start + between(milliseconds(5000), milliseconds(40000)) : start;
            m_engines.push_back(engine);
        }
        m_daemons.resize(4);
    }

    void play()
    {
        for (TimePoint now = start; now < start + playTime; now += step) {
            for (Engine &engine : m_engines) {
                load(engine, now);
            }
            for (Daemon &daemon : m_daemons) {
                beginAttempts(daemon, now);
                disturb(daemon, now);
                send(daemon, now);
            }
        }
    }
};

int countLate(std::uint64_t seed, Keeping keeping)
{
    VersionsInARow run(seed, keeping);
    run.play();
    return run.late;
}

}

// Guards against a deadline that a newer version replaces.
TEST_CASE("[WeightsHistory] No request begins on weights that any newer version has outdated for longer than the limit")
{
    const Seeds seeds(200);
    int onOlderWeights = 0;
    const std::uint64_t failing = findFailingSeed(seeds, [&](std::uint64_t seed) {
        VersionsInARow run(seed, Keeping::Product);
        run.play();
        onOlderWeights += run.onOlderWeights;
        return run.late == 0 && run.refusedBesideNewest == 0;
    });
    INFO("replay with CITRONSPAR_SEED=" << failing);
    CHECK(failing == 0);
    // Older weights are used while newer ones load.
    CHECK(onOlderWeights > static_cast<int>(50 * (seeds.last - seeds.first + 1)));
}

TEST_CASE("[WeightsHistory] The check notices daemons that keep the newest version only, or count from the receipt")
{
    int lateWithNewestOnly = 0;
    int lateFromReceipt = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        lateWithNewestOnly += countLate(seed, Keeping::NewestOnly) > 0 ? 1 : 0;
        lateFromReceipt += countLate(seed, Keeping::FromReceipt) > 0 ? 1 : 0;
    }
    CHECK(lateWithNewestOnly > 10);
    CHECK(lateFromReceipt > 0);
}

TEST_CASE("[WeightsHistory] However many versions are set, no deadline becomes later")
{
    WeightsHistory history;
    for (int number = 1; number <= 1000; ++number) {
        CHECK(history.record(WeightsVersion{number, start, start + milliseconds(number)}));
    }
    CHECK(history.wantedVersion() == 1000);
    CHECK(history.successorOf(1000) == nullptr);
    CHECK_FALSE(history.record(WeightsVersion{999, start, start}));
    for (int number = 0; number < 1000; ++number) {
        REQUIRE(history.successorOf(number) != nullptr);
        CHECK(history.successorOf(number)->setAt <= start + milliseconds(number + 1));
    }
}
