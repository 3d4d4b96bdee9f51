#include "servers/weights/weightsrollout.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace citronspar;

namespace
{

using Step = WeightsRollout::Step;

const TimePoint start{std::chrono::seconds(100)};
constexpr Duration loadTime = std::chrono::milliseconds(570);
constexpr Duration tick = std::chrono::milliseconds(50);

std::vector<std::string> pool(int count)
{
    std::vector<std::string> ids;
    for (int i = 0; i < count; ++i) {
        ids.push_back("engine-" + std::to_string(100 + i));
    }
    return ids;
}

/** Simulates the daemons and engines of one pool in virtual time. */
struct PoolSimulation
{
    struct Engine
    {
        WeightsRollout rollout{WeightsRollout::Settings()};
        std::int64_t version = 1;
        std::int64_t loading = 0;
        TimePoint loadedAt{};
    };

    std::map<std::string, Engine> engines;
    std::size_t maxLoading = 0;
    std::size_t minServing = 1000;
    int loads = 0;

    explicit PoolSimulation(int count)
    {
        for (const std::string &id : pool(count)) {
            engines[id].rollout.recordReport(1, false, start);
        }
    }

    void setWantedVersion(std::int64_t version, TimePoint now)
    {
        std::vector<WeightsRollout::OutdatedEngine> outdated;
        for (const std::pair<const std::string, Engine> &entry : engines) {
            if (entry.second.version < version) {
                outdated.push_back(WeightsRollout::OutdatedEngine{entry.first, entry.second.version});
            }
        }
        for (std::pair<const std::string, Engine> &entry : engines) {
            entry.second.rollout.setWantedVersion(version, engines.size(), outdated, entry.first, now);
        }
    }

    void stepAll(TimePoint now)
    {
        std::size_t loadingNow = 0;
        std::size_t serving = 0;
        for (std::pair<const std::string, Engine> &entry : engines) {
            Engine &engine = entry.second;
            if (engine.loading != 0 && now >= engine.loadedAt) {
                engine.version = engine.loading;
                engine.loading = 0;
            }
            engine.rollout.recordReport(engine.version, engine.loading != 0, now);
            if (engine.rollout.nextStep(now) == Step::Order) {
                engine.rollout.recordOrdered(now);
                engine.loading = engine.rollout.wantedVersion();
                engine.loadedAt = now + loadTime;
                ++loads;
            }
            loadingNow += engine.loading != 0 ? 1 : 0;
            serving += engine.rollout.isLoading(now) ? 0 : 1;
        }
        maxLoading = std::max(maxLoading, loadingNow);
        minServing = std::min(minServing, serving);
    }

    bool allHave(std::int64_t version) const
    {
        for (const std::pair<const std::string, Engine> &entry : engines) {
            if (entry.second.version < version) {
                return false;
            }
        }
        return true;
    }
};

}

TEST_CASE("[WeightsRollout] A pool of any size loads new weights within the deadline, few engines at a time")
{
    const int size = GENERATE(1, 2, 3, 7, 11, 12, 45, 52);
    PoolSimulation run(size);
    run.setWantedVersion(2, start);
    TimePoint now = start;
    while (!run.allHave(2) && now < start + std::chrono::seconds(20)) {
        now += tick;
        run.stepAll(now);
    }
    CHECK(now - start < std::chrono::milliseconds(6500));
    // Loading slows down when more than a sixth of the pool loads at once.
    CHECK(run.maxLoading <= std::max<std::size_t>(2, (static_cast<std::size_t>(size) + 5) / 6));
    CHECK(run.loads == size);
    if (size >= 11) {
        CHECK(run.minServing >= static_cast<std::size_t>(size) / 2);
    }
}

TEST_CASE("[WeightsRollout] Engines that missed a version are first for the next one, and load once")
{
    PoolSimulation run(12);
    run.setWantedVersion(2, start);
    TimePoint now = start;
    const TimePoint secondSetAt = start + std::chrono::milliseconds(2000);
    bool isSecondSet = false;
    std::vector<std::string> late;
    while (!run.allHave(3) && now < start + std::chrono::seconds(20)) {
        now += tick;
        if (!isSecondSet && now >= secondSetAt) {
            isSecondSet = true;
            run.setWantedVersion(3, now);
        }
        run.stepAll(now);
    }
    // All engines must have version 3 within the deadline, counted from the time that it was set.
    CHECK(now - secondSetAt < std::chrono::milliseconds(6500));
    CHECK(run.loads < 24);
}

TEST_CASE("[WeightsRollout] After a restart only the engines with old weights are scheduled")
{
    WeightsRollout rollout{WeightsRollout::Settings()};
    rollout.recordReport(1, false, start);
    rollout.setWantedVersion(4, 12, {{"engine-111", 1}}, "engine-111", start);
    CHECK(rollout.nextStep(start + std::chrono::milliseconds(400)) == Step::Order);
}

