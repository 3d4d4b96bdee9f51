#include "servers/softwareversions.h"
#include "servers/streammemory.h"
#include "tests/fakes/seeds.h"
#include "tests/fakes/versionsimulation.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>

using namespace citronspar;
using fakes::VersionSimulation;

namespace
{

void play(
    VersionSimulation &fleet, Duration time, const std::function<void()> &step = []() {})
{
    const TimePoint end = fleet.now() + time;
    TimePoint nextStep = fleet.now();
    while (fleet.now() < end) {
        fleet.stream();
        if (fleet.now() >= nextStep) {
            step();
            nextStep += std::chrono::milliseconds(500);
        }
        fleet.scheduler.runFor(std::chrono::milliseconds(25));
    }
}

struct Outcome
{
    int joined = 0;
    double resolvedShare = 0;
};

/** Releases one after the other, with versions side by side, and rollbacks, among kills of all daemons. */
Outcome playReleases(std::uint64_t seed, int daemonCount, VersionSimulation::Faults faults, bool hasTableFaults)
{
    VersionSimulation fleet(seed, daemonCount);
    fleet.faults = faults;
    fleet.inService = {"v1"};
    fleet.start();
    int newest = 1;
    const auto name = [](int version) {
        return "v" + std::to_string(version);
    };
    play(fleet, std::chrono::seconds(static_cast<int>(seed % 3) * 60));
    fleet.copyTable();
    play(fleet, std::chrono::seconds(240), [&]() {
        if (fleet.scheduler.randomBool(0.03)) {
            std::set<std::string> versions = fleet.inService;
            versions.insert(name(++newest));
            fleet.setInService(versions);
        } else if (fleet.inService.size() > 1 && fleet.scheduler.randomBool(0.05)) {
            std::set<std::string> versions = fleet.inService;
            // The old version leaves, or the new one is taken back.
            versions.erase(fleet.scheduler.randomBool(0.7) ? versions.begin() : std::prev(versions.end()));
            fleet.setInService(versions);
        } else if (newest > 1 && fleet.scheduler.randomBool(0.02)) {
            std::set<std::string> versions = fleet.inService;
            versions.insert(name(newest - 1));
            fleet.setInService(versions);
        }
        if (fleet.scheduler.randomBool(0.03)) {
            fleet.killAll();
        }
        if (fleet.scheduler.randomBool(0.05)) {
            const std::size_t index
                = static_cast<std::size_t>(fleet.scheduler.randomInteger(0, static_cast<std::int64_t>(fleet.daemons.size()) - 1));
            fleet.kill(index);
            fleet.daemons[index].lag = std::chrono::milliseconds(fleet.scheduler.randomInteger(0, 1) * 2500);
        }
        if (hasTableFaults && !fleet.isTableDown && fleet.scheduler.randomBool(0.02)) {
            fleet.isTableDown = true;
            fleet.scheduler.scheduleAfter(std::chrono::milliseconds(fleet.scheduler.randomInteger(200, 4000)), [&fleet]() {
                fleet.isTableDown = false;
                if (fleet.scheduler.randomBool(0.3)) {
                    fleet.restoreTable();
                }
            });
        }
        if (fleet.scheduler.randomBool(0.2)) {
            fleet.copyTable();
        }
    });
    fleet.scheduler.runFor(std::chrono::seconds(20));
    return Outcome{fleet.joined, fleet.takenUp == 0 ? 0 : static_cast<double>(fleet.resolved) / fleet.takenUp};
}

}

TEST_CASE("[SoftwareVersions] No stream is taken for one of another version, and most are known, among releases, kills and a failing table")
{
    const int daemonCount = GENERATE(3, 33);
    const bool hasTableFaults = GENERATE(false, true);
    const std::uint64_t failingSeed = findFailingSeed(Seeds(daemonCount == 3 ? 60 : 12), [&](std::uint64_t seed) {
        const Outcome outcome = playReleases(seed, daemonCount, VersionSimulation::Faults(), hasTableFaults);
        return outcome.joined == 0 && outcome.resolvedShare >= (hasTableFaults ? 0.5 : 0.95);
    });
    INFO("daemons " << daemonCount << ", table faults " << hasTableFaults);
    CHECK(failingSeed == 0);
}