TEST_CASE("[WeightsRollout] An order without effect is repeated")
{
    WeightsRollout rollout{WeightsRollout::Settings()};
    rollout.recordReport(1, false, start);
    rollout.setWantedVersion(2, 1, {{"a", 1}}, "a", start);
    TimePoint now = start + std::chrono::seconds(1);
    REQUIRE(rollout.nextStep(now) == Step::Order);
    rollout.recordOrdered(now);
    CHECK(rollout.isLoading(now));
    CHECK(rollout.nextStep(now + tick) == Step::Nothing);
    now += std::chrono::seconds(2);
    rollout.recordReport(1, false, now);
    CHECK(rollout.nextStep(now) == Step::Order);
    rollout.recordOrdered(now);
    rollout.recordReport(2, false, now + loadTime);
    CHECK_FALSE(rollout.isLoading(now + loadTime));
    CHECK(rollout.nextStep(now + loadTime) == Step::Nothing);
}

TEST_CASE("[WeightsRollout] An engine that has fallen behind by several versions is the first to load")
{
    const std::int64_t version = GENERATE(5, 6);
    std::vector<WeightsRollout::OutdatedEngine> outdated;
    for (const std::string &id : pool(12)) {
        outdated.push_back(WeightsRollout::OutdatedEngine{id, id == "engine-105" ? 1 : version - 1});
    }
    WeightsRollout rollout{WeightsRollout::Settings()};
    rollout.recordReport(1, false, start);
    rollout.setWantedVersion(version, 12, outdated, "engine-105", start);
    CHECK(rollout.nextStep(start + std::chrono::milliseconds(400)) == Step::Order);
}

// Guards against a schedule that starts anew with each version, whose last groups never load.
TEST_CASE("[WeightsRollout] Versions in quick succession postpone the load of no engine")
{
    const int size = GENERATE(3, 12, 52);
    const std::int64_t versionStep = GENERATE(1, 2);
    PoolSimulation run(size);
    std::map<std::string, TimePoint> outdatedSince;
    Duration longest{};
    std::int64_t version = 2;
    TimePoint nextVersionAt = start;
    for (TimePoint now = start; now < start + std::chrono::seconds(40); now += tick) {
        if (now >= nextVersionAt && now < start + std::chrono::seconds(24)) {
            run.setWantedVersion(version, now);
            version += versionStep;
            nextVersionAt = now + std::chrono::milliseconds(1600);
        }
        std::map<std::string, std::int64_t> before;
        for (const std::pair<const std::string, PoolSimulation::Engine> &entry : run.engines) {
            before[entry.first] = entry.second.version;
        }
        run.stepAll(now);
        for (const std::pair<const std::string, PoolSimulation::Engine> &entry : run.engines) {
            TimePoint &since = outdatedSince.try_emplace(entry.first, now).first->second;
            since = entry.second.version != before[entry.first] ? now : since;
            if (entry.second.version < entry.second.rollout.wantedVersion()) {
                longest = std::max(longest, now - since);
            }
        }
    }
    // With the first version all engines load within this time.
    CHECK(longest < std::chrono::milliseconds(6500));
}

TEST_CASE("[WeightsRollout] An engine whose order got no response is ordered again soon, and gets requests until it loads")
{
    WeightsRollout rollout{WeightsRollout::Settings()};
    rollout.recordReport(1, false, start);
    rollout.setWantedVersion(2, 1, {{"a", 1}}, "a", start);
    TimePoint now = start + std::chrono::milliseconds(300);
    REQUIRE(rollout.nextStep(now) == Step::Order);
    rollout.recordOrdered(now);
    now += std::chrono::milliseconds(400);
    rollout.recordUnanswered(now);
    CHECK_FALSE(rollout.isLoading(now));
    now += std::chrono::milliseconds(200);
    rollout.recordReport(1, false, now);
    CHECK(rollout.nextStep(now) == Step::Order);
    CHECK_FALSE(rollout.isLoading(now));
    // The first order takes effect.
    rollout.recordReport(1, true, now);
    CHECK(rollout.isLoading(now));
    CHECK(rollout.nextStep(now) == Step::Nothing);
    rollout.recordReport(2, false, now + loadTime);
    CHECK_FALSE(rollout.isLoading(now + loadTime));
}

TEST_CASE("[WeightsRollout] An engine that has loaded an older version again is ordered to load the wanted one")
{
    WeightsRollout rollout{WeightsRollout::Settings()};
    rollout.recordReport(3, false, start);
    rollout.setWantedVersion(3, 1, {}, "a", start);
    CHECK(rollout.nextStep(start) == Step::Nothing);
    // An order of before the engine's restart takes effect.
    rollout.recordReport(2, false, start + std::chrono::seconds(5));
    CHECK(rollout.nextStep(start + std::chrono::seconds(6)) == Step::Order);
}