TEST_CASE("[SoftwareVersions] Daemons that record nothing, ignore new versions, failures or eras, join streams")
{
    const auto findJoined = [](const VersionSimulation::Faults &faults) {
        return findFailingSeed(Seeds(60), [&](std::uint64_t seed) {
            return playReleases(seed, 3, faults, true).joined == 0;
        });
    };
    VersionSimulation::Faults faults;
    faults.recordsNothing = true;
    CHECK(findJoined(faults) != 0);
    faults = VersionSimulation::Faults();
    faults.ignoresUnwritten = true;
    CHECK(findJoined(faults) != 0);
    faults = VersionSimulation::Faults();
    faults.ignoresFailedRecords = true;
    CHECK(findJoined(faults) != 0);
    faults = VersionSimulation::Faults();
    faults.ignoresEras = true;
    CHECK(findJoined(faults) != 0);
}

namespace
{

/** A new version joins while daemons are cut from the table, paused or restarted, for 0.5 to 6 s before, while and after it comes. */
Outcome playOutOfStep(std::uint64_t seed, int daemonCount, VersionSimulation::Faults faults)
{
    VersionSimulation fleet(seed, daemonCount);
    fleet.faults = faults;
    fleet.maxLength = seed % 2 == 0 ? 3000 : 120;
    fleet.inService = {"v1"};
    fleet.start();
    play(fleet, std::chrono::seconds(5));
    int newest = 1;
    for (int round = 0; round < 6; ++round) {
        const bool areAllButOne = fleet.scheduler.randomBool(0.3);
        const std::size_t exception = static_cast<std::size_t>(fleet.scheduler.randomInteger(0, daemonCount - 1));
        for (std::size_t i = 0; i < fleet.daemons.size(); ++i) {
            const bool isHit = areAllButOne ? i != exception : fleet.scheduler.randomBool(0.4);
            if (!isHit) {
                continue;
            }
            const int kind = static_cast<int>(fleet.scheduler.randomInteger(0, 3));
            const Duration length = std::chrono::milliseconds(fleet.scheduler.randomInteger(500, 6000));
            fleet.scheduler.scheduleAfter(std::chrono::milliseconds(fleet.scheduler.randomInteger(0, 4000)), [&fleet, i, kind, length]() {
                VersionSimulation::Daemon &daemon = fleet.daemons[i];
                daemon.cutUntil = kind != 1 ? fleet.now() + length : daemon.cutUntil;
                daemon.pausedUntil = kind == 1 || kind == 2 ? fleet.now() + length : daemon.pausedUntil;
                if (kind == 3) {
                    fleet.kill(i);
                }
            });
        }
        fleet.scheduler.scheduleAfter(std::chrono::milliseconds(fleet.scheduler.randomInteger(0, 4000)), [&fleet, &newest]() {
            std::set<std::string> versions = fleet.inService;
            versions.insert("v" + std::to_string(++newest));
            fleet.setInService(versions);
            // Its first endpoint may be gone again before all daemons are back.
            if (fleet.scheduler.randomBool(0.4)) {
                versions.erase(std::prev(versions.end()));
                fleet.scheduler.scheduleAfter(std::chrono::milliseconds(fleet.scheduler.randomInteger(300, 3000)), [&fleet, versions]() {
                    fleet.setInService(versions);
                });
            }
        });
        play(fleet, std::chrono::seconds(12));
        if (fleet.inService.size() > 1 && fleet.scheduler.randomBool(0.5)) {
            fleet.setInService({*fleet.inService.rbegin()});
        }
        play(fleet, std::chrono::seconds(fleet.scheduler.randomInteger(0, 1) * 70));
    }
    fleet.scheduler.runFor(std::chrono::seconds(20));
    return Outcome{fleet.joined, fleet.takenUp == 0 ? 0 : static_cast<double>(fleet.resolved) / fleet.takenUp};
}

}

TEST_CASE("[SoftwareVersions] A daemon that is out of step while a new version joins takes no stream of it for one of the old version")
{
    const int daemonCount = GENERATE(3, 33);
    const std::uint64_t failingSeed = findFailingSeed(Seeds(daemonCount == 3 ? 60 : 12), [&](std::uint64_t seed) {
        const Outcome outcome = playOutOfStep(seed, daemonCount, VersionSimulation::Faults());
        return outcome.joined == 0 && outcome.resolvedShare >= 0.5;
    });
    INFO("daemons " << daemonCount);
    CHECK(failingSeed == 0);
}

TEST_CASE("[SoftwareVersions] Daemons that trust old periods, or record streams before their version, join streams")
{
    const auto findJoined = [](const VersionSimulation::Faults &faults) {
        return findFailingSeed(Seeds(60), [&](std::uint64_t seed) {
            return playOutOfStep(seed, 3, faults).joined == 0;
        });
    };
    VersionSimulation::Faults faults;
    faults.trustsOldPeriods = true;
    CHECK(findJoined(faults) != 0);
    faults = VersionSimulation::Faults();
    faults.recordsBeforeVersion = true;
    CHECK(findJoined(faults) != 0);
}

TEST_CASE("[SoftwareVersions] A single version needs no records, a new one needs them, and two that stay need them both")
{
    SoftwareVersions versions{SoftwareVersions::Settings()};
    const TimePoint start{std::chrono::hours(1)};
    const auto at = [&](int second) {
        return start + std::chrono::seconds(second);
    };
    using Need = SoftwareVersions::RecordNeed;
    CHECK(versions.recordNeed("s", "v1", start) == Need::Required);
    versions.apply(VersionPeriod{"s", "v1", start, timeNever}, start);
    CHECK(versions.recordNeed("s", "v1", at(1)) == Need::None);
    CHECK(versions.unrecordedVersion("s", at(1)) == std::string("v1"));
    CHECK(versions.unrecordedVersion("other", at(1)) == std::nullopt);
    versions.apply(VersionPeriod{"s", "v2", at(100), timeNever}, at(100));
    CHECK(versions.recordNeed("s", "v1", at(101)) == Need::None);
    CHECK(versions.recordNeed("s", "v2", at(101)) == Need::Required);
    CHECK(versions.unrecordedVersion("s", at(101)) == std::string("v1"));
    CHECK(versions.recordNeed("s", "v1", at(170)) == Need::Useful);
    CHECK(versions.recordNeed("s", "v2", at(170)) == Need::Useful);
    CHECK(versions.unrecordedVersion("s", at(170)) == std::nullopt);
    versions.apply(VersionPeriod{"s", "v1", start, at(200)}, at(200));
    CHECK(versions.recordNeed("s", "v1", at(201)) == Need::Required);
    CHECK(versions.unrecordedVersion("s", at(230)) == std::nullopt);
    CHECK(versions.recordNeed("s", "v2", at(261)) == Need::None);
    CHECK(versions.unrecordedVersion("s", at(261)) == std::string("v2"));
    // Records that an older copy of the table lacks may have been of either version.
    versions.apply(VersionPeriod{"s", "v3", at(300), timeNever}, at(300));
    versions.recordEra(at(310));
    CHECK(versions.unrecordedVersion("s", at(311)) == std::nullopt);
    CHECK(versions.recordNeed("s", "v2", at(311)) == Need::Useful);
    CHECK(versions.recordNeed("s", "v3", at(311)) == Need::Required);
}

TEST_CASE(
    "[SoftwareVersions] Rows follow the list: a version is written when it is listed, and ended when it has been gone for some seconds")
{
    SoftwareVersions versions{SoftwareVersions::Settings()};
    const TimePoint start{std::chrono::hours(1)};
    versions.observe({{"s", "v1"}}, start);
    REQUIRE(versions.dueChanges(start).size() == 1);
    versions.apply(versions.dueChanges(start).front(), start);
    CHECK(versions.dueChanges(start).empty());
    versions.observe({}, start + std::chrono::seconds(10));
    CHECK(versions.dueChanges(start + std::chrono::seconds(14)).empty());
    const std::vector<VersionPeriod> gone = versions.dueChanges(start + std::chrono::seconds(16));
    REQUIRE(gone.size() == 1);
    CHECK(gone.front().until != timeNever);
    versions.apply(gone.front(), start + std::chrono::seconds(16));
    // It comes back while its streams may still be taken up: the period goes on.
    versions.observe({{"s", "v1"}}, start + std::chrono::seconds(20));
    const std::vector<VersionPeriod> back = versions.dueChanges(start + std::chrono::seconds(20));
    REQUIRE(back.size() == 1);
    CHECK(back.front().from == start);
    CHECK(back.front().until == timeNever);
    CHECK(versions.obsoleteKeys(start + std::chrono::seconds(30)).empty());
    versions.observe({}, start + std::chrono::seconds(30));
    CHECK(versions.obsoleteKeys(start + std::chrono::minutes(10)).size() == 1);
}

TEST_CASE("[StreamMemory] Streams are remembered for their time, within the limit")
{
    StreamMemory memory(std::chrono::seconds(60), 10);
    const TimePoint start{std::chrono::hours(1)};
    memory.put("a", StreamMemory::Entry{"s", "v1", false}, start);
    memory.put("b", StreamMemory::Entry{"s", "v2", false}, start + std::chrono::seconds(59));
    REQUIRE(memory.find("a") != nullptr);
    CHECK(memory.find("a")->version == "v1");
    CHECK(memory.find("c") == nullptr);
    for (int i = 0; i < 100; ++i) {
        memory.put("more " + std::to_string(i), StreamMemory::Entry{"s", "v1", false}, start + std::chrono::seconds(60));
    }
    CHECK(memory.find("a") == nullptr);
    CHECK(memory.find("more 99") != nullptr);
}
